/**
 * Chooses where a request runs: one endpoint of a plain service, or for a model request the engine that decodes it and,
 * if that serves the first token sooner, another one that prefills the prompt.
 */
import type {Random} from '../clock.js';
import type {PromptPart, RegisteredEndpoint} from './deployment.js';
import type {EndpointTrust} from './endpoint-trust.js';
import type {EnginePace} from './engine-pace.js';
import type {PartCache} from './part-cache.js';
import type {PrefillBacklog} from './prefill-backlog.js';

/** What an entry assumes of one endpoint. */
export type EndpointView = {
	readonly endpoint: RegisteredEndpoint;
	readonly trust: EndpointTrust;
	/** Requests that all entries together run there. */
	running: number;
	readonly work: PrefillBacklog;
	readonly parts: PartCache;
	/** Of a plain service without meaning. */
	readonly pace: EnginePace;
	/** Its role is being changed, and it refuses work until about then. */
	changesUntilMs: number;
	/** Tokens of KV cache of the running requests. */
	runningTokens: number;
};

export type PlaceRequest = {
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Level of the engine's queue. */
	readonly level: number;
	/** Data centre of the entry. */
	readonly dataCentre: string;
	/** Endpoints that have refused or failed the request. */
	readonly excluded: ReadonlySet<string>;
};

/**
 * Traffic between data centres is billed: a model request crosses with its prompt and its stream, which costs about as
 * much of its value as this delay.
 */
const crossingMs = 15;
/** The second call of a split request: one more hop and the fetch of the KV cache. */
const splitMs = 12;
/** Cost of prefilling 1,000 shared tokens that another engine holds, expressed as delay. */
const rereadMsPerThousand = 25;
/** Requests of a plain service that one data centre more is worth. */
const crossingRequests = 1.5;

export type ModelPlace = {
	readonly decode: EndpointView;
	/** Absent when the decode engine prefills the prompt itself. */
	readonly prefill?: EndpointView;
	/** Expected time until the prefill is done. */
	readonly waitMs: number;
	/** Tokens of the prompt that the engine is not expected to hold. */
	readonly uncachedTokens: number;
};

const isCandidate = ({endpoint, changesUntilMs}: EndpointView, excluded: ReadonlySet<string>, nowMs: number): boolean =>
	!endpoint.isLeaving && nowMs >= changesUntilMs && !excluded.has(endpoint.id);

/** Endpoints that may be sent to; those that are avoided only when nothing else is left. */
const findUsable = (views: readonly EndpointView[], excluded: ReadonlySet<string>, nowMs: number): EndpointView[] => {
	const candidates = views.filter(view => isCandidate(view, excluded, nowMs));
	const usable = candidates.filter(({trust}) => !trust.isAvoided(nowMs));
	return usable.length > 0 ? usable : candidates;
};

const crossing = ({endpoint}: EndpointView, dataCentre: string): number => endpoint.dataCentre === dataCentre ? 0 : 1;

const pickLowest = <Item>(items: readonly Item[], scoreOf: (item: Item) => number): Item | undefined => {
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
export const choosePlainPlace = (
	views: readonly EndpointView[],
	request: Pick<PlaceRequest, 'dataCentre' | 'excluded'>,
	{nowMs, random}: {readonly nowMs: number; readonly random: Random},
): EndpointView | undefined => pickLowest(
	findUsable(views, request.excluded, nowMs),
	view => ((view.running + (crossing(view, request.dataCentre) * crossingRequests)) / Math.max(1, view.endpoint.places)) + (random() * 0.01),
);

/** How full a decode engine is with one more request, 1 being full. */
const fullness = (view: EndpointView, request: PlaceRequest, kvTokens: number): number => Math.max(
	(view.running + 1) / Math.max(1, view.endpoint.places),
	(view.runningTokens + request.promptTokens + request.outputTokens) / Math.max(1, kvTokens),
);

/** Delay that a full decode engine adds; a request that does not fit waits for another one to end. */
const crowdingMs = (fill: number): number => (fill * 20) + (Math.max(0, fill - 0.9) * 2000);

export type PlaceContext = {readonly nowMs: number; readonly kvTokens: number};

/** Delay for prefilling again what other engines hold. */
const rereadMs = (cached: number, most: number): number => Math.max(0, most - cached) * rereadMsPerThousand / 1000;

type Scored = {readonly view: EndpointView; readonly scoreMs: number; readonly waitMs: number; readonly uncachedTokens: number};

const scorePrefill = (view: EndpointView, request: PlaceRequest, {context, most}: {context: PlaceContext; most: number}): Scored => {
	const cached = view.parts.cachedTokens(request.parts);
	const uncachedTokens = Math.max(1, request.promptTokens - cached);
	const workMs = view.pace.workMs(uncachedTokens);
	const waitMs = view.work.waitMs(request.level, context.nowMs) + workMs;
	const scoreMs = waitMs + view.pace.latencyMs + rereadMs(cached, most) + (crossing(view, request.dataCentre) * crossingMs);
	return {
		view, scoreMs, waitMs, uncachedTokens,
	};
};

const scoreDecode = (view: EndpointView, request: PlaceRequest, {kvTokens}: PlaceContext): number =>
	crowdingMs(fullness(view, request, kvTokens)) + (crossing(view, request.dataCentre) * crossingMs);

/** Chooses the engines of a model request by the expected time of its first token. */
export const chooseModelPlace = (
	views: readonly EndpointView[],
	request: PlaceRequest,
	context: PlaceContext,
): ModelPlace | undefined => {
	// Each role by itself: avoided decode engines are better than none, however many prefill engines there are.
	const usableOf = (isWanted: (role: string | undefined) => boolean): EndpointView[] =>
		findUsable(views.filter(({endpoint}) => isWanted(endpoint.role)), request.excluded, context.nowMs);
	const decoders = usableOf(role => role !== 'prefill');
	const prefillers = usableOf(role => role === 'prefill');
	const usable = [...decoders, ...prefillers];
	const most = Math.max(0, ...usable.map(view => view.parts.cachedTokens(request.parts)));
	const scored = new Map(usable.map(view => [view, scorePrefill(view, request, {context, most})]));
	const direct = pickLowest(decoders, view => scored.get(view)!.scoreMs + scoreDecode(view, request, context));
	if (!direct) {
		return undefined;
	}

	const {waitMs, uncachedTokens, scoreMs} = scored.get(direct)!;
	const directMs = scoreMs + scoreDecode(direct, request, context);
	const prefill = pickLowest(prefillers, view => scored.get(view)!.scoreMs);
	// A request whose KV cache is fetched still waits for its turn among the prompts that the engine prefills itself.
	const scoreFetched = (view: EndpointView): number => scoreDecode(view, request, context) + view.work.waitMs(request.level, context.nowMs);
	const decode = pickLowest(decoders, scoreFetched);
	if (!prefill || !decode) {
		return {
			decode: direct, waitMs, uncachedTokens,
		};
	}

	const split = scored.get(prefill)!;
	const splitTotalMs = split.scoreMs + scoreFetched(decode) + splitMs;
	return splitTotalMs < directMs
		? {
			decode, prefill, waitMs: split.waitMs, uncachedTokens: split.uncachedTokens,
		}
		: {
			decode: direct, waitMs, uncachedTokens,
		};
};
