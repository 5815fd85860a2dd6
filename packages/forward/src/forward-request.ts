/**
 * Serves one request: chooses where it runs, sends it, and decides after a failure whether it may be sent again.
 */
import type {Buffer} from 'node:buffer';
import {
	decideRetry,
	RequestArrivals,
	type Clock,
	type FailureKind,
	type ForwardAccount,
	type ForwardRoute,
	type ForwardService,
	type Random,
	type RetryWindow,
} from '@hawthorncleat/core';
import {relayAnswer} from './answer-relay.js';
import type {CrashGuard} from './crash-guard.js';
import type {CallerExchange} from './caller-exchange.js';
import type {EndpointPool, KnownEndpoint} from './endpoint-pool.js';
import {judgeAttempt} from './judge-attempt.js';
import type {CallerRequest, WireFormat} from './ports.js';
import type {ModelLoad} from './model-load.js';
import {releaseHandle} from './prefill.js';
import {placeRequest, type Placement, type PrefilledPrompt} from './placement.js';
import {StreamRelay} from './stream-relay.js';

/** An admitted request. */
export type AdmittedRequest = {
	readonly request: CallerRequest;
	readonly body: Buffer | undefined;
	readonly route: ForwardRoute;
	readonly service: ForwardService;
	readonly account: ForwardAccount | undefined;
	readonly exchange: CallerExchange;
};

export type ForwardDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly wire: WireFormat;
	readonly pool: EndpointPool;
	readonly load: ModelLoad;
	readonly dataCentre: string;
	readonly retriesOf: (service: string) => RetryWindow;
	/** A request has begun to run for an account. */
	readonly onRun: (admitted: AdmittedRequest) => void;
	readonly crashes: Pick<CrashGuard, 'noteBroken' | 'noteCrash' | 'noteServed' | 'quarantinedMs'>;
	readonly onAttempt: (admitted: AdmittedRequest, attempt: AttemptReport) => void;
};

/** What was known of a decode engine when it was chosen. */
export type DecodeView = {
	/** Requests there, this one not included. */
	readonly running: number;
	/** Load with this request, the mean of places and memory; 1 when both are taken. */
	readonly load: number;
	/** Load up to which it takes the request. */
	readonly maxLoad: number;
	/** Part of its memory that is taken. */
	readonly memory: number;
	/** Expected wait for a place. */
	readonly placeWaitMs: number;
};

/** What one attempt came to. */
export type AttemptResult
	= | {readonly kind: 'answered'; readonly status: number; readonly prefillMs?: number; readonly firstMs?: number}
		| FailedAttempt;

export type FailedAttempt = {
	readonly kind: 'failed';
	readonly failure: FailureKind;
	readonly retryAfterMs?: number;
	readonly answer?: HeldAnswer;
	readonly detail: string;
	readonly at: KnownEndpoint;
	/** Nothing listens at its address. */
	readonly isDown?: boolean;
	/** Another endpoint has the address now, or it has another role. */
	readonly isMisdirected?: boolean;
	readonly firstMs?: number;
};

/** A failure that the endpoint answered, which is the final answer when it may not be tried again. */
export type HeldAnswer = {readonly send: () => void; readonly status: number};

export type AttemptReport = {
	readonly endpoint: string;
	readonly prefill?: string;
	readonly expectedMs?: number;
	readonly level?: number;
	readonly uncachedTokens?: number;
	readonly tookMs: number;
	/** Time of the prefill at another engine. */
	readonly prefillMs?: number;
	/** Time from the start of the attempt to the first event of a stream. */
	readonly firstMs?: number;
	/** Calls of the attempt that loaded an endpoint again. */
	readonly furtherArrivals: number;
	/** What the decode engine was expected to bear when it was chosen. */
	readonly decode?: DecodeView;
	readonly result: AttemptResult;
};

/** How a request ended. */
export type Outcome = {
	readonly status: number;
	readonly code: string;
	readonly ran: 'not-run' | 'ran' | 'unknown';
	readonly attempts: number;
	readonly retryAfterMs?: number;
	/** Figures that decided a refusal. */
	readonly inputs?: Readonly<Record<string, number>>;
};

