/**
 * Selects the engine that decodes a model request and, if that gives a lower time to first token, another engine that prefills
 * its prompt (a split request). Long prompts queue at prefill engines, and a decode engine prefills only short ones itself, because
 * prefilling slows down every stream that runs there.
 */
import {groupBy} from '../group-by.js';
import type {SoftwareVersion} from '../ids.js';
import {findNearFastest} from '../similar-latencies.js';
import type {Random} from '../clock.js';
import {
	dataCentreCrossings, engineLoad, findSelectable, pickLowest, type EndpointView,
} from './endpoint-selection.js';
import {referenceLoad} from './decode-latency-model.js';
import {softwareVersionOf, type PromptSegment} from './deployment.js';
import {lowestPriorityLevel} from './priority-level.js';

export type SelectionRequest = {
	readonly segments: readonly PromptSegment[];
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** The answer would miss its deadline on an engine that is not reserved for long answers. */
	readonly isLongAnswer?: boolean;
	/** Priority level in the engine's queue. */
	readonly level: number;
	/** Time until the caller's deadline. */
	readonly remainingMs: number;
	/** Longest pause between two events of a stream that meets its latency target. */
	readonly maxGapMs: number;
	/** Data centre of the entry. */
	readonly dataCentre: string;
	/** Endpoints that have rejected or failed the request. */
	readonly excluded: ReadonlySet<string>;
	/** Engine that has already prefilled the prompt and holds its KV cache. */
	readonly prefilledAt?: EndpointView;
};

export type SelectionContext = {
	readonly nowMs: number;
	readonly kvTokens: number;
	/** Decode engine that is reserved for long answers. */
	readonly reservedEngine?: EndpointView;
	/** Spreads the prompts of entries that share the same news; without it, the engine with the lowest score is selected. */
	readonly random?: Random;
};

export type EngineSelection = {
	readonly decodeEngine: EndpointView;
	/** Absent when the decode engine prefills the prompt itself. */
	readonly prefillEngine?: EndpointView;
	/** Pending prefill work ahead of the request plus its own. */
	readonly prefillWaitMs: number;
	/** Expected time until the first token. */
	readonly firstTokenMs: number;
	/** Prompt tokens that are not expected to be in the cache of the engine that prefills. */
	readonly uncachedTokens: number;
	/** Expected wait for a slot of the decode engine. */
	readonly slotWaitMs: number;
	/** Load of the decode engine including this request. */
	readonly decodeLoad: number;
};

/**
 * Traffic between data centres is billed. Sending the prompt and the stream of a model request to another data centre costs about as much of
 * its value as this delay.
 */
const crossingCostMs = 15;
/** Delay of the second call of a split request: one more hop and the fetch of the KV cache. */
const splitCostMs = 12;
/** Cost, expressed as delay, of prefilling 1,000 shared tokens that another engine has cached. */
const recomputeMsPerThousandTokens = 25;
/** A longer prefill backlog at a decode engine would hold up the requests whose KV cache it fetches. */
const maxDirectPrefillMs = 120;
/** The streams of a decode engine pause while it prefills. They may spend this fraction of their longest allowed pause so. */
const maxDirectGapFraction = 0.35;
/** Cost of a millisecond of prefill to the streams of a decode engine, in milliseconds of delay of the request. */
const directPrefillCostFactor = 0.5;
/** Cost of the load of a decode engine with free slots, so that streams are distributed evenly. */
const loadCostMs = 40;
/** Cost of the time of an answer: a slow engine pauses its streams for longer when it prefills, and holds their slots and memory for longer. */
const streamTimeCostFactor = 0.05;

type ExpectedPrefill = {
	/** This request's work. */
	readonly ownMs: number;
	/** Pending work, including this request's. */
	readonly waitMs: number;
	/** Time until the prefill completes, including more urgent work that arrives meanwhile. */
	readonly completionMs: number;
	readonly uncachedTokens: number;
	readonly scoreMs: number;
};

