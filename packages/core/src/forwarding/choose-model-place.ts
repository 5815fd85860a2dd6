/**
 * Chooses the engine that decodes a model request and, if that serves the first token sooner, another one that prefills
 * its prompt. Answers the load of long prompts among many short ones: prompts queue at prefill engines, and a decode engine
 * prefills only what it can in a moment, because that slows every stream that runs there.
 */
import {findNearFastest} from '../similar-latencies.js';
import {
	crossing, engineLoad, findUsable, pickLowest, type EndpointView,
} from './choose-place.js';
import {comparedLoad} from './decode-pace.js';
import type {PromptPart} from './deployment.js';
import {lateLevel} from './queue-level.js';

export type PlaceRequest = {
	readonly parts: readonly PromptPart[];
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** The answer is long for a crowded engine. */
	readonly isLong?: boolean;
	/** Level of the engine's queue. */
	readonly level: number;
	/** Time until the caller's limit. */
	readonly leftMs: number;
	/** Data centre of the entry. */
	readonly dataCentre: string;
	/** Endpoints that have refused or failed the request. */
	readonly excluded: ReadonlySet<string>;
	/** Engine that has prefilled the prompt already and keeps its KV cache. */
	readonly prefilledAt?: EndpointView;
};

export type PlaceContext = {
	readonly nowMs: number;
	readonly kvTokens: number;
	/** Decode engine that is kept for long answers. */
	readonly kept?: EndpointView;
};

