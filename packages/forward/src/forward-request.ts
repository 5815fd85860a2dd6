/**
 * Serves one request: chooses where it runs, sends it, and decides after a failure whether it may be sent again.
 */
import {decideRetry, RequestArrivals, type FailureKind} from '@hawthorncleat/core';
import {relayAnswer} from './answer-relay.js';
import type {
	AdmittedRequest, AttemptResult, AttemptState, FailedAttempt, ForwardDeps, Outcome,
} from './forward-types.js';
import {judgeAttempt} from './judge-attempt.js';
import {placeRequest, type Placement} from './placement.js';
import {releaseHandle} from './prefill.js';
import {StreamRelay} from './stream-relay.js';

/** Tries that no endpoint has run; each costs a refusal at most. */
const maxUnrunTries = 4;
/** A caller that comes back sooner meets the same queue. */
const refusedRetryMs = 250;

const failuresBeforeRun = new Set<FailureKind>(['not-connected', 'refused']);

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
		const isBegun = exchange.hasHead && !attempts.relay;
		if (isBegun || !mayRetry(admitted, progress, failure)) {
			return finishFailed(admitted, progress);
		}

		progress.earlier.push(failure);
	}
};

/** A request whose output nobody has looked at yet. */
export type AuthorizedRequest = Omit<AdmittedRequest, 'outputTokens'>;

const expectOutput = ({load}: ForwardDeps, {request, route, service}: AuthorizedRequest): number => service.engine
	? Math.min(request.maxOutputTokens, load.longAnswers(service.name).expect(route.name, request.guessedTokens))
	: 0;

/** Runs the attempts of a request until it is answered or given up. */
export const forwardRequest = async (deps: ForwardDeps, authorized: AuthorizedRequest): Promise<Outcome> => {
	const {exchange, request, route, service} = authorized;
	const relay = route.kind === 'stream' ? new StreamRelay(exchange, request.lastEventId) : undefined;
	const attempts: AttemptState = {relay, arrivals: new RequestArrivals()};
	deps.retriesOf(service.name).countFirst();
	if (relay) {
		const asked = {kind: route.name, guessedTokens: request.guessedTokens, limitMs: exchange.leftMs};
		deps.load.longAnswers(service.name).note(asked, deps.clock.nowMs());
	}

	const admitted = {...authorized, outputTokens: expectOutput(deps, authorized)};
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
		crashes.recordCompletedRequest(admitted);
	} else if (result.isDown) {
		crashes.recordCrash(result.at.endpoint.id);
	} else if (result.failure === 'connection-lost') {
		crashes.recordBrokenRequest(result.at.endpoint.id, admitted);
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