const estimatePrefill = (view: EndpointView, request: SelectionRequest, {nowMs, mostCachedTokens, random}: SelectionContext & {readonly mostCachedTokens: number}): ExpectedPrefill => {
	const cachedTokens = view.segmentCache.cachedTokens(request.segments);
	const uncachedTokens = Math.max(1, request.promptTokens - cachedTokens);
	const ownMs = view.prefillLatency.prefillMs({uncachedTokens, cachedTokens});
	const waitMs = view.prefillBacklog.waitMs(request.level, nowMs) + ownMs;
	const completionMs = view.prefillBacklog.completionMs(request.level, ownMs, nowMs);
	const recomputeMs = Math.max(0, mostCachedTokens - cachedTokens) * recomputeMsPerThousandTokens / 1000;
	const scoreMs = completionMs + view.prefillLatency.firstTokenDelayMs + recomputeMs + (dataCentreCrossings(view, request.dataCentre) * crossingCostMs)
		+ (random ? random() * view.prefillBacklog.unseenMs(nowMs) : 0);
	return {
		ownMs, waitMs, completionMs, uncachedTokens, scoreMs,
	};
};

/** Requests of a decode engine beyond its slots or its memory, including this one. */
const excessRequests = ({running, runningTokens, endpoint}: EndpointView, {promptTokens, outputTokens}: SelectionRequest, kvTokens: number): number => {
	const missingTokens = runningTokens + promptTokens + outputTokens - kvTokens;
	const tokensPerRequest = Math.max(1, runningTokens / Math.max(1, running));
	return Math.max(0, running + 1 - Math.max(1, endpoint.slots), missingTokens / tokensPerRequest);
};

/** Time until a full engine has a free slot. Late requests yield their slots to those that can still meet their latency target. */
const slotWaitMs = (view: EndpointView, request: SelectionRequest, {kvTokens}: SelectionContext): number => {
	const excess = excessRequests(view, request, kvTokens);
	const requestsAhead = request.level === lowestPriorityLevel ? excess : Math.max(Math.min(1, excess), excess - view.lateRequests);
	return requestsAhead * view.decodeLatency.meanStreamMs(1) / Math.max(1, view.endpoint.slots);
};

/** Fraction of the remaining time that an answer may be expected to take; the margin allows for inaccurate estimates. */
const remainingTimeFraction = 0.7;
/** With fewer decode engines, none is reserved for long answers. */
const minEnginesForReserve = 3;
/** The reserved engine takes other requests up to this fraction of its slots without extra cost. */
const reservedEngineLoadFraction = 0.5;
/** Cost of sending another request to the reserved engine beyond that. */
const reservedEngineCostMs = 300;

const loadWith = (view: EndpointView, {promptTokens}: SelectionRequest, {kvTokens}: SelectionContext): number => engineLoad({
	running: view.running + 1, tokens: view.runningTokens + promptTokens, slots: view.endpoint.slots, kvTokens,
});

/** Time by which an answer is expected to miss its deadline on an engine. */
const overrunMs = (view: EndpointView, request: SelectionRequest, context: SelectionContext): number => {
	const load = Math.min(1, loadWith(view, request, context));
	return Math.max(0, (request.outputTokens * view.decodeLatency.msPerToken(load)) - (request.remainingMs * remainingTimeFraction));
};

/**
 * Selects the decode engine that is reserved for long answers. With a few long answers among many short ones, the long ones would miss their
 * deadlines on fully loaded engines, so one of the fastest engines, the same for all entries, is kept at a lower load for them.
 */
const findReservedEngine = (decoders: readonly EndpointView[]): EndpointView | undefined =>
	decoders.length < minEnginesForReserve
		? undefined
		: findNearFastest(decoders, ({decodeLatency}) => decodeLatency.msPerToken(referenceLoad)).toSorted((a, b) => a.endpoint.id < b.endpoint.id ? -1 : 1)[0];

const reservedCostMs = (view: EndpointView, request: SelectionRequest, {reservedEngine}: SelectionContext): number =>
	view === reservedEngine && view.running > view.endpoint.slots * reservedEngineLoadFraction && !request.isLongAnswer ? reservedEngineCostMs : 0;

