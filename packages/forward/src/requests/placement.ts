/**
 * Endpoint selection for one attempt of a request. For a model request it selects the engines and the priority level, and
 * rejects the request when its first token is expected too late or the decode engines are saturated.
 */
import {
	choosePriorityLevel, selectEngines, selectEndpoint, lowestPriorityLevel, maxQueueMs, type EngineSelection, type SelectionRequest,
} from '@hawthorncleat/core';
import type {PooledEndpoint} from '../endpoints/endpoint-pool.js';
import type {KvHandle} from '../ports.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {DecodeView} from './attempt-report.js';
import type {ForwardDeps} from './forward-deps.js';

/** A prompt whose KV cache is still held by its prefill engine, because no decode engine has fetched it. */
export type PrefilledPrompt = {readonly engine: PooledEndpoint; readonly handle: KvHandle};

/** The endpoints that run a request, and the figures that led to their selection. */
export type Placement = {
	readonly target: PooledEndpoint;
	/** Prefill engine; absent when the target prefills the prompt itself. */
	readonly prefill?: PooledEndpoint;
	/** KV cache of the prompt that an earlier attempt left at the prefill engine. */
	readonly kvSource?: KvHandle;
	/** Priority level in the queue of the engine that prefills. */
	readonly level?: number;
	/** Priority level at the decode engine. */
	readonly decodeLevel?: number;
	/** Expected time in the prefill queue and for the prefill itself, without the engine's latency. */
	readonly prefillWaitMs?: number;
	/** Expected time until the first token. */
	readonly firstTokenMs?: number;
	readonly uncachedTokens?: number;
	/** State of the decode engine when it was selected. */
	readonly decode?: DecodeView;
};

/** A rejection, because the engines cannot serve the request before its caller gives up. */
export type Overload = {
	readonly kind: 'overload';
	/**
	 * `overloaded`: the first token is expected too late. `crowded`: with more load at the engine, its long answers would miss
	 * their deadlines.
	 */
	readonly code: 'crowded' | 'overloaded';
	readonly retryAfterMs: number;
	/** Figures that decided the rejection, for the log. */
	readonly inputs: Readonly<Record<string, number>>;
	/** Work that the rejected request would have been, and the engine that was selected for it. */
	readonly demand: {readonly engine: PooledEndpoint; readonly tokens: number; readonly outputTokens: number};
};

/** Fraction of the caller's queueing limit that the expected wait may take. The rest covers the error of the estimate. */
const maxWaitFraction = 0.9;
/** Callers that are rejected together retry spread over this fraction of their retry delay. */
const retryJitterFraction = 0.4;
/** The retry delay takes at most this fraction of the time that the caller has left. */
const maxRetryFraction = 0.3;
/** Bursts last seconds; a caller that retries sooner finds the same queue. */
const minRetryMs = 400;

/** Fraction of the duration of a stream after which a saturated engine has spare capacity again. */
const saturatedRetryFraction = 0.5;

type PrioritizedSelection = EngineSelection & {readonly level: number; readonly decodeLevel: number};

type SelectionOptions = {
	readonly admitted: AdmittedRequest;
	readonly selectionRequest: Omit<SelectionRequest, 'level'>;
	/** Limit for the expected time of the first token, counted from the request's arrival. */
	readonly limitMs: number;
	readonly isTrial: boolean;
};

/**
 * Selects the priority level and the engines. A request that is expected to miss its latency target gets the lowest priority
 * class, unless that would exceed the caller's limit and the budget for late requests pays for a higher level.
 */
const selectWithPriority = (deps: ForwardDeps, {admitted: {route, service, account, exchange}, selectionRequest, limitMs, isTrial}: SelectionOptions): PrioritizedSelection | undefined => {
	const views = deps.pool.ofService(service.name);
	const context = {
		nowMs: deps.clock.nowMs(), kvTokens: service.engine!.kvTokens, random: deps.random,
	};
	const lateBudget = deps.load.lateRequestBudget(service.name);
	const priority = account?.priority ?? route.priority;
	const requestLevel = choosePriorityLevel(priority, selectionRequest.promptTokens);
	const selectAt = (level: number): PrioritizedSelection | undefined => {
		const chosen = selectEngines(views, {...selectionRequest, level}, context);
		// The lowest level applies to the prefill only: a preemption at the decode engine would waste a prefill done elsewhere.
		return chosen && {...chosen, level, decodeLevel: chosen.prefillEngine ? requestLevel : level};
	};

	const isExpectedWithin = (chosen: PrioritizedSelection, ms: number): boolean => exchange.elapsedMs + chosen.firstTokenMs <= ms;
	const regular = selectAt(requestLevel);
	if (!regular) {
		return undefined;
	}

	if (isExpectedWithin(regular, route.latencyTargetMs)) {
		if (!isTrial) {
			lateBudget.credit(regular.uncachedTokens);
		}

		return regular;
	}

	const late = selectAt(lowestPriorityLevel)!;
	if (isTrial || isExpectedWithin(late, limitMs)) {
		return late;
	}

	// The level of small prompts: large prompts queue behind them, so at its own level a large prompt would not be served either.
	const promoted = selectAt(choosePriorityLevel(priority, 0))!;
	return isExpectedWithin(promoted, limitMs) && lateBudget.trySpend({promptTokens: selectionRequest.promptTokens, uncachedTokens: promoted.uncachedTokens}) ? promoted : late;
};