/** Tries that no endpoint has run; each costs a refusal at most. */
const maxUnrunTries = 4;
/** A caller that comes back sooner meets the same queue. */
const refusedRetryMs = 250;

const failuresBeforeRun = new Set<FailureKind>(['not-connected', 'refused']);

/** What the attempts of a request share. */
export type AttemptState = {
	readonly relay: StreamRelay | undefined;
	readonly arrivals: RequestArrivals;
	/** KV cache that the last attempt has left. */
	prefilled?: PrefilledPrompt;
};

type Progress = {
	runs: number;
	tries: number;
	readonly attempts: AttemptState;
	readonly excluded: Set<string>;
	readonly earlier: FailureKind[];
	lastFailure?: FailedAttempt;
};

const endedEarly = ({exchange}: AdmittedRequest, progress: Progress, ran: Outcome['ran']): Outcome => ({
	status: exchange.endReason === 'caller-left' ? 499 : 504,
	code: exchange.endReason ?? 'timeout',
	ran,
	attempts: progress.tries,
});

/** The calls of an attempt are known, and taken out of the budget, once its place has been chosen. */
const freeBudget = {take: () => true};

/** Whether another attempt may follow a failure. */
const mayRetry = (admitted: AdmittedRequest, progress: Progress, failure: FailureKind): boolean => {
	const {route} = admitted;
	const isUnrun = failuresBeforeRun.has(failure);
	const decision = decideRetry(failure, {
		attempts: isUnrun ? progress.tries : progress.runs,
		maxAttempts: isUnrun ? maxUnrunTries : route.maxAttempts,
		idempotent: route.kind === 'idempotent' || (route.kind === 'stream' && route.isResumable),
		earlier: progress.earlier,
	}, freeBudget);
	return decision.retry;
};

const finishFailed = (admitted: AdmittedRequest, progress: Progress): Outcome => {
	const {lastFailure, tries} = progress;
	const ran = progress.runs > 0 ? 'unknown' : 'not-run';
	if (lastFailure?.answer && ran !== 'not-run') {
		lastFailure.answer.send();
		return {
			status: lastFailure.answer.status, code: 'endpoint-error', ran: 'ran', attempts: tries,
		};
	}

	if (admitted.exchange.hasHead) {
		admitted.exchange.breakOff();
		return {
			status: 502, code: 'stream-broken', ran: 'ran', attempts: tries,
		};
	}

	return ran === 'not-run'
		? {
			status: 503, code: lastFailure ? 'endpoints-full' : 'no-endpoint', ran, attempts: tries, retryAfterMs: lastFailure?.retryAfterMs ?? refusedRetryMs,
		}
		: {
			status: 502, code: 'endpoint-failed', ran, attempts: tries,
		};
};

/** The limit on further calls has no room for another attempt. */
const finishWithoutRetries = (admitted: AdmittedRequest, progress: Progress): Outcome => {
	const outcome = finishFailed(admitted, progress);
	return outcome.ran === 'not-run' ? {...outcome, code: 'retries-used'} : outcome;
};

/** Chooses the place of the next attempt, or ends the request. */
const nextPlacement = (deps: ForwardDeps, admitted: AdmittedRequest, progress: Progress): Outcome | Placement => {
	const {excluded, runs, tries, attempts: {prefilled}} = progress;
	const placement = placeRequest(deps, admitted, {excluded, prefilled, mayRefuse: runs === 0});
	if (!placement) {
		return finishFailed(admitted, progress);
	}

	if ('kind' in placement) {
		return {
			status: 503, code: placement.code, ran: 'not-run', attempts: tries, retryAfterMs: placement.retryAfterMs, inputs: placement.inputs,
		};
	}

	return {...placement, isLast: runs + 1 >= admitted.route.maxAttempts || !hasOther(deps, admitted, placement)};
};

