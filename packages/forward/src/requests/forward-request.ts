/**
 * Forwards one request: runs its attempts one after the other, or beside each other after a stall, until it is answered or none is left.
 */
import {RequestArrivals, softwareVersionOf, type ForwardRoute} from '@hawthorncleat/core';
import {createEarlyOutcome} from '../callers/early-end.js';
import {StreamRelay} from '../streams/stream-relay.js';
import {isNotRunFailure, isRepeatable} from './attempt-helpers.js';
import type {AttemptPhase} from './attempt-report.js';
import {AttemptRace, type RunLimits, type RunningAttempt} from './attempt-race.js';
import {finishAborted, finishFailed} from './finish-failed.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {AttemptResult} from './attempt-result.js';
import type {ForwardDeps} from './forward-deps.js';
import type {Outcome} from './outcome.js';
import type {RequestState} from './request-state.js';
import {
	findRetryDenial, replaceStalled, startNextAttempt, type RequestProgress,
} from './next-attempt.js';
import {releaseKvHandle} from './prefill.js';
import {recordStall} from './record-attempt-result.js';
import {ReservedCalls} from './reserved-calls.js';
import {protectFromStop} from './stop-times.js';

const handleStall = (deps: ForwardDeps, admitted: AdmittedRequest, progress: RequestProgress, stall: {attempt: RunningAttempt; phase: AttemptPhase}): void => {
	const {attempt, phase} = stall;
	if (!attempt.hasStalled) {
		attempt.hasStalled = true;
		recordStall(attempt.placement, phase, deps.clock.nowMs());
	}

	// At most one attempt runs beside the stalled one.
	if (progress.race.running.length > 1 || admitted.exchange.signal.aborted) {
		return;
	}

	const decision = replaceStalled(deps, admitted, progress, stall);
	if (decision !== attempt.stallDecision) {
		attempt.stallDecision = decision;
		deps.onStall(admitted, {
			endpoint: (phase === 'prefill' ? attempt.placement.prefill! : attempt.placement.target).endpoint.id,
			phase,
			decision,
			...decision === 'budget-used' && {inputs: {...deps.retryWindowOf(admitted.service.name).state}},
		});
	}
};

/** Records an attempt that has ended; returns the outcome if the request ends with it. */
const handleEnd = (deps: ForwardDeps, admitted: AdmittedRequest, progress: RequestProgress, {attempt, result}: {attempt: RunningAttempt; result: AttemptResult}): Outcome | undefined => {
	const {race, excluded, earlierFailures, request} = progress;
	if (race.running.length === 0) {
		progress.reserved.settle(request.arrivals.extraCalls);
	}

	if (result.kind === 'answered') {
		return {
			status: result.status, code: 'answered', ran: 'ran', attempts: progress.tries,
		};
	}

	const mayHaveRun = result.kind === 'superseded' ? result.mayHaveRun : !isNotRunFailure(result.failure);
	if (mayHaveRun) {
		progress.mayHaveRun = true;
		race.recordRun(attempt.placement.target);
	}

	if (result.kind === 'superseded') {
		return undefined;
	}

	if (result.isWithdrawn) {
		progress.withdrawn += 1;
		return undefined;
	}

	if (result.isQueueFull) {
		progress.withdrawn += 1;
		progress.lastFailure ??= result;
		excluded.add(result.failedAt.endpoint.id);
		return undefined;
	}

	const {failure} = result;
	// A later attempt that fails without an answer does not take away the answer of an earlier one.
	progress.lastFailure = {...result, answer: result.answer ?? progress.lastFailure?.answer};
	excluded.add(result.failedAt.endpoint.id);
	if (race.running.length > 0 || admitted.exchange.signal.aborted) {
		earlierFailures.push(failure);
		return undefined;
	}

	const hasPartialAnswer = admitted.exchange.hasBegunAnswer && !request.relay;
	const denial = hasPartialAnswer ? 'not-allowed' : findRetryDenial(deps, admitted, progress, failure);
	if (denial) {
		return {...finishFailed(deps, admitted, progress), retryDenied: denial};
	}

	earlierFailures.push(failure);
	return undefined;
};

