/**
 * What the result of an attempt says about the endpoints that took part.
 */
import type {FailureKind} from '@hawthorncleat/core';
import type {AttemptResult, FailedAttempt} from './forward-types.js';
import type {Placement} from './placement.js';

/** Failures that speak against an endpoint; an error of its own does not. */
const failuresOfEndpoint = new Set<FailureKind>(['not-connected', 'connection-lost', 'invalid-response', 'no-progress']);

/**
 * An engine whose role changes refuses at once and runs nothing, so it looks like the least loaded one to an entry that does not
 * know of the change. A full plain service has room again within moments and is not avoided.
 */
const judgeRefusal = ({target: known, prefill}: Placement, {failedAt: at, isMisdirected = false}: FailedAttempt, nowMs: number): void => {
	if (prefill && at === known && !isMisdirected) {
		for (const [engine, partner] of [[known, prefill], [prefill, known]] as const) {
			if (engine.refusals.refused(partner.endpoint.id)) {
				engine.trust.failed(nowMs);
			}
		}
	} else if (isMisdirected) {
		at.trust.misdirected(nowMs);
	} else if (at.endpoint.role !== undefined) {
		at.trust.failed(nowMs);
	}
};

/** Takes the result of an attempt into the trust in its endpoints. */
export const recordAttemptResult = (placement: Placement, result: AttemptResult, nowMs: number): void => {
	const {target: known, prefill} = placement;
	if (result.kind === 'answered') {
		known.trust.succeeded();
		known.refusals.served();
		prefill?.refusals.served();
	} else if (failuresOfEndpoint.has(result.failure)) {
		result.failedAt.trust.failed(nowMs);
	} else if (result.failure === 'refused') {
		judgeRefusal(placement, result, nowMs);
	}
};
