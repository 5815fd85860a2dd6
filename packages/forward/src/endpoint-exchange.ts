/**
 * One HTTP exchange with an endpoint. Its result states whether the request was ever written to a connection, because
 * only an unsent request is certain not to have run.
 */
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import type {Connections} from './connections.js';
import type {OutgoingHeaders} from './ports.js';

export type EndpointCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: OutgoingHeaders;
	readonly body?: Buffer | string;
};

/** How an exchange ended. */
export type ExchangeEnd
	= | {readonly kind: 'complete'}
		/** Nothing was written to a connection. */
		| {readonly kind: 'not-sent'; readonly error: Error}
		| {readonly kind: 'broken'; readonly error: Error};

export type AnswerHandler = {
	/** Returning false ends the exchange. */
	onHead(status: number, headers: IncomingHttpHeaders): boolean;
	/** Returning false pauses the answer until `resume` is called. */
	onData(chunk: Buffer): boolean;
};

/** An exchange in progress. */
export type EndpointExchange = {
	readonly ended: Promise<ExchangeEnd>;
	resume(): void;
	/** Ends the exchange and closes its connection. */
	abort(error: Error): void;
};

const resetError = new Error('the connection was reset');
const abortedError = new Error('the exchange was aborted');

/** Sends one request. Aborting the signal closes its connection. */
export const startEndpointExchange = ({dispatcher, isEndingByReset}: Connections, call: EndpointCall, answerHandler: AnswerHandler, signal: AbortSignal): EndpointExchange => {
	let controller: Dispatcher.DispatchController | undefined;
	let isSent = false;
	let hasNoLength = false;
	const ended = new Promise<ExchangeEnd>(resolve => {
		const abort = (): void => {
			controller?.abort(signal.reason instanceof Error ? signal.reason : abortedError);
			// A request that still waits for a connection cannot be removed from the queue; `onRequestStart` ends it.
			resolve(isSent ? {kind: 'broken', error: abortedError} : {kind: 'not-sent', error: abortedError});
		};

		if (signal.aborted) {
			abort();
			return;
		}

		signal.addEventListener('abort', abort, {once: true});
		const finish = (end: ExchangeEnd): void => {
			signal.removeEventListener('abort', abort);
			resolve(end);
		};

		dispatcher.dispatch({
			method: call.method, path: call.path, headers: call.headers, body: call.body ?? null,
		}, {
			onRequestStart(started) {
				if (signal.aborted) {
					started.abort(abortedError);
					return;
				}

				controller = started;
				isSent = true;
			},
			onResponseStart(started, status, headers) {
				hasNoLength = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
				if (status >= 200 && !answerHandler.onHead(status, headers)) {
					started.abort(abortedError);
				}
			},
			onResponseData(started, chunk) {
				if (!answerHandler.onData(chunk)) {
					started.pause();
				}
			},
			onResponseEnd() {
				finish(hasNoLength && isEndingByReset() ? {kind: 'broken', error: resetError} : {kind: 'complete'});
			},
			onResponseError(_started, error) {
				finish(isSent ? {kind: 'broken', error} : {kind: 'not-sent', error});
			},
		});
	});
	return {
		ended,
		resume() {
			controller?.resume();
		},
		abort(error) {
			controller?.abort(error);
		},
	};
};
