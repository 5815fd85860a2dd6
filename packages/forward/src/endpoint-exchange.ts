/**
 * One HTTP exchange with an endpoint. It tells apart whether the request was ever written to a connection, because only
 * an unsent request is known not to have run.
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

/** How an attempt ended. */
export type ExchangeEnd
	= | {readonly kind: 'complete'}
		/** Nothing was written to a connection. */
		| {readonly kind: 'not-sent'; readonly error: Error}
		| {readonly kind: 'broken'; readonly error: Error};

export type AnswerHandler = {
	/** Returning false ends the attempt. */
	onHead(status: number, headers: IncomingHttpHeaders): boolean;
	/** Returning false pauses the answer until `resume`. */
	onData(chunk: Buffer): boolean;
};

/** An attempt under way. */
export type EndpointExchange = {
	readonly ended: Promise<ExchangeEnd>;
	resume(): void;
	/** Ends the attempt and closes its connection. */
	reject(error: Error): void;
};

const resetAnswer = new Error('the connection was reset');
const rejectedAnswer = new Error('the answer was rejected');

/** Sends one request. Aborting the signal closes its connection. */
export const startEndpointExchange = ({dispatcher, isEndingByReset}: Connections, call: EndpointCall, handler: AnswerHandler, signal: AbortSignal): EndpointExchange => {
	let controller: Dispatcher.DispatchController | undefined;
	let isSent = false;
	let isUnframed = false;
	const ended = new Promise<ExchangeEnd>(resolve => {
		const abort = (): void => {
			controller?.abort(signal.reason instanceof Error ? signal.reason : rejectedAnswer);
			// A request that still waits for a connection cannot be taken back, but its start below ends it.
			resolve(isSent ? {kind: 'broken', error: rejectedAnswer} : {kind: 'not-sent', error: rejectedAnswer});
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
					started.abort(rejectedAnswer);
					return;
				}

				controller = started;
				isSent = true;
			},
			onResponseStart(started, status, headers) {
				isUnframed = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
				if (status >= 200 && !handler.onHead(status, headers)) {
					started.abort(rejectedAnswer);
				}
			},
			onResponseData(started, chunk) {
				if (!handler.onData(chunk)) {
					started.pause();
				}
			},
			onResponseEnd() {
				finish(isUnframed && isEndingByReset() ? {kind: 'broken', error: resetAnswer} : {kind: 'complete'});
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
		reject(error) {
			controller?.abort(error);
		},
	};
};
