/**
 * State of endpoints as an entry estimates it, and the selection of an endpoint of a plain service.
 */
import type {Random} from '../clock.js';
import type {EndpointRole, RegisteredEndpoint} from './deployment.js';
import type {DecodeLatencyModel} from './decode-latency-model.js';
import type {EndpointBackoff} from './endpoint-backoff.js';
import type {EndpointRateLimit} from './endpoint-rate-limit.js';
import type {OutlierEjection} from './outlier-ejection.js';
import type {PrefillLatencyModel} from './prefill-latency-model.js';
import type {SegmentCache} from './segment-cache.js';
import type {PrefillBacklog} from './prefill-backlog.js';

/** State of one endpoint as this entry estimates it. */
export type EndpointView = {
	readonly endpoint: RegisteredEndpoint;
	readonly ejection: OutlierEjection;
	readonly backoff: EndpointBackoff;
	readonly rateLimit: EndpointRateLimit;
	/** Requests that all entries together have running there. */
	running: number;
	/** Running requests that already missed their latency target; the engine serves them after all others. */
	lateRequests: number;
	readonly prefillBacklog: PrefillBacklog;
	readonly segmentCache: SegmentCache;
	/** Unused for a plain service. */
	readonly prefillLatency: PrefillLatencyModel;
	readonly decodeLatency: DecodeLatencyModel;
	/** Expected end of a role change; the engine rejects work until then. */
	roleChangeUntilMs: number;
	/** The new role, until then. */
	newRole?: EndpointRole;
	/** KV cache tokens of the running requests. */
	runningTokens: number;
};

/** Cost of sending a request of a plain service to another data centre, in running requests. */
const crossingCostRequests = 1.5;

/** Whether the endpoint takes requests as far as its registration and its role say. */
const takesRequests = ({endpoint, roleChangeUntilMs: changesUntilMs}: EndpointView, nowMs: number): boolean => !endpoint.isLeaving && nowMs >= changesUntilMs;

/** Time until the endpoint may get a request, as far as its own statements say. */
const remainingMs = ({backoff, rateLimit}: EndpointView, nowMs: number): number => Math.max(backoff.remainingMs(nowMs), rateLimit.remainingMs(nowMs));

/** Endpoints that may receive a request; ejected ones only if there is no other. An endpoint that wants no requests never is among them. */
export const findSelectable = (views: readonly EndpointView[], excluded: ReadonlySet<string>, nowMs: number): EndpointView[] => {
	const candidates = views.filter(view => takesRequests(view, nowMs) && !excluded.has(view.endpoint.id) && remainingMs(view, nowMs) === 0);
	const usable = candidates.filter(({ejection: trust}) => !trust.isEjected(nowMs));
	return usable.length > 0 ? usable : candidates;
};

/** Time until the first of these endpoints may get a request again; 0 if one of them may get one now, undefined if none takes requests at all. */
export const earliestReturnMs = (views: readonly EndpointView[], nowMs: number): number | undefined => {
	const returns = views.filter(view => takesRequests(view, nowMs)).map(view => remainingMs(view, nowMs));
	return returns.length === 0 ? undefined : Math.min(...returns);
};

/** Mean of the fractions of an engine's slots and memory that are in use; above 1 requests wait. */
export const engineLoad = ({running, tokens, slots, kvTokens}: {readonly running: number; readonly tokens: number; readonly slots: number; readonly kvTokens: number}): number =>
	((running / Math.max(1, slots)) + (tokens / Math.max(1, kvTokens))) / 2;

/** Number of data centre borders between the entry and an endpoint. */
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

/** Selects the endpoint of a plain service with the fewest running requests for its number of slots. */
export const selectEndpoint = (
	views: readonly EndpointView[],
	request: {readonly dataCentre: string; readonly excluded: ReadonlySet<string>},
	{nowMs, random}: {readonly nowMs: number; readonly random: Random},
): EndpointView | undefined => pickLowest(
	findSelectable(views, request.excluded, nowMs),
	view => ((view.running + (dataCentreCrossings(view, request.dataCentre) * crossingCostRequests)) / Math.max(1, view.endpoint.slots)) + (random() * 0.01),
);
