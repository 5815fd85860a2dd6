/**
 * A call to an endpoint with a short answer that this process reads itself instead of relaying it.
 */
import {answerTooLongError, AnswerBuffer, maxControlAnswerBytes} from '../utils/answer-buffer.js';
import {readEndpointAnswer, type AnswerReader} from './endpoint-answer.js';
import {startEndpointExchange, type EndpointCall, type ExchangeLimits} from './endpoint-exchange.js';
import type {PooledEndpoint} from './endpoint-pool.js';

export type EndpointAnswer = {readonly status: number; readonly body: string};

/** Returns undefined when the answer is not complete. */
export const callEndpoint = async (reader: AnswerReader, target: PooledEndpoint, call: EndpointCall, limits: ExchangeLimits): Promise<EndpointAnswer | undefined> => {
	const body = new AnswerBuffer(maxControlAnswerBytes);
	let status = 0;
	const exchange = startEndpointExchange(target.connections, call, {
		onHead(answered, headers) {
			status = answered;
			return readEndpointAnswer(reader, {target}, answered, headers) !== undefined;
		},
		onData(chunk) {
			if (!body.append(chunk)) {
				exchange.abort(answerTooLongError);
			}

			return true;
		},
	}, limits);
	const end = await exchange.ended;
	return end.kind === 'complete' ? {status, body: body.drain().toString()} : undefined;
};
