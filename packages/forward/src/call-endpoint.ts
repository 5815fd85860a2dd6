/**
 * A call to an endpoint whose short answer this process reads itself.
 */
import {startAttempt, type AttemptCall} from './attempt.js';
import type {KnownEndpoint} from './endpoint-pool.js';
import {answerTooLong, KeptAnswer, maxControlAnswerBytes} from './kept-answer.js';

export type EndpointAnswer = {readonly status: number; readonly body: string};

/** Returns undefined when no whole answer comes. Aborting the signal closes the connection. */
export const callEndpoint = async ({connections}: KnownEndpoint, call: AttemptCall, signal: AbortSignal): Promise<EndpointAnswer | undefined> => {
	const body = new KeptAnswer(maxControlAnswerBytes);
	let status = 0;
	const attempt = startAttempt(connections, call, {
		onHead(answered) {
			status = answered;
			return true;
		},
		onData(chunk) {
			if (!body.push(chunk)) {
				attempt.reject(answerTooLong);
			}

			return true;
		},
	}, signal);
	const end = await attempt.ended;
	return end.kind === 'complete' ? {status, body: body.take().toString()} : undefined;
};
