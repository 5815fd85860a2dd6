/**
 * One HTTP exchange with an endpoint. Its result states whether the request was ever written to a connection, because
 * only an unsent request is certain not to have run.
 */
import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import type {OutgoingHeaders} from '../ports.js';
import type {Connections} from './connections.js';

export type EndpointCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: OutgoingHeaders;
	readonly body?: Buffer | string;
};

/** How an exchange ended. */
export type ExchangeEnd
	= | {readonly kind: 'complete'}
		/** Nothing was written to a connection. `isWithdrawn`: because the endpoint takes no new requests any more. */
		| {readonly kind: 'not-sent'; readonly error: Error; readonly isWithdrawn?: boolean}
		| {readonly kind: 'broken'; readonly error: Error};

export type AnswerHandler = {
	/** Returning false ends the exchange. */
	onHead(status: number, headers: IncomingHttpHeaders): boolean;
	/** Returning false pauses the answer until `resume` is called. */
	onData(chunk: Buffer): boolean;
};

/** What may end an exchange early. */
export type ExchangeLimits = {
	/** Aborting it closes the connection of the exchange. */
	readonly signal: AbortSignal;
	/** Aborts when the endpoint takes no new requests any more. It ends an exchange that still waits for a connection, and no other one. */
	readonly withdrawal?: AbortSignal;
	/** Asked right before the request is written, because it may have waited for a connection for long. */
	readonly maySend?: () => boolean;
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
const withdrawnError = new Error('the endpoint takes no new requests any more');

/** Sends one request. */
export const startEndpointExchange = (
	{dispatcher, isEndingByReset}: Connections,
	call: EndpointCall,
	answerHandler: AnswerHandler,
	{signal, withdrawal, maySend}: ExchangeLimits,
): EndpointExchange => {
	let controller: Dispatcher.DispatchController | undefined;
	let isSent = false;
	let hasNoLength = false;
	const ended = new Promise<ExchangeEnd>(resolve => {
		// A request that still waits for a connection cannot be removed from the queue of the HTTP client; `onRequestStart` ends it there.
		const abort = (): void => {
			controller?.abort(signal.reason instanceof Error ? signal.reason : abortedError);
			finish(isSent ? {kind: 'broken', error: abortedError} : {kind: 'not-sent', error: abortedError});
		};

		const withdraw = (): void => {
			finish({kind: 'not-sent', error: withdrawnError, isWithdrawn: true});
		};

		const finish = (end: ExchangeEnd): void => {
			signal.removeEventListener('abort', abort);
			withdrawal?.removeEventListener('abort', withdraw);
			resolve(end);
		};

		const isWithdrawn = (): boolean => withdrawal?.aborted === true || maySend?.() === false;

		if (signal.aborted) {
			abort();
			return;
		}

		if (isWithdrawn()) {
			withdraw();
			return;
		}

		signal.addEventListener('abort', abort, {once: true});
		withdrawal?.addEventListener('abort', withdraw, {once: true});
		dispatcher.dispatch({
			method: call.method, path: call.path, headers: call.headers, body: call.body ?? null,
		}, {
			onRequestStart(started) {
				// An error ends this request alone, whereas `abort` would close the connection that the next one can use.
				if (signal.aborted) {
					throw abortedError;
				}

				if (isWithdrawn()) {
					withdraw();
					throw withdrawnError;
				}

				withdrawal?.removeEventListener('abort', withdraw);
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
