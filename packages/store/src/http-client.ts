/**
 * HTTP client for the platform's JSON interface. Every request has a timeout, and the error of a failed request states
 * whether the request may have taken effect.
 */
import {Pool, type Dispatcher} from 'undici';
import {createStoreError, type StoreError, type WriteOutcome} from './store.js';

/** Shorter than `claimWaitMs`, so that a claim whose write timed out has time to find out whether it was written. */
export const defaultPlatformTimeoutMs = 1500;
// Requests to a slow table occupy their connections for long; more connections would only move the queue to the table.
const maxConnections = 32;

export type HttpClientOptions = {
	readonly url: string;
	/** Timeout of a whole request, including the wait for a connection. */
	readonly timeoutMs?: number;
};

export type HttpRequest = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly query?: Readonly<Record<string, string | number | undefined>>;
	readonly body?: unknown;
	/** Called right before the request is written to its connection; false drops the request. */
	readonly maySend?: () => boolean;
};

export type HttpResponse = {readonly status: number; readonly body: unknown};

/** Sends requests to the platform over a pool of connections. */
export type HttpClient = {
	/** Rejects with a `StoreError` if no whole response arrives before the timeout. */
	request(request: HttpRequest): Promise<HttpResponse>;
};

class AuthorityLostError extends Error {}

type CheckedDispatchOptions = Dispatcher.DispatchOptions & {readonly maySend?: () => boolean};

const createCheckedHandler = (handler: Dispatcher.DispatchHandler, maySend: () => boolean): Dispatcher.DispatchHandler => ({
	onRequestStart(controller, context) {
		if (maySend()) {
			handler.onRequestStart?.(controller, context);
		} else {
			controller.abort(new AuthorityLostError('the sender has lost its authority'));
		}
	},
	onResponseStart(...args) {
		handler.onResponseStart?.(...args);
	},
	onResponseData(...args) {
		handler.onResponseData?.(...args);
	},
	onResponseEnd(...args) {
		handler.onResponseEnd?.(...args);
	},
	onResponseError(...args) {
		handler.onResponseError?.(...args);
	},
});

/** Calls `maySend` when the connection is open and the request is about to be written, not when it is queued. */
const authorityInterceptor: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
	const {maySend} = options as CheckedDispatchOptions;
	return dispatch(options, maySend ? createCheckedHandler(handler, maySend) : handler);
};

const classifyWriteOutcome = (err: unknown): WriteOutcome => {
	const isNotSent = err instanceof AuthorityLostError || (err as {code?: string} | null)?.code === 'ECONNREFUSED';
	return isNotSent ? 'not-written' : 'unknown';
};

const toStoreError = (request: HttpRequest, err: unknown): StoreError => {
	const reason = err instanceof Error ? err.message : String(err);
	return createStoreError(`${request.method} ${request.path} failed: ${reason}`, classifyWriteOutcome(err), err);
};

const dropUndefined = (query: NonNullable<HttpRequest['query']>): Record<string, string | number> =>
	Object.fromEntries(Object.entries(query).filter((entry): entry is [string, string | number] => entry[1] !== undefined));

const parseBody = (text: string): unknown => text === '' ? undefined : JSON.parse(text);

/** Creates a client whose connections close when `signal` aborts. */
export const createHttpClient = (options: HttpClientOptions, signal: AbortSignal): HttpClient => {
	const timeoutMs = options.timeoutMs ?? defaultPlatformTimeoutMs;
	const pool = new Pool(options.url, {connections: maxConnections, connect: {timeout: timeoutMs}});
	const dispatcher = pool.compose(authorityInterceptor);
	signal.addEventListener('abort', () => {
		void pool.destroy();
	}, {once: true});
	const send = async (request: HttpRequest): Promise<HttpResponse> => {
		const response = await dispatcher.request({
			method: request.method,
			path: request.path,
			query: dropUndefined(request.query ?? {}),
			body: request.body === undefined ? null : JSON.stringify(request.body),
			headers: request.body === undefined ? {} : {'content-type': 'application/json'},
			signal: AbortSignal.timeout(timeoutMs),
			maySend: request.maySend,
		} as Dispatcher.RequestOptions);
		return {status: response.statusCode, body: parseBody(await response.body.text())};
	};

	return {
		async request(request) {
			try {
				return await send(request);
			} catch (error) {
				throw toStoreError(request, error);
			}
		},
	};
};
