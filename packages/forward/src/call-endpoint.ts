/**
 * A call to an endpoint whose short answer this process reads itself.
 */
import {startEndpointExchange, type EndpointCall} from './endpoint-exchange.js';
import type {PooledEndpoint} from './endpoint-pool.js';
import {answerTooLongError, AnswerBuffer, maxControlAnswerBytes} from './answer-buffer.js';

export type EndpointAnswer = {readonly status: number; readonly body: string};

/** Returns undefined when no whole answer comes. Aborting the signal closes the connection. */
export const callEndpoint = async ({connections}: PooledEndpoint, call: EndpointCall, signal: AbortSignal): Promise<EndpointAnswer | undefined> => {
	const body = new AnswerBuffer(maxControlAnswerBytes);
	let status = 0;
	const attempt = startEndpointExchange(connections, call, {
		onHead(answered) {
			status = answered;
			return true;
		},
		onData(chunk) {
			if (!body.append(chunk)) {
				attempt.reject(answerTooLongError);
			}

			return true;
		},
	}, signal);
	const end = await attempt.ended;
	return end.kind === 'complete' ? {status, body: body.drain().toString()} : undefined;
};
