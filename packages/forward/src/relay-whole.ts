/**
 * Relays the answer of a request that is no stream.
 */
import {startAttempt} from './attempt.js';
import {
	createCall, createDetails, describeFailure, isOwnAnswer, serverError,
} from './attempt-parts.js';
import type {CallerExchange} from './caller-exchange.js';
import type {KnownEndpoint} from './endpoint-pool.js';
import type {AdmittedRequest, AttemptResult, ForwardDeps} from './forward-types.js';
import {answerTooLong, KeptAnswer, maxKeptAnswerBytes} from './kept-answer.js';
import type {Placement} from './placement.js';
import type {AnswerHead} from './ports.js';
import {createTimeLimit} from './time-limit.js';

/** Time after which a request that may run again is tried elsewhere. */
const attemptLimitMs = ({route, exchange}: AdmittedRequest, isLast: boolean): number =>
	route.kind === 'idempotent' && !isLast && exchange.leftMs > route.latencyTargetMs * 1.5 ? route.latencyTargetMs : exchange.unlimitedMs;

/** Begins to pass an answer on that is too long to be kept. */
const passOnFrom = (exchange: CallerExchange, {status, headers}: AnswerHead, kept: KeptAnswer): void => {
	exchange.startStream(status, headers);
	exchange.write(kept.take());
};

/**
 * Takes a whole answer before the caller gets any of it, so that one that breaks off can be asked for again. One that is too long
 * to be kept is passed on as it comes.
 */
export const relayWhole = async (deps: ForwardDeps, admitted: AdmittedRequest, {known, isLast = false}: Placement): Promise<AttemptResult> => {
	const {exchange} = admitted;
	const body = new KeptAnswer(maxKeptAnswerBytes);
	let head: AnswerHead | undefined;
	let isOwn = false;
	const limit = createTimeLimit(attemptLimitMs(admitted, isLast), exchange.signal);
	const attempt = startAttempt(known.connections, createCall(deps, admitted, createDetails(admitted, known, undefined)), {
		onHead(status, headers) {
			head = deps.wire.readAnswer(status, headers);
			isOwn = isOwnAnswer(head, admitted) && !head.isNotRun && !head.isFromOtherEndpoint;
			return isOwn || head.isNotRun || head.isFromOtherEndpoint;
		},
		onData(chunk) {
			if (exchange.hasHead) {
				return exchange.write(chunk);
			}

			if (body.push(chunk)) {
				return true;
			}

			if (isOwn && head!.status < serverError) {
				limit.lift();
				passOnFrom(exchange, head!, body);
			} else {
				attempt.reject(answerTooLong);
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
		return describeFailure(end, head, {at: known, isLate: limit.isOver});
	}

	return finishWhole({head, body, known}, exchange);
};

const finishWhole = (
	{head, body, known}: {readonly head: AnswerHead; readonly body: KeptAnswer; readonly known: KnownEndpoint},
	exchange: CallerExchange,
): AttemptResult => {
	const {status, headers} = head;
	if (exchange.hasHead) {
		exchange.finishStream(body.take());
		return {kind: 'answered', status};
	}

	const bytes = body.take();
	const send = (): void => {
		exchange.send(status, headers, bytes);
	};

	if (status >= serverError) {
		return {
			kind: 'failed', failure: 'service-error', answer: {send, status}, detail: `status ${status}`, at: known,
		};
	}

	send();
	return {kind: 'answered', status};
};