const scoreDecode = (view: EndpointView, request: SelectionRequest, context: SelectionContext): number =>
	slotWaitMs(view, request, context)
	+ overrunMs(view, request, context)
	+ reservedCostMs(view, request, context)
	+ (loadCostMs * view.running / Math.max(1, view.endpoint.slots))
	+ (streamTimeCostFactor * request.outputTokens * view.decodeLatency.msPerToken(Math.min(1, loadWith(view, request, context))))
	+ (dataCentreCrossings(view, request.dataCentre) * crossingCostMs);

type Candidates = {readonly decoders: readonly EndpointView[]; readonly prefillers: readonly EndpointView[]; readonly mostCachedTokens: number};

const findCandidates = (views: readonly EndpointView[], {excluded, segments}: SelectionRequest, nowMs: number): Candidates => {
	// Each role is filtered separately: ejected decode engines are better than none, even if usable prefill engines exist.
	const decoders = findSelectable(views.filter(({endpoint}) => endpoint.role !== 'prefill'), excluded, nowMs);
	const prefillers = findSelectable(views.filter(({endpoint}) => endpoint.role === 'prefill'), excluded, nowMs);
	const mostCachedTokens = Math.max(0, ...[...decoders, ...prefillers].map(view => view.segmentCache.cachedTokens(segments)));
	return {decoders, prefillers, mostCachedTokens};
};

/** The candidates of each software version. What two versions write does not fit together, so the engines of one request have the same one. */
const splitByVersion = (candidates: Candidates): Candidates[] => {
	const {decoders, prefillers, mostCachedTokens} = candidates;
	const versionOf = ({endpoint}: EndpointView): SoftwareVersion => softwareVersionOf(endpoint);
	const [first] = decoders;
	if (!first || [...decoders, ...prefillers].every(view => versionOf(view) === versionOf(first))) {
		return [candidates];
	}

	const prefillersOf = groupBy(prefillers, view => versionOf(view));
	return [...groupBy(decoders, view => versionOf(view))]
		.map(([version, ofVersion]) => ({decoders: ofVersion, prefillers: prefillersOf.get(version) ?? [], mostCachedTokens}));
};

type ScoredSelection = {readonly selection: EngineSelection; readonly scoreMs: number};

/** Selects the best decode engine that prefills the prompt itself. */
const selectDirect = ({decoders, prefillers, mostCachedTokens}: Candidates, request: SelectionRequest, context: SelectionContext): ScoredSelection | undefined => {
	const estimates = new Map(decoders.map(view => [view, estimatePrefill(view, request, {...context, mostCachedTokens})]));
	const eligible = prefillers.length === 0
		? decoders
		: decoders.filter(view => estimates.get(view)!.waitMs <= Math.min(maxDirectPrefillMs, request.maxGapMs * maxDirectGapFraction));
	const scoreOf = (view: EndpointView): number => {
		const {scoreMs, ownMs} = estimates.get(view)!;
		return scoreMs + (directPrefillCostFactor * ownMs) + scoreDecode(view, request, context);
	};

	const decodeEngine = pickLowest(eligible, scoreOf);
	if (!decodeEngine) {
		return undefined;
	}

	const {waitMs, completionMs, uncachedTokens} = estimates.get(decodeEngine)!;
	const slotMs = slotWaitMs(decodeEngine, request, context);
	const firstTokenMs = completionMs + decodeEngine.prefillLatency.firstTokenDelayMs + slotMs;
	return {
		selection: {
			decodeEngine, prefillWaitMs: waitMs, uncachedTokens, firstTokenMs, slotWaitMs: slotMs, decodeLoad: loadWith(decodeEngine, request, context),
		},
		scoreMs: scoreOf(decodeEngine),
	};
};

type ScoredDecodeEngine = {
	readonly decodeEngine: EndpointView;
	readonly scoreMs: number;
	/** Expected time from the end of the prefill to the first token. */
	readonly afterPrefillMs: number;
	readonly slotWaitMs: number;
};