type RejectionReason = Pick<Overload, 'code'> & {readonly waitMs: number; readonly remainingMs: number; readonly outputTokens: number; readonly inputs: Readonly<Record<string, number>>};

const reject = (deps: ForwardDeps, chosen: PrioritizedSelection, {code, waitMs, remainingMs, outputTokens, inputs}: RejectionReason): Overload => {
	const {decodeEngine: decode, prefillEngine: prefill, uncachedTokens: tokens, level} = chosen;
	return {
		kind: 'overload',
		code,
		retryAfterMs: Math.max(minRetryMs, Math.min(waitMs, remainingMs * maxRetryFraction)) * (1 + (retryJitterFraction * (deps.random() - 0.5))),
		inputs: {
			...inputs, tokens, outputTokens, level, running: decode.running, prefillWaitMs: prefill ? chosen.prefillWaitMs : 0,
		},
		demand: {engine: decode as PooledEndpoint, tokens, outputTokens},
	};
};

const placeModel = (deps: ForwardDeps, admitted: AdmittedRequest, {excluded, prefilled, mayReject, isTrial = false}: PlacementOptions): Overload | Placement | undefined => {
	const {request, route, service, exchange} = admitted;
	const selectionRequest = {
		segments: request.segments,
		promptTokens: request.promptTokens,
		outputTokens: admitted.outputTokens,
		maxGapMs: route.maxGapMs,
		dataCentre: deps.dataCentre,
		remainingMs: exchange.remainingMs,
		excluded,
		prefilledAt: prefilled?.engine,
	};
	const limitMs = Math.min(maxQueueMs(route) * maxWaitFraction, exchange.deadlineMs - exchange.startedMs);
	const chosen = selectWithPriority(deps, {
		admitted, selectionRequest, limitMs, isTrial,
	});
	if (!chosen) {
		return undefined;
	}

	const {decodeLevel, firstTokenMs, decodeEngine: {decodeLatency}} = chosen;
	const {outputTokens, remainingMs} = selectionRequest;
	const maxLoad = deps.load.longAnswerLoadLimit(service.name).maxLoad(decodeLatency, {
		kind: route.name, level: decodeLevel, guessedTokens: request.guessedTokens, nowMs: deps.clock.nowMs(),
	});
	if (mayReject && chosen.decodeLoad > maxLoad) {
		return reject(deps, chosen, {
			code: 'crowded', remainingMs, outputTokens, waitMs: decodeLatency.meanStreamMs(1) * saturatedRetryFraction, inputs: {load: chosen.decodeLoad, maxLoad},
		});
	}

	if (mayReject && exchange.elapsedMs + firstTokenMs > limitMs) {
		return reject(deps, chosen, {
			code: 'overloaded', remainingMs, outputTokens, waitMs: firstTokenMs, inputs: {expectedMs: firstTokenMs, limitMs},
		});
	}

	return {
		target: chosen.decodeEngine as PooledEndpoint,
		prefill: chosen.prefillEngine as PooledEndpoint | undefined,
		kvSource: prefilled?.handle,
		level: chosen.level,
		decodeLevel,
		prefillWaitMs: chosen.prefillWaitMs,
		firstTokenMs,
		uncachedTokens: chosen.uncachedTokens,
		decode: {
			running: chosen.decodeEngine.running,
			load: chosen.decodeLoad,
			maxLoad,
			memory: chosen.decodeEngine.runningTokens / Math.max(1, service.engine!.kvTokens),
			placeWaitMs: chosen.slotWaitMs,
			msPerToken: decodeLatency.msPerToken(chosen.decodeLoad),
		},
	};
};

export type PlacementOptions = {
	/** Endpoints that have rejected or failed the request. */
	readonly excluded: ReadonlySet<string>;
	/** KV cache that an earlier attempt left at its prefill engine. */
	readonly prefilled?: PrefilledPrompt;
	/** Whether the request may be rejected, because no endpoint has run it yet. */
	readonly mayReject: boolean;
	/** The selection may come to nothing, so it neither earns nor spends the budget for late requests. */
	readonly isTrial?: boolean;
};

/** Selects the endpoints of the next attempt; undefined when none is left. */
export const choosePlacement = (deps: ForwardDeps, admitted: AdmittedRequest, options: PlacementOptions): Overload | Placement | undefined => {
	if (admitted.service.engine) {
		return placeModel(deps, admitted, options);
	}

	const {clock, random, dataCentre, pool} = deps;
	const views = pool.ofService(admitted.service.name);
	const target = selectEndpoint(views, {dataCentre, excluded: options.excluded}, {nowMs: clock.nowMs(), random});
	return target && {target: target as PooledEndpoint};
};
