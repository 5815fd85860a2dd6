/**
 * Why endpoints get no requests although they are registered and do not leave, for the log and the metrics.
 */
import type {EndpointView} from '@hawthorncleat/core';

/** `backoff`: the endpoint wants none. `limit`: this entry's share of the limit that the endpoint names is used up for the moment. `ejection`: requests failed there, so it gets some only if no other endpoint is left. */
export type KeptOutReason = 'backoff' | 'ejection' | 'limit';

export type KeptOut = {readonly reason: KeptOutReason; readonly forMs: number};

type Availability = Pick<EndpointView, 'backoff' | 'ejection' | 'rateLimit'>;

/** What the endpoint states comes first, because there is no exception to it. */
export const findKeptOut = ({backoff, ejection, rateLimit}: Availability, nowMs: number): KeptOut | undefined => {
	if (backoff.remainingMs(nowMs) > 0) {
		return {reason: 'backoff', forMs: backoff.remainingMs(nowMs)};
	}

	if (rateLimit.remainingMs(nowMs) > 0) {
		return {reason: 'limit', forMs: rateLimit.remainingMs(nowMs)};
	}

	return ejection.isEjected(nowMs) ? {reason: 'ejection', forMs: ejection.remainingMs(nowMs)} : undefined;
};

/** Number of endpoints that are kept out, by reason. */
export const countKeptOut = (endpoints: Iterable<Availability>, nowMs: number): Record<KeptOutReason, number> => {
	const counts = {backoff: 0, ejection: 0, limit: 0};
	for (const endpoint of endpoints) {
		const keptOut = findKeptOut(endpoint, nowMs);
		if (keptOut) {
			counts[keptOut.reason] += 1;
		}
	}

	return counts;
};
