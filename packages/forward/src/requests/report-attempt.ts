/**
 * Runs one attempt and passes its result on to the ejection of endpoints, the crash guard and the log.
 */
import {isRepeatable} from './attempt-helpers.js';
import type {AttemptControl} from './attempt-race.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {AttemptResult} from './attempt-result.js';
import type {ForwardDeps} from './forward-deps.js';
import type {RequestState} from './request-state.js';
import {findKeptOut} from './kept-out.js';
import type {Placement} from './placement.js';
import {recordAttemptResult} from './record-attempt-result.js';
import {runAttempt} from './run-attempt.js';

/** A prompt crashes an engine when the engine begins to decode with it. A stream that has gone on for longer did not cause the crash. */
const justBegunMs = 1000;

/** Records what the end of an attempt says about crashes. Resolves once it is known whether the endpoint has crashed, if another attempt may follow. */
const recordCrashes = async (
	{clock, crashes}: ForwardDeps,
	admitted: AdmittedRequest,
	{result, startMs}: {result: AttemptResult; startMs: number},
): Promise<void> => {
	if (result.kind === 'answered') {
		crashes.recordCompletedRequest(admitted);
		// An answer without a stream is whole.
		if (result.status === 200 && result.stream?.events !== 0) {
			crashes.recordCompletedRun(admitted, result.beganMs ?? startMs);
		}
	} else if (result.kind === 'failed' && result.isDown) {
		crashes.recordCrash(result.failedAt.endpoint.id);
	} else if (result.kind === 'failed' && result.failure === 'connection-lost') {
		const {endpoint} = result.failedAt;
		const hasJustBegun = result.beganMs === undefined || clock.nowMs() - result.beganMs < justBegunMs;
		crashes.recordBrokenRequest(endpoint.id, admitted, {startedMs: result.startedMs ?? startMs, hasJustBegun});
		const check = crashes.checkEndpoint(endpoint);
		if (isRepeatable(admitted.route)) {
			await check;
		}
	}
};

/** Counts the attempt for the endpoints that get requests. A KV cache that is prefilled already sends none to its engine. */
const recordStarts = ({target, prefill, kvSource}: Placement): void => {
	target.backoff.recordStart();
	if (prefill && !kvSource) {
		prefill.backoff.recordStart();
	}
};

/** Runs one attempt. Its result is reported unless the caller has left. */
export const runAndReportAttempt = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	placement: Placement,
	{request, control}: {readonly request: RequestState; readonly control: AttemptControl},
): Promise<AttemptResult> => {
	const startMs = deps.clock.nowMs();
	const {target} = placement;
	const state = {request, control, extraCalls: 0};
	recordStarts(placement);
	const result = await runAttempt(deps, admitted, placement, state);
	if (!admitted.exchange.signal.aborted) {
		recordAttemptResult(placement, result, deps.clock.nowMs());
		await recordCrashes(deps, admitted, {result, startMs});
	}

	deps.onAttempt(admitted, {
		endpoint: target.endpoint.id,
		prefill: placement.prefill?.endpoint.id,
		expectedMs: placement.firstTokenMs,
		level: placement.level,
		uncachedTokens: placement.uncachedTokens,
		tookMs: deps.clock.nowMs() - startMs,
		firstMs: result.firstMs,
		furtherArrivals: state.extraCalls,
		decode: placement.decode,
		...result.kind === 'answered' && {prefillMs: result.prefillMs},
		...result.kind === 'failed' && {keptOut: findKeptOut(result.failedAt, deps.clock.nowMs())},
		result,
	});
	return result;
};
