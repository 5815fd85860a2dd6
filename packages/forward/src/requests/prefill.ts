/**
 * The first call of a split request: one engine prefills the prompt and holds its KV cache until the decode engine has
 * fetched it.
 */
import {maxQueueMs, type RatePlace} from '@hawthorncleat/core';
import {readEndpointAnswer} from '../endpoints/endpoint-answer.js';
import {startEndpointExchange} from '../endpoints/endpoint-exchange.js';
import {callEndpoint} from '../endpoints/call-endpoint.js';
import {answerTooLongError, AnswerBuffer, maxControlAnswerBytes} from '../utils/answer-buffer.js';
import {createStallTimer} from '../utils/stall-timer.js';
import {createTimeLimit, withTimeLimit} from '../utils/time-limit.js';
import type {PooledEndpoint} from '../endpoints/endpoint-pool.js';
import type {AnswerHead, KvHandle} from '../ports.js';
import type {Placement} from './placement.js';
import type {ForwardDeps} from './forward-deps.js';
import type {FailedAttempt, SupersededAttempt} from './attempt-result.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {AttemptControl} from './attempt-race.js';
import {
	createEndpointCall, createRequestLimits, createSendDetails, createSuperseded, classifyFailure,
} from './attempt-helpers.js';

export type PrefillResult
	= | {readonly kind: 'prefilled'; readonly handle: KvHandle}
		| FailedAttempt
		| SupersededAttempt;

/** A prefill that takes this many times as long as expected has stalled. It is safe to repeat. */
const stallFactor = 3;
const stallMarginMs = 700;
/**
 * Fraction of the queueing limit of its caller after which a prefill is given up. The request has not run, so its caller can still be told to
 * retry before it gives up itself.
 */
const giveUpFraction = 0.9;
const releaseTimeoutMs = 1000;

/**
 * Frees a KV cache that no decode engine will fetch, also at an engine that leaves or has reached its rate limit: it has more room afterwards. If this call
 * fails, the KV cache expires at its engine.
 */
export const releaseKvHandle = (deps: ForwardDeps, engine: PooledEndpoint, handle: KvHandle): void => {
	engine.rateLimit.recordSent(deps.clock.nowMs());
	void withTimeLimit(releaseTimeoutMs, undefined, async signal => callEndpoint(deps, engine, deps.wire.writeHandleRelease(handle), {signal}));
};

type PrefillPlacement = Placement & {readonly prefill: PooledEndpoint};

export const runPrefill = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	placement: PrefillPlacement,
	{control, place}: {readonly control: AttemptControl; readonly place: RatePlace},
): Promise<PrefillResult> => {
	const {prefill, level = 0, uncachedTokens = 0, prefillWaitMs: waitMs = 0} = placement;
	const {request, route, exchange, outputTokens} = admitted;
	const startMs = deps.clock.nowMs();
	const size = {uncachedTokens, cachedTokens: Math.max(0, request.promptTokens - uncachedTokens)};
	const work = deps.load.startPrefill(prefill, {
		level, tokens: uncachedTokens, cachedTokens: size.cachedTokens, outputTokens, segments: request.segments,
	});
	const stallMs = (waitMs * stallFactor) + stallMarginMs;
	const stallTimer = createStallTimer(stallMs, () => {
		control.reportStall('prefill');
	});
	const limit = createTimeLimit(Math.max(stallMs, (maxQueueMs(route) * giveUpFraction) - exchange.elapsedMs), control.signal);
	const body = new AnswerBuffer(maxControlAnswerBytes);
	let head: AnswerHead | undefined;
	const call = createEndpointCall(deps, admitted, {...createSendDetails(admitted, prefill, level), isPrefillOnly: true});
	const prefillExchange = startEndpointExchange(prefill.connections, call, {
		onHead(status, headers) {
			const answer = readEndpointAnswer(deps, {target: prefill, requestId: request.id, askedMs: startMs}, status, headers);
			if (!answer) {
				return false;
			}

			head = answer;
			return true;
		},
		onData(chunk) {
			if (!body.append(chunk)) {
				prefillExchange.abort(answerTooLongError);
			}

			return true;
		},
	}, createRequestLimits(deps, {target: prefill, place}, limit.signal));
	void exchange.holdUntil(prefillExchange.released);
	const end = await prefillExchange.ended;
	limit.clear();
	stallTimer.clear();
	const name = end.kind === 'complete' && head?.status === 200 ? deps.wire.readHandle(body.drain().toString()) : undefined;
	if (name === undefined) {
		deps.load.abandonPrefill(prefill, work);
	} else {
		deps.load.completePrefill(prefill, work);
	}

	if (control.isSuperseded) {
		return {...createSuperseded(end, head), mayHaveRun: false};
	}

	if (name === undefined) {
		// A request whose prompt was only prefilled has not run, so any failure after connecting counts as a refusal.
		const failed = classifyFailure(end, head, {failedAt: prefill, hasTimedOut: limit.isExpired});

		if (failed.failure === 'connection-lost' && !exchange.signal.aborted) {
			deps.crashes.recordBrokenRequest(prefill.endpoint.id, admitted, {startedMs: startMs, hasJustBegun: false});
			await deps.crashes.checkEndpoint(prefill.endpoint);
		}

		return {...failed, failure: failed.failure === 'not-connected' ? 'not-connected' : 'refused', detail: `prefill: ${failed.detail}`};
	}

	prefill.ejection.recordSuccess();
	deps.load.speeds.recordPrefill(prefill, {size, waitMs, tookMs: deps.clock.nowMs() - startMs});
	return {kind: 'prefilled', handle: {endpoint: prefill.endpoint, name}};
};
