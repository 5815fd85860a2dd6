/**
 * Decides whether a request may have another attempt, selects its endpoints and starts it. A request that gets none ends here.
 */
import {
	decideRetry, softwareVersionOf, type FailureKind, type ForwardRoute, type SoftwareVersion,
} from '@hawthorncleat/core';
import {stoppingRetryMs} from '../callers/early-end.js';
import {isRepeatable} from './attempt-helpers.js';
import {type AttemptPhase, type StallDecision} from './attempt-report.js';
import type {AttemptRace, RunningAttempt} from './attempt-race.js';
import {finishFailed, finishQuarantined, finishWithoutRetries} from './finish-failed.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {FailedAttempt} from './attempt-result.js';
import type {ForwardDeps} from './forward-deps.js';
import type {Outcome, RetryDenial} from './outcome.js';
import type {RequestState} from './request-state.js';
import {
	choosePlacement, type Overload, type Placement, type PlacementOptions,
} from './placement.js';
import {runAndReportAttempt} from './report-attempt.js';
import type {ReservedCalls} from './reserved-calls.js';
import {expectedAnswerMs, fitsStop, isWorthRunning} from './stop-times.js';

/** Limit on tries, if the route allows no more endpoints. A try that no endpoint runs costs at most a refusal. */
const maxTries = 4;

const maxTriesOf = (route: ForwardRoute): number => Math.max(maxTries, route.maxAttempts);

export type RequestProgress = {
	/** Whether an endpoint may have run the request. */
	mayHaveRun: boolean;
	/** All attempts. */
	tries: number;
	/** Those of which nothing was written because their endpoint began to leave or wants no requests. They do not count towards the limit on tries. */
	withdrawn: number;
	/** Whether the request tries a prompt segment after its quarantine, which holds back all others meanwhile. */
	isTrial: boolean;
	readonly request: RequestState;
	readonly race: AttemptRace;
	readonly reserved: ReservedCalls;
	readonly excluded: Set<string>;
	readonly earlierFailures: FailureKind[];
	lastFailure?: FailedAttempt;
	/** Expected duration of the newest attempt. */
	expectedMs?: number;
};

/** `decideRetry` charges no budget: the number of calls is known, and charged, only once the endpoints of the next attempt are selected. */
const unlimitedBudget = {take: () => true};

/** Time until the request may run with its prompt. The one that tries a segment may go on until an endpoint may have run it. */
const quarantineRemainingMs = ({crashes}: ForwardDeps, admitted: AdmittedRequest, {isTrial, mayHaveRun, race}: RequestProgress): number | undefined =>
	isTrial && !mayHaveRun && race.running.length === 0 ? undefined : crashes.quarantineRemainingMs(admitted);

/** Why no attempt may follow one that has failed, or that has stalled and still runs; undefined if one may. */
export const findRetryDenial = (deps: ForwardDeps, admitted: AdmittedRequest, progress: RequestProgress, failure: FailureKind): RetryDenial | undefined => {
	const {route} = admitted;
	const {tries, withdrawn, earlierFailures} = progress;
	// Its own attempts, or those of other entries, may have brought it into quarantine since it arrived.
	if (quarantineRemainingMs(deps, admitted, progress) !== undefined) {
		return 'crashes-endpoints';
	}

	// The limit of the route counts endpoints and applies to their selection.
	const decision = decideRetry(failure, {
		attempts: tries - withdrawn,
		maxAttempts: maxTriesOf(route),
		idempotent: isRepeatable(route),
		earlier: earlierFailures,
	}, unlimitedBudget);
	return decision.retry ? undefined : decision.reason;
};

const isSplit = ({prefill, kvSource}: Placement): boolean => prefill !== undefined && !kvSource;

/** Reserves the extra calls of one more attempt; returns false when the retry budget does not allow them. */
const reserveCalls = ({request, race, reserved}: RequestProgress, placement: Placement): boolean => {
	const running = race.running.map(attempt => ({isSplit: isSplit(attempt.placement)}));
	return reserved.reserve(request.arrivals.extraCallsOf({isSplit: isSplit(placement)}, running));
};

const startAttempt = (deps: ForwardDeps, admitted: AdmittedRequest, progress: RequestProgress, placement: Placement): void => {
	const {request, race} = progress;
	progress.tries += 1;
	progress.isTrial = deps.crashes.recordStart(admitted) || progress.isTrial;
	progress.expectedMs = expectedAnswerMs(admitted, placement);
	if (placement.kvSource) {
		request.prefilled = undefined;
	}

	race.start(placement, async control => runAndReportAttempt(deps, admitted, placement, {request, control}));
};

type Selection = {readonly selected: Overload | Placement; readonly denial?: undefined} | {readonly selected?: undefined; readonly denial: RetryDenial};

/** Endpoints at which a stream that has begun may not go on. */
const findOtherVersions = ({pool}: ForwardDeps, {service}: AdmittedRequest, begunAt: SoftwareVersion | undefined): string[] => begunAt === undefined
	? []
	: pool.ofService(service.name).filter(({endpoint}) => softwareVersionOf(endpoint) !== begunAt).map(({endpoint}) => endpoint.id);