const runLimitsOf = (route: ForwardRoute): RunLimits => ({isRepeatable: isRepeatable(route), maxEndpoints: route.maxAttempts});

const runAttempts = async (deps: ForwardDeps, admitted: AdmittedRequest, progress: RequestProgress): Promise<Outcome> => {
	const {race} = progress;
	const {signal} = admitted.exchange;
	for (;;) {
		if (race.running.length === 0) {
			const outcome = signal.aborted ? finishAborted(admitted, progress) : startNextAttempt(deps, admitted, progress);
			if (outcome) {
				return outcome;
			}
		}

		const event = await race.next();
		if (event.kind === 'stalled') {
			handleStall(deps, admitted, progress, event);
			continue;
		}

		const outcome = handleEnd(deps, admitted, progress, event);
		if (outcome) {
			return outcome;
		}
	}
};

/** A request before its output tokens have been estimated. */
export type AuthorizedRequest = Omit<AdmittedRequest, 'outputTokens'>;

const estimateOutputTokens = ({load}: ForwardDeps, {request, route, service}: AuthorizedRequest): number => service.engine
	? Math.min(request.maxOutputTokens, load.longAnswerLoadLimit(service.name).expectedTokens(route.name, request.guessedTokens))
	: 0;

/** Lets a resumed stream go on at the version that began it only. Returns the outcome if the request ends with that. */
const resumeStream = async ({streams, pool}: ForwardDeps, authorized: AuthorizedRequest, relay: StreamRelay): Promise<Outcome | undefined> => {
	const {exchange, service} = authorized;
	const version = await streams.findVersion(authorized);
	if (exchange.signal.aborted) {
		return createEarlyOutcome(exchange.endReason ?? 'timeout', {ran: 'not-run', attempts: 0});
	}

	const refuse = (code: string): Outcome => ({
		status: 503, code, ran: 'not-run', attempts: 0,
	});
	if (version === undefined) {
		return refuse('unknown-version');
	}

	relay.begin(version);
	const serving = pool.ofService(service.name).filter(({endpoint}) => !endpoint.isLeaving);
	const isGone = serving.length > 0 && serving.every(({endpoint}) => softwareVersionOf(endpoint) !== version);
	return isGone ? refuse('version-gone') : undefined;
};

/** Runs attempts until the request is answered or no retry is left. */
export const forwardRequest = async (deps: ForwardDeps, authorized: AuthorizedRequest): Promise<Outcome> => {
	const {exchange, request, route, service} = authorized;
	const relay = route.kind === 'stream' ? new StreamRelay(exchange, request.lastEventId) : undefined;
	const refused = relay && request.lastEventId !== undefined ? await resumeStream(deps, authorized, relay) : undefined;
	if (refused) {
		return refused;
	}

	const state: RequestState = {relay, arrivals: new RequestArrivals()};
	protectFromStop(authorized, deps.stop);
	const retryWindow = deps.retryWindowOf(service.name);
	retryWindow.recordFirstCall();
	deps.onRequest(service.name);
	if (relay) {
		const requestedAnswer = {kind: route.name, guessedTokens: request.guessedTokens, limitMs: exchange.remainingMs};
		deps.load.longAnswerLoadLimit(service.name).recordRequested(requestedAnswer, deps.clock.nowMs());
	}

	const admitted = {...authorized, outputTokens: estimateOutputTokens(deps, authorized)};
	const race = new AttemptRace(exchange.signal, runLimitsOf(route));
	const reserved = new ReservedCalls(retryWindow);
	try {
		const outcome = await runAttempts(deps, admitted, {
			mayHaveRun: false, tries: 0, withdrawn: 0, isTrial: false, request: state, race, reserved, excluded: new Set(), earlierFailures: [],
		});
		// The attempt that answered is not among those reached.
		const furtherRuns = race.reached.size - (outcome.code === 'answered' ? 0 : 1);
		return furtherRuns > 0 ? {...outcome, furtherRuns} : outcome;
	} finally {
		await race.close();
		reserved.settle(state.arrivals.extraCalls);
		if (state.prefilled) {
			releaseKvHandle(deps, state.prefilled.engine, state.prefilled.handle);
		}
	}
};
