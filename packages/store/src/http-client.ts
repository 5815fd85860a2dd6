/**
 * HTTP with JSON to the platform. Every request has a deadline. A failure says whether the request can have had an
 * effect.
 */
import {Pool, type Dispatcher} from 'undici';
import {createStoreError, type StoreError, type WriteOutcome} from './store.js';

/** Shorter than `claimWaitMs`, so that a claim can find out in time what became of its write. */
export const defaultPlatformTimeoutMs = 1500;
// A slow table keeps each connection busy; more than this would only move the queue to the table.
const maxConnections = 32;

export type HttpClientOptions = {
	readonly url: string;
	/** Limit of a whole request, including the wait for a connection. */
	readonly timeoutMs?: number;
};

export type HttpRequest = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly query?: Readonly<Record<string, string | number | undefined>>;
	readonly body?: unknown;
	/** Asked in the same step in which the request is written to its connection; false drops the request. */
	readonly maySend?: () => boolean;
};

export type HttpResponse = {readonly status: number; readonly body: unknown};

/** Requests to one platform over a pool of connections. */
export type HttpClient = {
	/** Rejects with a `StoreError` if there is no whole answer in time. */
	request(request: HttpRequest): Promise<HttpResponse>;
};

class SendForbiddenError extends Error {}

type GuardedOptions = Dispatcher.DispatchOptions & {readonly maySend?: () => boolean};

const guardHandler = (handler: Dispatcher.DispatchHandler, maySend: () => boolean): Dispatcher.DispatchHandler => ({
	onRequestStart(controller, context) {
		if (maySend()) {
			handler.onRequestStart?.(controller, context);
		} else {
			controller.abort(new SendForbiddenError('the sender has lost its authority'));
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

/** Asks `maySend` when the connection is open and the request is about to be written, not when it is queued. */
const guard: Dispatcher.DispatcherComposeInterceptor = dispatch => (options, handler) => {
	const {maySend} = options as GuardedOptions;
	return dispatch(options, maySend ? guardHandler(handler, maySend) : handler);
};

const outcomeOf = (err: unknown): WriteOutcome => {
	const refused = err instanceof SendForbiddenError || (err as {code?: string} | null)?.code === 'ECONNREFUSED';
	return refused ? 'not-written' : 'unknown';
};

const toStoreError = (request: HttpRequest, err: unknown): StoreError => {
	const reason = err instanceof Error ? err.message : String(err);
	return createStoreError(`${request.method} ${request.path} failed: ${reason}`, outcomeOf(err), err);
};

const dropUndefined = (query: NonNullable<HttpRequest['query']>): Record<string, string | number> =>
	Object.fromEntries(Object.entries(query).filter((entry): entry is [string, string | number] => entry[1] !== undefined));

const parseBody = (text: string): unknown => text === '' ? undefined : JSON.parse(text);

/** Creates a client whose connections close when `signal` aborts. */
export const createHttpClient = (options: HttpClientOptions, signal: AbortSignal): HttpClient => {
	const timeoutMs = options.timeoutMs ?? defaultPlatformTimeoutMs;
	const pool = new Pool(options.url, {connections: maxConnections, connect: {timeout: timeoutMs}});
	const dispatcher = pool.compose(guard);
	signal.addEventListener('abort', () => {
		void pool.destroy();
	}, {once: true});
	const send = async (request: HttpRequest): Promise<HttpResponse> => {
		const answer = await dispatcher.request({
			method: request.method,
			path: request.path,
			query: dropUndefined(request.query ?? {}),
			body: request.body === undefined ? null : JSON.stringify(request.body),
			headers: request.body === undefined ? {} : {'content-type': 'application/json'},
			signal: AbortSignal.timeout(timeoutMs),
			maySend: request.maySend,
		} as Dispatcher.RequestOptions);
		return {status: answer.statusCode, body: parseBody(await answer.body.text())};
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
