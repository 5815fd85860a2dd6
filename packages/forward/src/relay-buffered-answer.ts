/**
 * Relays the answer of a request that is no stream.
 */
import {startEndpointExchange} from './endpoint-exchange.js';
import {
	createEndpointCall, createSendDetails, classifyFailure, isAnswerToRequest, minServerErrorStatus,
} from './attempt-helpers.js';
import type {CallerExchange} from './caller-exchange.js';
import type {PooledEndpoint} from './endpoint-pool.js';
import type {AdmittedRequest, AttemptResult, ForwardDeps} from './forward-types.js';
import {answerTooLongError, AnswerBuffer, maxBufferedAnswerBytes} from './answer-buffer.js';
import type {Placement} from './placement.js';
import type {AnswerHead} from './ports.js';
import {createTimeLimit} from './time-limit.js';

/** Time after which a request that may run again is tried elsewhere. */
const attemptLimitMs = ({route, exchange}: AdmittedRequest, isLast: boolean): number =>
	route.kind === 'idempotent' && !isLast && exchange.leftMs > route.latencyTargetMs * 1.5 ? route.latencyTargetMs : exchange.limitPastDeadlineMs;

/** Begins to pass an answer on that is too long to be kept. */
const passOnFrom = (exchange: CallerExchange, {status, headers}: AnswerHead, kept: AnswerBuffer): void => {
	exchange.startStream(status, headers);
	exchange.write(kept.drain());
};

/**
 * Takes a whole answer before the caller gets any of it, so that one that breaks off can be asked for again. One that is too long
 * to be kept is passed on as it comes.
 */
export const relayBufferedAnswer = async (deps: ForwardDeps, admitted: AdmittedRequest, {target: known, isLast = false}: Placement): Promise<AttemptResult> => {
	const {exchange} = admitted;
	const body = new AnswerBuffer(maxBufferedAnswerBytes);
	let head: AnswerHead | undefined;
	let isOwn = false;
	const limit = createTimeLimit(attemptLimitMs(admitted, isLast), exchange.signal);
	const attempt = startEndpointExchange(known.connections, createEndpointCall(deps, admitted, createSendDetails(admitted, known, undefined)), {
		onHead(status, headers) {
			head = deps.wire.readAnswer(status, headers);
			isOwn = isAnswerToRequest(head, admitted) && !head.isNotRun && !head.isOtherEndpoint;
			return isOwn || head.isNotRun || head.isOtherEndpoint;
		},
		onData(chunk) {
			if (exchange.hasSentHead) {
				return exchange.write(chunk);
			}

			if (body.append(chunk)) {
				return true;
			}

			if (isOwn && head!.status < minServerErrorStatus) {
				limit.disable();
				passOnFrom(exchange, head!, body);
			} else {
				attempt.reject(answerTooLongError);
			}

			return true;
		},
	}, limit.signal);
	exchange.onDrain(() => {
		attempt.resume();
	});
	const end = await attempt.ended;
	limit.clear();
	if (end.kind !== 'complete' || !head || !isOwn) {
		return classifyFailure(end, head, {at: known, isLate: limit.isExpired});
	}

	return finishWhole({head, body, known}, exchange);
};

const finishWhole = (
	{head, body, known}: {readonly head: AnswerHead; readonly body: AnswerBuffer; readonly known: PooledEndpoint},
	exchange: CallerExchange,
): AttemptResult => {
	const {status, headers} = head;
	if (exchange.hasSentHead) {
		exchange.finishStream(body.drain());
		return {kind: 'answered', status};
	}

	const bytes = body.drain();
	const send = (): void => {
		exchange.send(status, headers, bytes);
	};

	if (status >= minServerErrorStatus) {
		return {
			kind: 'failed', failure: 'service-error', answer: {send, status}, detail: `status ${status}`, failedAt: known,
		};
	}

	send();
	return {kind: 'answered', status};
};
