/**
 * What an entry assumes of endpoints, and the choice of an endpoint of a plain service.
 */
import type {Random} from '../clock.js';
import type {RegisteredEndpoint} from './deployment.js';
import type {DecodeLatencyModel} from './decode-latency-model.js';
import type {OutlierEjection} from './outlier-ejection.js';
import type {PrefillLatencyModel} from './prefill-latency-model.js';
import type {SegmentCache} from './segment-cache.js';
import type {PrefillBacklog} from './prefill-backlog.js';

/** What an entry assumes of one endpoint. */
export type EndpointView = {
	readonly endpoint: RegisteredEndpoint;
	readonly ejection: OutlierEjection;
	/** Requests that all entries together run there. */
	running: number;
	/** Those of them that are late already; the engine serves them after all others. */
	lateRequests: number;
	readonly prefillBacklog: PrefillBacklog;
	readonly segmentCache: SegmentCache;
	/** How it prefills; of a plain service without meaning. */
	readonly prefillLatency: PrefillLatencyModel;
	readonly decodeLatency: DecodeLatencyModel;
	/** Its role is being changed, and it refuses work until about then. */
	roleChangeUntilMs: number;
	/** Tokens of KV cache of the running requests. */
	runningTokens: number;
};

/** Requests of a plain service that one data centre more is worth. */
const crossingRequests = 1.5;

const isCandidate = ({endpoint, roleChangeUntilMs: changesUntilMs}: EndpointView, excluded: ReadonlySet<string>, nowMs: number): boolean =>
	!endpoint.isLeaving && nowMs >= changesUntilMs && !excluded.has(endpoint.id);

/** Endpoints that may be sent to; those that are avoided only when nothing else is left. */
export const findSelectable = (views: readonly EndpointView[], excluded: ReadonlySet<string>, nowMs: number): EndpointView[] => {
	const candidates = views.filter(view => isCandidate(view, excluded, nowMs));
	const usable = candidates.filter(({ejection: trust}) => !trust.isEjected(nowMs));
	return usable.length > 0 ? usable : candidates;
};

/** Part of an engine's places and memory that is in use; above 1 requests wait. */
export const engineLoad = ({running, tokens, slots, kvTokens}: {readonly running: number; readonly tokens: number; readonly slots: number; readonly kvTokens: number}): number =>
	((running / Math.max(1, slots)) + (tokens / Math.max(1, kvTokens))) / 2;

/** Data centre borders on the way to an endpoint. */
export const dataCentreCrossings = ({endpoint}: EndpointView, dataCentre: string): number => endpoint.dataCentre === dataCentre ? 0 : 1;

export const pickLowest = <Item>(items: readonly Item[], scoreOf: (item: Item) => number): Item | undefined => {
	let best: Item | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const item of items) {
		const score = scoreOf(item);
		if (score < bestScore) {
			best = item;
			bestScore = score;
		}
	}

	return best;
};

/** Chooses the endpoint of a plain service with the fewest requests for its places. */
export const selectEndpoint = (
	views: readonly EndpointView[],
	request: {readonly dataCentre: string; readonly excluded: ReadonlySet<string>},
	{nowMs, random}: {readonly nowMs: number; readonly random: Random},
): EndpointView | undefined => pickLowest(
	findSelectable(views, request.excluded, nowMs),
	view => ((view.running + (dataCentreCrossings(view, request.dataCentre) * crossingRequests)) / Math.max(1, view.endpoint.slots)) + (random() * 0.01),
);
