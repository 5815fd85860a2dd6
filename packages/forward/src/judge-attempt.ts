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
const judgeRefusal = ({known, prefill}: Placement, {at, isMisdirected = false}: FailedAttempt, nowMs: number): void => {
	if (prefill && at === known && !isMisdirected) {
		for (const [engine, partner] of [[known, prefill], [prefill, known]] as const) {
			if (engine.refusals.recordRejection(partner.endpoint.id)) {
				engine.ejection.recordFailure(nowMs);
			}
		}
	} else if (isMisdirected) {
		at.ejection.recordMisdirected(nowMs);
	} else if (at.endpoint.role !== undefined) {
		at.ejection.recordFailure(nowMs);
	}
};

/** Takes the result of an attempt into the trust in its endpoints. */
export const judgeAttempt = (placement: Placement, result: AttemptResult, nowMs: number): void => {
	const {known, prefill} = placement;
	if (result.kind === 'answered') {
		known.ejection.recordSuccess();
		known.refusals.recordSuccess();
		prefill?.refusals.recordSuccess();
	} else if (failuresOfEndpoint.has(result.failure)) {
		result.at.ejection.recordFailure(nowMs);
	} else if (result.failure === 'refused') {
		judgeRefusal(placement, result, nowMs);
	}
};
