/**
 * One HTTP exchange with an endpoint. Its result states whether the request was ever written to a connection, because
 * only an unsent request is certain not to have run.
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {QueuedCall} from '@hawthorncleat/core';
import type {Dispatcher} from 'undici';
import type {OutgoingHeaders} from '../ports.js';
import type {Connections} from './connections.js';

export type EndpointCall = {
	readonly method: string;
	readonly path: string;
	/** A function is called right before the head is written, because the call may have waited for a connection. */
	readonly headers: OutgoingHeaders | (() => OutgoingHeaders);
	readonly body?: Buffer | string;
	/** Client account of the request, so that accounts take turns when calls wait; absent for calls of this process. */
	readonly account?: string;
};

/** How an exchange ended. */
export type ExchangeEnd
	= | {readonly kind: 'complete'}
		/** Nothing was written to a connection. `isWithdrawn`: because the endpoint takes no new requests any more; `isQueueFull`: because too many calls wait for it. */
		| {readonly kind: 'not-sent'; readonly error: Error; readonly isWithdrawn?: boolean; readonly isQueueFull?: boolean}
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
	/** Resolves when the HTTP client does not need the body any more, which may be later if the exchange was given up. */
	readonly released: Promise<void>;
	resume(): void;
	/** Ends the exchange and closes its connection. */
	abort(error: Error): void;
};

const resetError = new Error('the connection was reset');
const abortedError = new Error('the exchange was aborted');
const withdrawnError = new Error('the endpoint takes no new requests any more');
const fullError = new Error('too many calls wait for the endpoint');

type Deferred<Value> = {readonly promise: Promise<Value>; readonly resolve: (value: Value) => void};

const createDeferred = <Value>(): Deferred<Value> => {
	let resolve: ((value: Value) => void) | undefined;
	const promise = new Promise<Value>(resolvePromise => {
		resolve = resolvePromise;
	});
	return {promise, resolve: resolve!};
};

/** A call from its place in the queue to its end. */
class QueuedExchange implements EndpointExchange {
	readonly ended: Promise<ExchangeEnd>;
	readonly released: Promise<void>;
	readonly #connections: Connections;
	readonly #call: EndpointCall;
	readonly #answerHandler: AnswerHandler;
	readonly #limits: ExchangeLimits;
	readonly #queued: QueuedCall;
	readonly #ending = createDeferred<ExchangeEnd>();
	readonly #releasing = createDeferred<void>();
	/** Both are removed when the exchange has ended. */
	readonly #listeners: {readonly onAbort: () => void; readonly onWithdrawal: () => void};
	#controller: Dispatcher.DispatchController | undefined;
	/** Whether the HTTP client has got the call. */
	#isStarted = false;
	/** Whether the call was written to a connection, or may have been. */
	#isSent = false;
	#hasNoLength = false;

	constructor(connections: Connections, call: EndpointCall, answerHandler: AnswerHandler, limits: ExchangeLimits) {
		this.#connections = connections;
		this.#call = call;
		this.#answerHandler = answerHandler;
		this.#limits = limits;
		this.#queued = {
			group: call.account ?? '', bytes: call.body === undefined ? 0 : Buffer.byteLength(call.body), start: () => {
				this.#dispatch();
			},
		};
		this.#listeners = {
			onAbort: () => {
				this.#abortWithSignal();
			},
			onWithdrawal: () => {
				this.#withdraw();
			},
		};
		this.ended = this.#ending.promise;
		this.released = this.#releasing.promise;
	}

	/** Enters the queue, unless the call must not be sent any more. */
	start(): void {
		const {signal, withdrawal} = this.#limits;
		if (signal.aborted) {
			this.#abortWithSignal();
			return;
		}

		if (this.#isWithdrawn()) {
			this.#withdraw();
			return;
		}

		signal.addEventListener('abort', this.#listeners.onAbort, {once: true});
		withdrawal?.addEventListener('abort', this.#listeners.onWithdrawal, {once: true});
		if (!this.#connections.queue.enter(this.#queued)) {
			this.#finish({kind: 'not-sent', error: fullError, isQueueFull: true});
		}
	}

	resume(): void {
		this.#controller?.resume();
	}

	abort(error: Error): void {
		this.#controller?.abort(error);
	}

	#abortWithSignal(): void {
		const {reason} = this.#limits.signal as {readonly reason: unknown};
		this.#controller?.abort(reason instanceof Error ? reason : abortedError);
		this.#finish(this.#isSent ? {kind: 'broken', error: abortedError} : {kind: 'not-sent', error: abortedError});
	}

	#withdraw(): void {
		this.#finish({kind: 'not-sent', error: withdrawnError, isWithdrawn: true});
	}

	#isWithdrawn(): boolean {
		const {withdrawal, maySend} = this.#limits;
		return withdrawal?.aborted === true || maySend?.() === false;
	}

	#dispatch(): void {
		this.#isStarted = true;
		const {method, path, headers, body} = this.#call;
		this.#connections.dispatcher.dispatch({
			method, path, headers: typeof headers === 'function' ? headers() : headers, body: body ?? null,
		}, this.#createHandler());
	}

	#createHandler(): Dispatcher.DispatchHandler {
		return {
			onRequestStart: started => {
				this.#checkBeforeWrite();
				this.#limits.withdrawal?.removeEventListener('abort', this.#listeners.onWithdrawal);
				this.#controller = started;
				this.#isSent = true;
			},
			onResponseStart: (started, status, headers) => {
				this.#hasNoLength = headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
				if (status >= 200 && !this.#answerHandler.onHead(status, headers)) {
					started.abort(abortedError);
				}
			},
			onResponseData: (started, chunk) => {
				if (!this.#answerHandler.onData(chunk)) {
					started.pause();
				}
			},
			onResponseEnd: () => {
				const isReset = this.#hasNoLength && this.#connections.isEndingByReset();
				this.#finish(isReset ? {kind: 'broken', error: resetError} : {kind: 'complete'});
				this.#release();
			},
			onResponseError: (_started, error) => {
				this.#finish(this.#isSent ? {kind: 'broken', error} : {kind: 'not-sent', error});
				this.#release();
			},
		};
	}

	/** An exception ends this call alone, whereas `abort` would close the connection that the next one can use. */
	#checkBeforeWrite(): void {
		if (this.#limits.signal.aborted) {
			throw abortedError;
		}

		if (this.#isWithdrawn()) {
			this.#withdraw();
			throw withdrawnError;
		}
	}

	#finish(end: ExchangeEnd): void {
		this.#limits.signal.removeEventListener('abort', this.#listeners.onAbort);
		this.#limits.withdrawal?.removeEventListener('abort', this.#listeners.onWithdrawal);
		if (!this.#isStarted) {
			this.#connections.queue.leave(this.#queued);
			this.#releasing.resolve();
		}

		this.#ending.resolve(end);
	}

	/** The HTTP client is done with the call. The next one starts after the callbacks of this one. */
	#release(): void {
		this.#releasing.resolve();
		queueMicrotask(() => {
			this.#connections.queue.release();
		});
	}
}

/** Sends one request, as soon as a connection is free. */
export const startEndpointExchange = (connections: Connections, call: EndpointCall, answerHandler: AnswerHandler, limits: ExchangeLimits): EndpointExchange => {
	const exchange = new QueuedExchange(connections, call, answerHandler, limits);
	exchange.start();
	return exchange;
};