export type ModelPlace = {
	readonly decode: EndpointView;
	/** Absent when the decode engine prefills the prompt itself. */
	readonly prefill?: EndpointView;
	/** Expected time until the prefill is done, without the engine's latency. */
	readonly waitMs: number;
	/** Expected time until the first token. */
	readonly firstTokenMs: number;
	/** Tokens of the prompt that the engine is not expected to hold. */
	readonly uncachedTokens: number;
	/** Expected wait for a place at the decode engine. */
	readonly placeWaitMs: number;
	/** Load of the decode engine with this request. */
	readonly decodeLoad: number;
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
/** Prefill at a decode engine beyond this holds up its streams and the requests whose KV cache it fetches. */
const directLimitMs = 120;
/** What a millisecond of prefill costs the streams of a decode engine, in milliseconds of its own request. */
const directCost = 0.5;
/** Weight of a decode engine's load while it has room, so that streams spread evenly. */
const loadMs = 40;

type Expected = {
	/** Work that waits, this request's included. */
	readonly waitMs: number;
	/** Time until the prefill is done, with the more urgent work that comes meanwhile. */
	readonly doneMs: number;
	readonly uncachedTokens: number;
	readonly scoreMs: number;
};

const expectPrefill = (view: EndpointView, request: PlaceRequest, {nowMs, most}: {nowMs: number; most: number}): Expected => {
	const cached = view.parts.cachedTokens(request.parts);
	const uncachedTokens = Math.max(1, request.promptTokens - cached);
	const ownMs = view.pace.workMs(uncachedTokens);
	const waitMs = view.work.waitMs(request.level, nowMs) + ownMs;
	const doneMs = view.work.expectMs(request.level, ownMs, nowMs);
	const rereadMs = Math.max(0, most - cached) * rereadMsPerThousand / 1000;
	const scoreMs = doneMs + view.pace.latencyMs + rereadMs + (crossing(view, request.dataCentre) * crossingMs);
	return {
		waitMs, doneMs, uncachedTokens, scoreMs,
	};
};

/** Requests of a decode engine beyond its places and its memory, this one included. */
const excess = ({running, runningTokens, endpoint}: EndpointView, {promptTokens, outputTokens}: PlaceRequest, kvTokens: number): number => {
	const missingTokens = runningTokens + promptTokens + outputTokens - kvTokens;
	const tokensPerRequest = Math.max(1, runningTokens / Math.max(1, running));
	return Math.max(0, running + 1 - Math.max(1, endpoint.places), missingTokens / tokensPerRequest);
};

/** Time until a place of a full engine is free. Late requests leave theirs to those that can still be on time. */
const placeWaitMs = (view: EndpointView, request: PlaceRequest, {kvTokens}: PlaceContext): number => {
	const all = excess(view, request, kvTokens);
	const ahead = request.level === lateLevel ? all : Math.max(Math.min(1, all), all - view.late);
	return ahead * view.decode.streamMs(1) / Math.max(1, view.endpoint.places);
};

/** Part of the time left that a long answer may be expected to take; expectations are rough. */
const answerPart = 0.7;
/** With fewer decode engines none is kept for long answers. */
const minEnginesToKeep = 3;
/** The engine that is kept for long answers takes others up to this part of its places. */
const keptPart = 0.5;
/** Delay for which another engine is preferred to the one that is kept. */
const keptMs = 300;

const loadWith = (view: EndpointView, {promptTokens}: PlaceRequest, {kvTokens}: PlaceContext): number => engineLoad({
	running: view.running + 1, tokens: view.runningTokens + promptTokens, places: view.endpoint.places, kvTokens,
});

/** Time by which an answer is expected to miss the caller's limit at an engine. */
const missMs = (view: EndpointView, request: PlaceRequest, context: PlaceContext): number => {
	const load = Math.min(1, loadWith(view, request, context));
	return Math.max(0, (request.outputTokens * view.decode.msPerToken(load)) - (request.leftMs * answerPart));
};

/**
 * Answers the load of a few long answers among many short ones: at crowded engines the long ones would miss their limit, so
 * one engine is kept less crowded for them: one of the quickest, the same for all entries.
 */
const findKept = (decoders: readonly EndpointView[]): EndpointView | undefined =>
	decoders.length < minEnginesToKeep
		? undefined
		: findNearFastest(decoders, ({decode}) => decode.msPerToken(comparedLoad)).toSorted((a, b) => a.endpoint.id < b.endpoint.id ? -1 : 1)[0];

const keepMs = (view: EndpointView, request: PlaceRequest, {kept}: PlaceContext): number =>
	view === kept && view.running > view.endpoint.places * keptPart && !request.isLong ? keptMs : 0;

const scoreDecode = (view: EndpointView, request: PlaceRequest, context: PlaceContext): number =>
	placeWaitMs(view, request, context)
	+ missMs(view, request, context)
	+ keepMs(view, request, context)
	+ (loadMs * view.running / Math.max(1, view.endpoint.places))
	+ (crossing(view, request.dataCentre) * crossingMs);

type Candidates = {readonly decoders: readonly EndpointView[]; readonly prefillers: readonly EndpointView[]; readonly most: number};

const findCandidates = (views: readonly EndpointView[], {excluded, parts}: PlaceRequest, nowMs: number): Candidates => {
	// Each role by itself: avoided decode engines are better than none, however many prefill engines there are.
	const decoders = findUsable(views.filter(({endpoint}) => endpoint.role !== 'prefill'), excluded, nowMs);
	const prefillers = findUsable(views.filter(({endpoint}) => endpoint.role === 'prefill'), excluded, nowMs);
	const most = Math.max(0, ...[...decoders, ...prefillers].map(view => view.parts.cachedTokens(parts)));
	return {decoders, prefillers, most};
};

type ScoredPlace = {readonly place: ModelPlace; readonly scoreMs: number};

/** The best decode engine that prefills the prompt itself. */
const chooseDirect = ({decoders, prefillers, most}: Candidates, request: PlaceRequest, context: PlaceContext): ScoredPlace | undefined => {
	const expected = new Map(decoders.map(view => [view, expectPrefill(view, request, {nowMs: context.nowMs, most})]));
	const mayPrefill = prefillers.length === 0
		? decoders
		: decoders.filter(view => expected.get(view)!.waitMs <= directLimitMs);
	const scoreOf = (view: EndpointView): number => {
		const {scoreMs, uncachedTokens} = expected.get(view)!;
		return scoreMs + (directCost * view.pace.workMs(uncachedTokens)) + scoreDecode(view, request, context);
	};

	const decode = pickLowest(mayPrefill, scoreOf);
	if (!decode) {
		return undefined;
	}

	const {waitMs, doneMs, uncachedTokens} = expected.get(decode)!;
	const placeMs = placeWaitMs(decode, request, context);
	const firstTokenMs = doneMs + decode.pace.latencyMs + placeMs;
	return {
		place: {
			decode, waitMs, uncachedTokens, firstTokenMs, placeWaitMs: placeMs, decodeLoad: loadWith(decode, request, context),
		},
		scoreMs: scoreOf(decode),
	};
};

type DecodeChoice = {
	readonly decode: EndpointView;
	readonly scoreMs: number;
	/** Expected time from the end of the prefill to the first token. */
	readonly decodeMs: number;
	readonly placeWaitMs: number;
};

/** The best decode engine that fetches the KV cache. */
const chooseFetching = ({decoders}: Candidates, request: PlaceRequest, context: PlaceContext): DecodeChoice | undefined => {
	// A request whose KV cache is fetched still waits for its turn among the prompts that the engine prefills itself.
	const turnMs = (view: EndpointView): number => view.work.waitMs(request.level, context.nowMs);
	const scoreOf = (view: EndpointView): number => scoreDecode(view, request, context) + turnMs(view);
	const decode = pickLowest(decoders, scoreOf);
	if (!decode) {
		return undefined;
	}

	const placeMs = placeWaitMs(decode, request, context);
	return {
		decode, scoreMs: scoreOf(decode) + splitMs, decodeMs: turnMs(decode) + placeMs + splitMs, placeWaitMs: placeMs,
	};
};

/** The best pair of a prefill and a decode engine. */
const chooseSplit = (candidates: Candidates, request: PlaceRequest, context: PlaceContext): ScoredPlace | undefined => {
	const {prefillers, most} = candidates;
	const expected = new Map(prefillers.map(view => [view, expectPrefill(view, request, {nowMs: context.nowMs, most})]));
	const prefill = pickLowest(prefillers, view => expected.get(view)!.scoreMs);
	const chosen = chooseFetching(candidates, request, context);
	if (!prefill || !chosen) {
		return undefined;
	}

	const {decode, decodeMs, placeWaitMs: placeMs} = chosen;
	const {waitMs, doneMs, uncachedTokens, scoreMs} = expected.get(prefill)!;
	return {
		place: {
			decode, prefill, waitMs, uncachedTokens, firstTokenMs: doneMs + prefill.pace.latencyMs + decodeMs, placeWaitMs: placeMs, decodeLoad: loadWith(decode, request, context),
		},
		scoreMs: scoreMs + chosen.scoreMs,
	};
};

/** The place of a request whose prompt has been prefilled; only its decode engine is still to be chosen. */
const choosePrefilled = (candidates: Candidates, request: PlaceRequest & {readonly prefilledAt: EndpointView}, context: PlaceContext): ModelPlace | undefined => {
	const chosen = chooseFetching(candidates, request, context);
	return chosen && {
		decode: chosen.decode,
		prefill: request.prefilledAt,
		waitMs: 0,
		uncachedTokens: 0,
		firstTokenMs: chosen.decodeMs,
		placeWaitMs: chosen.placeWaitMs,
		decodeLoad: loadWith(chosen.decode, request, context),
	};
};

/** Chooses the engines of a model request; undefined when none can decode it. */
export const chooseModelPlace = (views: readonly EndpointView[], request: PlaceRequest, context: PlaceContext): ModelPlace | undefined => {
	const candidates = findCandidates(views, request, context.nowMs);
	const kept = findKept(candidates.decoders);
	const isLong = candidates.decoders.some(view => view !== kept && missMs(view, request, context) > 0);
	const {prefilledAt} = request;
	if (prefilledAt) {
		return choosePrefilled(candidates, {...request, prefilledAt, isLong}, {...context, kept});
	}

	const direct = chooseDirect(candidates, {...request, isLong}, {...context, kept});
	const split = chooseSplit(candidates, {...request, isLong}, {...context, kept});
	if (direct && split) {
		return split.scoreMs < direct.scoreMs ? split.place : direct.place;
	}

	return (split ?? direct)?.place;
};
