/**
 * Outlier ejection: records the result of an attempt for the endpoints that took part in it.
 */
import type {FailureKind} from '@hawthorncleat/core';
import type {AttemptPhase} from './attempt-report.js';
import type {AttemptResult, FailedAttempt} from './attempt-result.js';
import type {Placement} from './placement.js';

/** Failures that count towards the ejection of an endpoint. An error answer of the service does not. */
const endpointFaults = new Set<FailureKind>(['not-connected', 'connection-lost', 'invalid-response', 'no-progress']);

/**
 * An engine that is changing its role refuses at once and runs nothing, so to an entry that has not learned of the change it
 * appears to be the least loaded one; therefore a refusal counts as a failure. A full plain service has spare capacity again
 * within moments and is not ejected, and neither is an endpoint that stated itself for how long it wants no requests.
 */
const recordRefusal = ({target, prefill}: Placement, {failedAt, isMisdirected = false, retryAfterMs}: FailedAttempt, nowMs: number): void => {
	if (retryAfterMs !== undefined) {
		return;
	}

	if (prefill && failedAt === target && !isMisdirected) {
		for (const [engine, partner] of [[target, prefill], [prefill, target]] as const) {
			if (engine.splitRejections.recordRejection(partner.endpoint.id)) {
				engine.ejection.recordFailure(nowMs);
			}
		}
	} else if (isMisdirected) {
		failedAt.ejection.recordMisdirected(nowMs);
	} else if (failedAt.endpoint.role !== undefined) {
		failedAt.ejection.recordFailure(nowMs);
	}
};

/** Records that an attempt has stalled. The endpoint may go on, but until then other requests do better elsewhere. */
export const recordStall = ({target, prefill}: Placement, phase: AttemptPhase, nowMs: number): void => {
	const stalled = phase === 'prefill' ? prefill : target;
	stalled?.ejection.recordFailure(nowMs);
};

/** Records the result of an attempt for the outlier ejection of its endpoints. */
export const recordAttemptResult = (placement: Placement, result: AttemptResult, nowMs: number): void => {
	const {target, prefill} = placement;
	if (result.kind === 'answered') {
		target.ejection.recordSuccess();
		target.splitRejections.recordSuccess();
		prefill?.splitRejections.recordSuccess();
	} else if (result.kind === 'failed' && (result.isWithdrawn ?? result.isQueueFull)) {
		// Nothing was written, so it says nothing of the endpoint.
	} else if (result.kind === 'failed' && endpointFaults.has(result.failure)) {
		result.failedAt.ejection.recordFailure(nowMs);
	} else if (result.kind === 'failed' && result.failure === 'refused') {
		recordRefusal(placement, result, nowMs);
	}
};