/**
 * Selects the endpoints of one more attempt. Once as many endpoints as may run the request have been reached, only these are left, and of a stream that has
 * begun only those of its software version.
 */
const selectPlacement = (deps: ForwardDeps, admitted: AdmittedRequest, {race, request}: RequestProgress, options: Omit<PlacementOptions, 'prefilled'>): Selection => {
	const {route, service} = admitted;
	const {reached} = race;
	const isLimitReached = reached.size >= route.maxAttempts;
	const unreached = isLimitReached
		? deps.pool.ofService(service.name).filter(target => target.endpoint.role !== 'prefill' && !reached.has(target)).map(({endpoint}) => endpoint.id)
		: [];
	const excluded = new Set([...options.excluded, ...unreached, ...findOtherVersions(deps, admitted, request.relay?.softwareVersion)]);
	// Without an engine that can fetch the KV cache, the prompt is prefilled once more.
	const selected = choosePlacement(deps, admitted, {...options, excluded, prefilled: request.prefilled})
		?? (request.prefilled && choosePlacement(deps, admitted, {...options, excluded}));
	return selected ? {selected} : {denial: isLimitReached ? 'attempts-used' : 'no-endpoint'};
};

/**
 * Ends a request that this entry is not expected to finish before its own end. One that has run and whose answer may be cut goes on, because it
 * cannot be refused any more.
 */
const finishIfStopping = (deps: ForwardDeps, admitted: AdmittedRequest, progress: RequestProgress, placement: Placement): Outcome | undefined => {
	const {stop} = deps;
	const {mayHaveRun, tries: attempts} = progress;
	if (mayHaveRun) {
		return admitted.exchange.isBuffered && !fitsStop(admitted, placement, stop)
			? {...finishFailed(deps, admitted, progress), retryDenied: 'stopping'}
			: undefined;
	}

	return isWorthRunning(admitted, placement, stop)
		? undefined
		: {
			status: 503, code: 'stopping', ran: 'not-run', attempts, retryAfterMs: stoppingRetryMs, inputs: {expectedMs: expectedAnswerMs(admitted, placement), endsInMs: stop.endsInMs},
		};
};

/** Selects the endpoints of the next attempt and starts it, or ends the request. A request that certainly cannot run ends at once. */
export const startNextAttempt = (deps: ForwardDeps, admitted: AdmittedRequest, progress: RequestProgress): Outcome | undefined => {
	const {excluded, tries, withdrawn, mayHaveRun} = progress;
	if (tries === 0) {
		deps.crashes.recordArrival(admitted);
	}

	const quarantinedMs = quarantineRemainingMs(deps, admitted, progress);
	if (quarantinedMs !== undefined) {
		return finishQuarantined(deps, admitted, {...progress, quarantinedMs});
	}

	if (tries === 0) {
		deps.crashes.recordAllowedRequest(admitted);
	}

	if (tries - withdrawn >= maxTriesOf(admitted.route)) {
		return {...finishFailed(deps, admitted, progress), retryDenied: 'attempts-used'};
	}

	const {selected: placement, denial} = selectPlacement(deps, admitted, progress, {excluded, mayReject: !mayHaveRun});
	if (denial) {
		return {...finishFailed(deps, admitted, progress), retryDenied: denial};
	}

	if ('kind' in placement) {
		const {demand, code, retryAfterMs, inputs} = placement;
		deps.load.recordRejected(demand.engine, demand);
		return {
			status: 503, code, ran: 'not-run', attempts: tries, retryAfterMs, inputs,
		};
	}

	const stopped = finishIfStopping(deps, admitted, progress, placement);
	if (stopped) {
		return stopped;
	}

	if (!reserveCalls(progress, placement)) {
		return finishWithoutRetries(deps, admitted, progress);
	}

	startAttempt(deps, admitted, progress, placement);
	return undefined;
};

/** Starts an attempt beside a stalled one if the request, the endpoints and the retry budget allow it. The stalled attempt goes on. */
export const replaceStalled = (deps: ForwardDeps, admitted: AdmittedRequest, progress: RequestProgress, {attempt, phase}: {attempt: RunningAttempt; phase: AttemptPhase}): StallDecision => {
	const denial = findRetryDenial(deps, admitted, progress, phase === 'prefill' ? 'refused' : 'no-progress');
	if (denial) {
		return denial;
	}

	const stalled = phase === 'prefill' ? attempt.placement.prefill : attempt.placement.target;
	const excluded = new Set([...progress.excluded, stalled!.endpoint.id]);
	const {selected: placement, denial: selectionDenial} = selectPlacement(deps, admitted, progress, {excluded, mayReject: true, isTrial: true});
	if (selectionDenial) {
		return selectionDenial;
	}

	if ('kind' in placement) {
		return 'overloaded';
	}

	if (placement.target.ejection.isEjected(deps.clock.nowMs())) {
		return 'no-endpoint';
	}

	if (admitted.exchange.isBuffered && !fitsStop(admitted, placement, deps.stop)) {
		return 'stopping';
	}

	if (!reserveCalls(progress, placement)) {
		return 'budget-used';
	}

	startAttempt(deps, admitted, progress, placement);
	return 'replaced';
};
