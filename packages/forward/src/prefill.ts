/**
 * The first call of a split request: an engine prefills the prompt and keeps its KV cache for the engine that decodes.
 */
import {createCall, createDetails, describeFailure} from './attempt-parts.js';
import {startAttempt} from './attempt.js';
import {callEndpoint} from './call-endpoint.js';
import {answerTooLong, KeptAnswer, maxControlAnswerBytes} from './kept-answer.js';
import {createTimeLimit, withTimeLimit} from './time-limit.js';
import type {KnownEndpoint} from './endpoint-pool.js';
import type {AdmittedRequest, FailedAttempt, ForwardDeps} from './forward-types.js';
import type {Placement} from './placement.js';
import type {AnswerHead, KvHandle} from './ports.js';

export type PrefillResult
	= | {readonly kind: 'prefilled'; readonly handle: KvHandle}
		| FailedAttempt;

/** A prefill may be repeated, so one that takes this many times as long as expected is given up. */
const lateFactor = 3;
const lateMarginMs = 700;
const releaseLimitMs = 1000;

/** Frees a KV cache that nobody will fetch. It expires by itself when this fails. */
export const releaseHandle = (deps: ForwardDeps, known: KnownEndpoint, handle: KvHandle): void => {
	void withTimeLimit(releaseLimitMs, undefined, async signal => callEndpoint(known, deps.wire.writeHandleRelease(handle), signal));
};

type PrefillPlacement = Placement & {readonly prefill: KnownEndpoint};

export const runPrefill = async (deps: ForwardDeps, admitted: AdmittedRequest, placement: PrefillPlacement): Promise<PrefillResult> => {
	const {prefill, level = 0, uncachedTokens = 0, waitMs = 0} = placement;
	const {request, exchange, outputTokens} = admitted;
	const startMs = deps.clock.nowMs();
	const work = deps.load.beginWork(prefill, {
		level, tokens: uncachedTokens, outputTokens, parts: request.segments,
	});
	const limit = createTimeLimit((waitMs * lateFactor) + lateMarginMs, exchange.signal);
	const body = new KeptAnswer(maxControlAnswerBytes);
	let head: AnswerHead | undefined;
	const call = createCall(deps, admitted, {...createDetails(admitted, prefill, level), isPrefillOnly: true});
	const attempt = startAttempt(prefill.connections, call, {
		onHead(status, headers) {
			head = deps.wire.readAnswer(status, headers);
			return true;
		},
		onData(chunk) {
			if (!body.push(chunk)) {
				attempt.reject(answerTooLong);
			}

			return true;
		},
	}, limit.signal);
	const end = await attempt.ended;
	limit.clear();
	deps.load.endWork(prefill, work);
	const name = end.kind === 'complete' && head?.status === 200 ? deps.wire.readHandle(body.take().toString()) : undefined;
	if (name === undefined) {
		// A prompt that was only prefilled has not run.
		const failed = describeFailure(end, head, {at: prefill, isLate: limit.isOver});

		if (failed.failure === 'connection-lost' && !exchange.signal.aborted) {
			deps.crashes.recordBrokenRequest(prefill.endpoint.id, admitted);
		}

		return {...failed, failure: failed.failure === 'not-connected' ? 'not-connected' : 'refused', detail: `prefill: ${failed.detail}`};
	}

	prefill.trust.succeeded();
	prefill.pace.observe({expectedMs: waitMs, ownMs: prefill.pace.workMs(uncachedTokens), tookMs: deps.clock.nowMs() - startMs});
	return {kind: 'prefilled', handle: {endpoint: prefill.endpoint, name}};
};
