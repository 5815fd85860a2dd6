/**
 * Runs a request that is not a stream and relays its answer.
 */
import type {RatePlace} from '@hawthorncleat/core';
import {readEndpointAnswer} from '../endpoints/endpoint-answer.js';
import {startEndpointExchange} from '../endpoints/endpoint-exchange.js';
import type {CallerExchange} from '../callers/caller-exchange.js';
import type {PooledEndpoint} from '../endpoints/endpoint-pool.js';
import {answerTooLongError, AnswerBuffer, maxBufferedAnswerBytes} from '../utils/answer-buffer.js';
import type {AnswerHead} from '../ports.js';
import {createStallTimer, type StallTimer} from '../utils/stall-timer.js';
import type {Placement} from './placement.js';
import type {ForwardDeps} from './forward-deps.js';
import type {AttemptResult} from './attempt-result.js';
import type {AdmittedRequest} from './admitted-request.js';
import {
	createEndpointCall, createRequestLimits, createSendDetails, createSuperseded, classifyFailure, isAnswerToRequest, minServerErrorStatus,
} from './attempt-helpers.js';
import type {AttemptControl} from './attempt-race.js';

/** With less time left, in latency targets, another attempt could hardly end before the deadline. */
const minRemainingLatencyTargets = 1.5;

/** Reports a stall of a request that is safe to repeat when its answer is not complete within the latency target. */
const watchForStall = ({route, exchange}: AdmittedRequest, control: AttemptControl): StallTimer | undefined =>
	route.kind === 'idempotent' && exchange.remainingMs > route.latencyTargetMs * minRemainingLatencyTargets
		? createStallTimer(route.latencyTargetMs, () => {
			control.reportStall('run');
		})
		: undefined;

/** Starts to relay an answer that is too long to be buffered. Returns false while the caller reads more slowly than it arrives. */
const startRelaying = (exchange: CallerExchange, {status, headers}: AnswerHead, buffered: AnswerBuffer): boolean => {
	exchange.startStream(status, headers);
	return exchange.write(buffered.drain());
};

/**
 * Buffers the complete answer before it sends any of it to the caller, so that the request can be retried if the answer is
 * truncated. An answer that is too long to be buffered, or for which there is no memory, is relayed as it arrives.
 */
export const relayBufferedAnswer = async (
	deps: ForwardDeps,
	admitted: AdmittedRequest,
	{target}: Placement,
	{control, place}: {readonly control: AttemptControl; readonly place: RatePlace},
): Promise<AttemptResult> => {
	const {exchange} = admitted;
	const askedMs = deps.clock.nowMs();
	const body = new AnswerBuffer(maxBufferedAnswerBytes);
	let head: AnswerHead | undefined;
	let isValid = false;
	const stallTimer = watchForStall(admitted, control);
	const endpointExchange = startEndpointExchange(target.connections, createEndpointCall(deps, admitted, createSendDetails(admitted, target, undefined)), {
		onHead(status, headers) {
			const answer = readEndpointAnswer(deps, {target, requestId: admitted.request.id, askedMs}, status, headers);
			if (!answer) {
				return false;
			}

			head = answer;
			isValid = isAnswerToRequest(head, admitted) && !head.isNotRun && !head.isFromOtherEndpoint;
			return isValid || head.isNotRun || head.isFromOtherEndpoint;
		},
		onData(chunk) {
			if (exchange.hasBegunAnswer) {
				return exchange.write(chunk);
			}

			if (body.append(chunk) && exchange.mayHold(chunk.length)) {
				return true;
			}

			if (isValid && head!.status < minServerErrorStatus && control.claim()) {
				stallTimer?.clear();
				return startRelaying(exchange, head!, body);
			}

			endpointExchange.abort(answerTooLongError);
			return true;
		},
	}, createRequestLimits(deps, {target, place}, control.signal));
	void admitted.exchange.holdUntil(endpointExchange.released);
	exchange.onDrain(() => {
		endpointExchange.resume();
	});
	const end = await endpointExchange.ended;
	stallTimer?.clear();
	if (control.isSuperseded) {
		return createSuperseded(end, head);
	}

	if (end.kind !== 'complete' || !head || !isValid) {
		return classifyFailure(end, head, {failedAt: target});
	}

	return finishBufferedAnswer({head, body, target}, exchange, control);
};

const finishBufferedAnswer = (
	{head, body, target}: {readonly head: AnswerHead; readonly body: AnswerBuffer; readonly target: PooledEndpoint},
	exchange: CallerExchange,
	control: AttemptControl,
): AttemptResult => {
	const {status, headers} = head;
	if (exchange.hasBegunAnswer) {
		exchange.finishStream(body.drain());
		return {kind: 'answered', status};
	}

	const bytes = body.drain();
	const send = (): void => {
		exchange.send(status, headers, bytes);
	};

	if (status >= minServerErrorStatus) {
		return {
			kind: 'failed', failure: 'service-error', answer: {send, status}, detail: `status ${status}`, failedAt: target,
		};
	}

	control.claim();
	send();
	return {kind: 'answered', status};
};
