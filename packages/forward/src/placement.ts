/**
 * Turns what is known of a request and the endpoints into the place where it runs.
 */
import {
	chooseLevel, chooseModelPlace, choosePlainPlace, lateLevel, patienceMs, type ModelPlace, type PlaceRequest,
} from '@hawthorncleat/core';
import type {KnownEndpoint} from './endpoint-pool.js';
import type {AdmittedRequest, DecodeView, ForwardDeps} from './forward-types.js';
import type {KvHandle} from './ports.js';

/** A prompt whose KV cache waits at a prefill engine, because no decode engine has fetched it. */
export type PrefilledPrompt = {readonly at: KnownEndpoint; readonly handle: KvHandle};

/** Where a request runs. */
export type Placement = {
	readonly known: KnownEndpoint;
	/** Prefills the prompt first. */
	readonly prefill?: KnownEndpoint;
	/** Its KV cache of the prompt, if an earlier attempt has left one. */
	readonly kvSource?: KvHandle;
	/** Priority in the queue of the engine that prefills. */
	readonly level?: number;
	/** Priority at the decode engine. */
	readonly decodeLevel?: number;
	/** Expected wait for the prefill, without the engine's latency. */
	readonly waitMs?: number;
	/** Expected time until the first token. */
	readonly expectedMs?: number;
	readonly uncachedTokens?: number;
	/** What the decode engine was expected to bear. */
	readonly decode?: DecodeView;
	/** No further endpoint may run the request. */
	readonly isLast?: boolean;
};

/** The engines cannot serve the request before its caller leaves. */
export type Overload = {
	readonly kind: 'overload';
	/** The expected first token comes too late, or the long answers of a fuller engine would not end in time. */
	readonly code: 'crowded' | 'overloaded';
	readonly retryAfterMs: number;
	/** What decided it, for the log. */
	readonly inputs: Readonly<Record<string, number>>;
};

/** Part of the caller's patience that the expected wait may take; the expectation is that rough. */
const patiencePart = 0.9;
/** Callers that are refused together come back spread over this part of their pause. */
const retrySpread = 0.4;
/** Callers wait for a return only so long, in parts of the time that they have left. */
const maxRetryPart = 0.3;
/** Bursts last seconds; a caller that comes back sooner meets the same queue. */
const minRetryMs = 400;

/** Part of the time of a stream after which engines that are too crowded have room again. */
const crowdedRetryPart = 0.5;

type LevelledPlace = ModelPlace & {readonly level: number; readonly decodeLevel: number};

type Choice = {
	readonly admitted: AdmittedRequest;
	readonly place: Omit<PlaceRequest, 'level'>;
	/** Time by which the first token must be expected, counted from the request's arrival. */
	readonly limitMs: number;
};

/** Chooses the level and the engines. A late request goes behind all others, unless the share of late ones pays for it. */
const chooseLevelledPlace = (deps: ForwardDeps, {admitted: {route, service, account, exchange}, place, limitMs}: Choice): LevelledPlace | undefined => {
	const views = deps.pool.ofService(service.name);
	const context = {nowMs: deps.clock.nowMs(), kvTokens: service.engine!.kvTokens};
	const share = deps.load.lateShare(service.name);
	const priority = account?.priority ?? route.priority;
	const ownLevel = chooseLevel(priority, place.promptTokens);
	const choose = (level: number): LevelledPlace | undefined => {
		const chosen = chooseModelPlace(views, {...place, level}, context);
		// Once its prompt has been prefilled elsewhere, a late request that is preempted at the decode engine wastes that work.
		return chosen && {...chosen, level, decodeLevel: chosen.prefill ? ownLevel : level};
	};

	const isBy = (chosen: LevelledPlace, ms: number): boolean => exchange.elapsedMs + chosen.firstTokenMs <= ms;
	const inTurn = choose(ownLevel);
	if (!inTurn) {
		return undefined;
	}

	if (isBy(inTurn, route.latencyTargetMs)) {
		share.save(inTurn.uncachedTokens);
		return inTurn;
	}

	const late = choose(lateLevel)!;
	if (isBy(late, limitMs)) {
		return late;
	}

	// Large prompts stand behind small ones of their priority, so that level would not serve them either.
	const first = choose(chooseLevel(priority, 0))!;
	return isBy(first, limitMs) && share.take({promptTokens: place.promptTokens, uncachedTokens: first.uncachedTokens}) ? first : late;
};