const runAttempts = async (deps: ForwardDeps, admitted: AdmittedRequest, progress: Progress): Promise<Outcome> => {
	const {exchange, service} = admitted;
	const {attempts} = progress;
	for (;;) {
		if (exchange.signal.aborted) {
			return endedEarly(admitted, progress, progress.runs > 0 ? 'unknown' : 'not-run');
		}

		const placement = nextPlacement(deps, admitted, progress);
		if ('code' in placement) {
			return placement;
		}

		const calls = attempts.arrivals.furtherOf({isSplit: placement.prefill !== undefined && !placement.kvSource});
		const reservation = deps.retriesOf(service.name).take(calls);
		if (!reservation) {
			return finishWithoutRetries(admitted, progress);
		}

		progress.tries += 1;
		const furtherBefore = attempts.arrivals.further;
		const result = await tryPlacement(deps, admitted, placement, attempts);
		reservation.giveBack(calls - (attempts.arrivals.further - furtherBefore));
		if (result.kind === 'answered') {
			return {
				status: result.status, code: 'answered', ran: 'ran', attempts: progress.tries,
			};
		}

		const {failure} = result;
		progress.lastFailure = result;
		progress.runs += failuresBeforeRun.has(failure) ? 0 : 1;
		if (exchange.signal.aborted) {
			return endedEarly(admitted, progress, progress.runs > 0 ? 'unknown' : 'not-run');
		}

		progress.excluded.add(result.at.endpoint.id);
		if (!mayRetry(admitted, progress, failure)) {
			return finishFailed(admitted, progress);
		}

		progress.earlier.push(failure);
	}
};

/** Runs the attempts of a request until it is answered or given up. */
export const forwardRequest = async (deps: ForwardDeps, admitted: AdmittedRequest): Promise<Outcome> => {
	const {exchange, request, route, service} = admitted;
	const relay = route.kind === 'stream' ? new StreamRelay(exchange, request.lastEventId) : undefined;
	const attempts: AttemptState = {relay, arrivals: new RequestArrivals()};
	deps.retriesOf(service.name).countFirst();
	if (relay) {
		const asked = {kind: route.name, outputTokens: request.outputTokens, limitMs: exchange.leftMs};
		deps.load.longAnswers(service.name).note(asked, deps.clock.nowMs());
	}

	const outcome = await runAttempts(deps, admitted, {
		runs: 0, tries: 0, attempts, excluded: new Set(), earlier: [],
	});
	if (attempts.prefilled) {
		releaseHandle(deps, attempts.prefilled.at, attempts.prefilled.handle);
	}

	return outcome;
};

/** Whether the service has another endpoint; without one a slow answer is waited for. */
const hasOther = ({pool}: ForwardDeps, {service}: AdmittedRequest, {known}: Placement): boolean =>
	pool.ofService(service.name).some(other => other !== known && !other.endpoint.isLeaving && other.endpoint.role !== 'prefill');

const noteCrashes = ({crashes}: ForwardDeps, admitted: AdmittedRequest, result: AttemptResult): void => {
	if (result.kind === 'answered') {
		crashes.noteServed(admitted);
	} else if (result.isDown) {
		crashes.noteCrash(result.at.endpoint.id);
	} else if (result.failure === 'connection-lost') {
		crashes.noteBroken(result.at.endpoint.id, admitted);
	}
};

const tryPlacement = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	placement: Placement,
	attempts: AttemptState,
): Promise<AttemptResult> => {
	const {arrivals} = attempts;
	const startMs = deps.clock.nowMs();
	const furtherBefore = arrivals.further;
	const {known} = placement;
	const result = await relayAnswer(deps, admitted, placement, attempts);
	if (!admitted.exchange.signal.aborted) {
		judgeAttempt(placement, result, deps.clock.nowMs());
		noteCrashes(deps, admitted, result);
	}

	deps.onAttempt(admitted, {
		endpoint: known.endpoint.id,
		prefill: placement.prefill?.endpoint.id,
		expectedMs: placement.expectedMs,
		level: placement.level,
		uncachedTokens: placement.uncachedTokens,
		tookMs: deps.clock.nowMs() - startMs,
		firstMs: result.firstMs,
		furtherArrivals: arrivals.further - furtherBefore,
		decode: placement.decode,
		...result.kind === 'answered' && {prefillMs: result.prefillMs},
		result,
	});
	return result;
};