/** Selects the best decode engine that fetches the KV cache from a prefill engine. */
const selectFetching = ({decoders}: Candidates, request: SelectionRequest, context: SelectionContext): ScoredDecodeEngine | undefined => {
	// A request whose KV cache is fetched still queues behind the prompts that the engine prefills itself.
	const prefillQueueMs = (view: EndpointView): number => view.prefillBacklog.waitMs(request.level, context.nowMs);
	const scoreOf = (view: EndpointView): number => scoreDecode(view, request, context) + prefillQueueMs(view);
	const decodeEngine = pickLowest(decoders, scoreOf);
	if (!decodeEngine) {
		return undefined;
	}

	const slotMs = slotWaitMs(decodeEngine, request, context);
	return {
		decodeEngine, scoreMs: scoreOf(decodeEngine) + splitCostMs, afterPrefillMs: prefillQueueMs(decodeEngine) + slotMs + splitCostMs, slotWaitMs: slotMs,
	};
};

/** Selects the best pair of a prefill and a decode engine. */
const selectSplit = (candidates: Candidates, request: SelectionRequest, context: SelectionContext): ScoredSelection | undefined => {
	const {prefillers, mostCachedTokens} = candidates;
	const estimates = new Map(prefillers.map(view => [view, estimatePrefill(view, request, {...context, mostCachedTokens})]));
	const prefillEngine = pickLowest(prefillers, view => estimates.get(view)!.scoreMs);
	const fetching = selectFetching(candidates, request, context);
	if (!prefillEngine || !fetching) {
		return undefined;
	}

	const {decodeEngine, afterPrefillMs, slotWaitMs: slotMs} = fetching;
	const {waitMs, completionMs, uncachedTokens, scoreMs} = estimates.get(prefillEngine)!;
	return {
		selection: {
			decodeEngine,
			prefillEngine,
			prefillWaitMs: waitMs,
			uncachedTokens,
			firstTokenMs: completionMs + prefillEngine.prefillLatency.firstTokenDelayMs + afterPrefillMs,
			slotWaitMs: slotMs,
			decodeLoad: loadWith(decodeEngine, request, context),
		},
		scoreMs: scoreMs + fetching.scoreMs,
	};
};

/** Selects the decode engine of a request whose prompt is already prefilled. */
const selectForPrefilled = (candidates: Candidates, request: SelectionRequest & {readonly prefilledAt: EndpointView}, context: SelectionContext): EngineSelection | undefined => {
	const fetching = selectFetching(candidates, request, context);
	return fetching && {
		decodeEngine: fetching.decodeEngine,
		prefillEngine: request.prefilledAt,
		prefillWaitMs: 0,
		uncachedTokens: 0,
		firstTokenMs: fetching.afterPrefillMs,
		slotWaitMs: fetching.slotWaitMs,
		decodeLoad: loadWith(fetching.decodeEngine, request, context),
	};
};

/** Of equal scores the later one counts: without a difference, an engine that prefills the prompt itself. */
const pickBest = (selections: readonly ScoredSelection[]): ScoredSelection | undefined => pickLowest(selections.toReversed(), ({scoreMs}) => scoreMs) ?? selections.at(-1);

/** Selects the engines of a model request; undefined if no engine can decode it. */
export const selectEngines = (views: readonly EndpointView[], request: SelectionRequest, context: SelectionContext): EngineSelection | undefined => {
	const candidates = findCandidates(views, request, context.nowMs);
	const reservedEngine = findReservedEngine(candidates.decoders);
	const isLongAnswer = candidates.decoders.some(view => view !== reservedEngine && overrunMs(view, request, context) > 0);
	const {prefilledAt} = request;
	const groups = splitByVersion(candidates);
	if (prefilledAt) {
		const version = softwareVersionOf(prefilledAt.endpoint);
		const group = groups.find(({decoders: [first]}) => first && softwareVersionOf(first.endpoint) === version);
		return group && selectForPrefilled(group, {...request, prefilledAt, isLongAnswer}, {...context, reservedEngine});
	}

	const selections = groups.flatMap(group => [
		selectSplit(group, {...request, isLongAnswer}, {...context, reservedEngine}),
		selectDirect(group, {...request, isLongAnswer}, {...context, reservedEngine}),
	]).filter(scored => scored !== undefined);
	return pickBest(selections)?.selection;
};