type RefusalReason = Pick<Overload, 'code'> & {readonly waitMs: number; readonly leftMs: number; readonly outputTokens: number; readonly inputs: Readonly<Record<string, number>>};

/** Refuses a request and counts what it asked for. */
const refuse = (deps: ForwardDeps, chosen: LevelledPlace, {code, waitMs, leftMs, outputTokens, inputs}: RefusalReason): Overload => {
	const {decode, prefill, uncachedTokens: tokens, level} = chosen;
	deps.load.refuseWork(decode as KnownEndpoint, {tokens, outputTokens});
	return {
		kind: 'overload',
		code,
		retryAfterMs: Math.max(minRetryMs, Math.min(waitMs, leftMs * maxRetryPart)) * (1 + (retrySpread * (deps.random() - 0.5))),
		inputs: {
			...inputs, tokens, outputTokens, level, running: decode.running, prefillWaitMs: prefill ? chosen.waitMs : 0,
		},
	};
};

const placeModel = (deps: ForwardDeps, admitted: AdmittedRequest, {excluded, prefilled, mayRefuse}: PlaceOptions): Overload | Placement | undefined => {
	const {request, route, service, exchange} = admitted;
	const place = {
		parts: request.segments,
		promptTokens: request.promptTokens,
		outputTokens: admitted.outputTokens,
		dataCentre: deps.dataCentre,
		leftMs: exchange.leftMs,
		excluded,
		prefilledAt: prefilled?.at,
	};
	const limitMs = Math.min(patienceMs(route) * patiencePart, exchange.endsAtMs - exchange.startedMs);
	const chosen = chooseLevelledPlace(deps, {admitted, place, limitMs});
	if (!chosen) {
		return undefined;
	}

	const {decodeLevel, firstTokenMs, decode: {decode: pace}} = chosen;
	const {outputTokens, leftMs} = place;
	const maxLoad = deps.load.longAnswers(service.name).maxLoad(pace, {
		kind: route.name, level: decodeLevel, guessedTokens: request.guessedTokens, nowMs: deps.clock.nowMs(),
	});
	if (mayRefuse && chosen.decodeLoad > maxLoad) {
		return refuse(deps, chosen, {
			code: 'crowded', leftMs, outputTokens, waitMs: pace.streamMs(1) * crowdedRetryPart, inputs: {load: chosen.decodeLoad, maxLoad},
		});
	}

	if (mayRefuse && exchange.elapsedMs + firstTokenMs > limitMs) {
		return refuse(deps, chosen, {
			code: 'overloaded', leftMs, outputTokens, waitMs: firstTokenMs, inputs: {expectedMs: firstTokenMs, limitMs},
		});
	}

	return {
		known: chosen.decode as KnownEndpoint,
		prefill: chosen.prefill as KnownEndpoint | undefined,
		kvSource: prefilled?.handle,
		level: chosen.level,
		decodeLevel,
		waitMs: chosen.waitMs,
		expectedMs: firstTokenMs,
		uncachedTokens: chosen.uncachedTokens,
		decode: {
			running: chosen.decode.running,
			load: chosen.decodeLoad,
			maxLoad,
			memory: chosen.decode.runningTokens / Math.max(1, service.engine!.kvTokens),
			placeWaitMs: chosen.placeWaitMs,
			msPerToken: pace.msPerToken(chosen.decodeLoad),
		},
	};
};

export type PlaceOptions = {
	/** Endpoints that have refused or failed the request. */
	readonly excluded: ReadonlySet<string>;
	/** KV cache that an earlier attempt has left. */
	readonly prefilled?: PrefilledPrompt;
	/** The request has not run yet. */
	readonly mayRefuse: boolean;
};

/** Chooses where a request runs; undefined when no endpoint is left. */
export const placeRequest = (deps: ForwardDeps, admitted: AdmittedRequest, options: PlaceOptions): Overload | Placement | undefined => {
	if (admitted.service.engine) {
		return placeModel(deps, admitted, options);
	}

	const {clock, random, dataCentre, pool} = deps;
	const views = pool.ofService(admitted.service.name);
	const known = choosePlainPlace(views, {dataCentre, excluded: options.excluded}, {nowMs: clock.nowMs(), random});
	return known && {known: known as KnownEndpoint};
};
