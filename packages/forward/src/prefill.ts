/**
 * The first call of a split request: an engine prefills the prompt and keeps its KV cache for the engine that decodes.
 */
import {createEndpointCall, createSendDetails, classifyFailure} from './attempt-helpers.js';
import {startEndpointExchange} from './endpoint-exchange.js';
import {callEndpoint} from './call-endpoint.js';
import {answerTooLongError, AnswerBuffer, maxControlAnswerBytes} from './answer-buffer.js';
import {createTimeLimit, withTimeLimit} from './time-limit.js';
import type {PooledEndpoint} from './endpoint-pool.js';
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
export const releaseKvHandle = (deps: ForwardDeps, known: PooledEndpoint, handle: KvHandle): void => {
	void withTimeLimit(releaseLimitMs, undefined, async signal => callEndpoint(known, deps.wire.writeHandleRelease(handle), signal));
};

type PrefillPlacement = Placement & {readonly prefill: PooledEndpoint};

export const runPrefill = async (deps: ForwardDeps, admitted: AdmittedRequest, placement: PrefillPlacement): Promise<PrefillResult> => {
	const {prefill, level = 0, uncachedTokens = 0, prefillWaitMs: waitMs = 0} = placement;
	const {request, exchange, outputTokens} = admitted;
	const startMs = deps.clock.nowMs();
	const work = deps.load.startPrefill(prefill, {
		level, tokens: uncachedTokens, outputTokens, parts: request.parts,
	});
	const limit = createTimeLimit((waitMs * lateFactor) + lateMarginMs, exchange.signal);
	const body = new AnswerBuffer(maxControlAnswerBytes);
	let head: AnswerHead | undefined;
	const call = createEndpointCall(deps, admitted, {...createSendDetails(admitted, prefill, level), prefillOnly: true});
	const attempt = startEndpointExchange(prefill.connections, call, {
		onHead(status, headers) {
			head = deps.wire.readAnswer(status, headers);
			return true;
		},
		onData(chunk) {
			if (!body.append(chunk)) {
				attempt.reject(answerTooLongError);
			}

			return true;
		},
	}, limit.signal);
	const end = await attempt.ended;
	limit.clear();
	deps.load.endPrefill(prefill, work);
	const name = end.kind === 'complete' && head?.status === 200 ? deps.wire.readHandle(body.drain().toString()) : undefined;
	if (name === undefined) {
		// A prompt that was only prefilled has not run.
		const failed = classifyFailure(end, head, {at: prefill, isLate: limit.isExpired});

		if (failed.failure === 'connection-lost' && !exchange.signal.aborted) {
			deps.crashes.noteBroken(prefill.endpoint.id, admitted);
		}

		return {...failed, failure: failed.failure === 'not-connected' ? 'not-connected' : 'refused', detail: `prefill: ${failed.detail}`};
	}

	prefill.trust.succeeded();
	prefill.pace.observe({expectedMs: waitMs, ownMs: prefill.pace.workMs(uncachedTokens), tookMs: deps.clock.nowMs() - startMs});
	return {kind: 'prefilled', handle: {endpoint: prefill.endpoint, name}};
};
