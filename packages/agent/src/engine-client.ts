/**
 * HTTP client of the engine interface in section 7 of docs/design.md. It checks everything that the engine answers, and
 * a failure says whether the request may have run and whether the connection broke.
 */
import type {Clock} from '@hawthorncleat/core';
import {
	validate, validators, type CacheEvent, type EngineOrder, type EngineState, type GenerateParams, type PrefillResult,
} from '@hawthorncleat/schema';
import {
	Agent, buildConnector, errors, request, type Dispatcher,
} from 'undici';
import {
	brokenConnection, createEngineFailure, invalidResponse, isEngineFailure, readAnswer, readEvents, readPrefillResult, type EngineBatch,
} from './engine-answer.js';

const connectTimeoutMs = 1000;
const controlTimeoutMs = 2000;
// Control calls must not wait for a connection while every place is taken by a stream.
const controlConnections = 4;
/** Parameters of `POST /prefill`. */
export type PrefillRequest = Pick<GenerateParams, 'clientAccount' | 'priority' | 'prompt' | 'requestId'>;

export type EngineClient = {
	generate(params: GenerateParams, traceparent: string, signal: AbortSignal): AsyncGenerator<EngineBatch, void>;
	/** Computes the KV cache of a prompt and keeps it for another engine to fetch. */
	prefill(params: PrefillRequest, traceparent: string, signal: AbortSignal): Promise<PrefillResult>;
	cancel(requestId: string): Promise<void>;
	state(): Promise<EngineState>;
	/** The engine's cache events until the stream ends; rejects when it fails or an event is invalid. */
	events(signal: AbortSignal): AsyncGenerator<CacheEvent, void>;
	/** Returns the HTTP status; rejects when the connection failed, after which the order may have been received. */
	order(order: EngineOrder): Promise<number>;
	close(): Promise<void>;
};

/** An engine that accepts no connection for a while may be busy; one that has ended refuses them. */
const timeoutErrors = new Set(['ConnectTimeoutError', 'TimeoutError']);

/** Whether a failed question for the state shows that the engine is gone, and not only that it answers late or badly. */
export const isEngineGone = (error: unknown): boolean =>
	!isEngineFailure(error) && !timeoutErrors.has((error as Error | undefined)?.name ?? '') && !(error instanceof SyntaxError);

/**
 * Opens connections within the limit. After a pause of this process a connection can be found open before the timer of its limit has run; the request
 * that waits for it may be seconds old, and the host may have begun to leave.
 */
const createConnector = (clock: Clock): buildConnector.connector => {
	const connect = buildConnector({timeout: connectTimeoutMs});
	return (options, callback) => {
		const startedMs = clock.nowMs();
		connect(options, (...[error, socket]) => {
			if (error) {
				callback(error, null);
			} else if (clock.nowMs() - startedMs > connectTimeoutMs) {
				socket.destroy();
				callback(new errors.ConnectTimeoutError(`the connection took longer than ${connectTimeoutMs} ms`), null);
			} else {
				callback(null, socket);
			}
		});
	};
};

/** Creates the client of the engine at `baseUrl`. */
export const createEngineClient = (baseUrl: string, maxRunning: number, clock: Clock): EngineClient => {
	const connect = createConnector(clock);
	// Each stream has a connection of its own: a reused one that the engine just closed would look like a crash.
	const streams = new Agent({connections: maxRunning + 1, pipelining: 0, connect});
	const events = new Agent({connections: 1, connect});
	const control = new Agent({connections: controlConnections, pipelining: 1, connect});
	const post = async (path: string, body: unknown): Promise<Dispatcher.ResponseData> => request(new URL(path, baseUrl), {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(body),
		dispatcher: control,
		signal: AbortSignal.timeout(controlTimeoutMs),
	});

	const startWork = async (path: string, params: PrefillRequest, traceparent: string, signal: AbortSignal): Promise<Dispatcher.ResponseData> => {
		const response = await request(new URL(path, baseUrl), {
			method: 'POST',
			headers: {'content-type': 'application/json', traceparent},
			body: JSON.stringify(params),
			dispatcher: streams,
			signal,
			// A stream without progress is cancelled by its entry, which knows the time that is left.
			headersTimeout: 0,
			bodyTimeout: 0,
		}).catch((error: unknown) => {
			throw brokenConnection(false, error);
		});
		if (response.statusCode !== 200) {
			await response.body.dump();
			throw createEngineFailure(`the engine answered ${response.statusCode}`, {
				code: 'endpoint-failed', ran: 'unknown', connectionBroke: false,
			});
		}

		return response;
	};

	return {
		async * generate(params, traceparent, signal) {
			const response = await startWork('/generate', params, traceparent, signal);

			try {
				yield * readAnswer(response, params.delivered.length);
			} finally {
				response.body.on('error', () => {/* The answer is given up. */});
				response.body.destroy();
			}
		},
		async prefill(params, traceparent, signal) {
			const response = await startWork('/prefill', params, traceparent, signal);
			const text = await response.body.text().catch((error: unknown) => {
				throw brokenConnection(false, error);
			});
			return readPrefillResult(text);
		},
		async cancel(requestId) {
			const response = await post('/cancel', {requestId});
			await response.body.dump();
		},
		async state() {
			const response = await request(new URL('/state', baseUrl), {
				dispatcher: control, signal: AbortSignal.timeout(controlTimeoutMs),
			});
			const checked = validate<EngineState>(validators.validateEngineState, await response.body.json());
			if (response.statusCode !== 200 || !checked.ok) {
				throw invalidResponse('the state');
			}

			return checked.value;
		},
		async * events(signal) {
			const response = await request(new URL('/events', baseUrl), {
				dispatcher: events, signal, headersTimeout: controlTimeoutMs, bodyTimeout: 0,
			});
			yield * readEvents(response);
		},
		async order(order) {
			const response = await post('/orders', order);
			await response.body.dump();
			return response.statusCode;
		},
		async close() {
			await Promise.all([streams.destroy(), control.destroy(), events.destroy()]);
		},
	};
};
