/**
 * Calls of a plain service. This is the only place that talks to the service; it keeps an action from running twice.
 */
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import {createRequestError, isRequestError, type RequestError} from '@hawthorncleat/core';
import type {
	ActionRef, Headers, ServiceCallParams, ServiceCallResult,
} from '@hawthorncleat/schema';
import type {Tracing} from '@hawthorncleat/telemetry';
import {Agent, type Dispatcher} from 'undici';
import {ActionMemory} from './action-memory.js';
import {isNeverConnected, readErrorCode} from './connection-errors.js';
import {IdleSignal} from './idle-signal.js';
import type {AgentMetrics} from './metrics.js';
import {overloaded} from './refusals.js';

const connectTimeoutMs = 1000;
const fullRetryAfterMs = 100;
// An answer in Base64 has to fit into one line of 1 MiB between processes.
const maxAnswerBytes = 700 * 1024;
// These concern one connection, or are set here, or must not reach an endpoint.
const droppedRequestHeaders = new Set([
	'authorization',
	'connection',
	'content-length',
	'expect',
	'host',
	'keep-alive',
	'proxy-authorization',
	'te',
	'traceparent',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'x-action-id',
	'x-client-account',
]);
const droppedResponseHeaders = new Set([
	'connection', 'content-length', 'keep-alive', 'proxy-authenticate', 'trailer', 'transfer-encoding', 'upgrade',
]);

export type ServiceCallsOptions = {
	readonly baseUrl: string;
	readonly maxRunning: number;
	readonly tracing: Tracing;
	readonly metrics: AgentMetrics;
	readonly signal: AbortSignal;
	/** Tells all entries that this call was under way when the service's connection broke. */
	readonly onCrash: (fingerprints: string[]) => void;
};

const buildHeaders = ({headers, clientAccount, action}: ServiceCallParams, traceparent: string): Record<string, string> => {
	const allowed = Object.entries(headers)
		.map(([name, value]) => [name.toLowerCase(), value] as const)
		.filter(([name]) => !droppedRequestHeaders.has(name));
	return {
		...Object.fromEntries(allowed),
		'x-client-account': clientAccount,
		...(action && {'x-action-id': action.actionId}),
		traceparent,
	};
};

const readHeaders = (headers: IncomingHttpHeaders): Headers => {
	const entries = Object.entries(headers)
		.filter(([name, value]) => value !== undefined && !droppedResponseHeaders.has(name))
		.map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value!]);
	return Object.fromEntries(entries) as Headers;
};

const readBody = async (body: Dispatcher.ResponseData['body']): Promise<Buffer> => {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of body as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxAnswerBytes) {
			throw createRequestError(`the answer of the service is over ${maxAnswerBytes} bytes`, {
				code: 'endpoint-failed', ran: 'unknown', status: 502,
			});
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

const toFailure = (error: unknown, timeout: AbortSignal): RequestError => {
	if (isRequestError(error)) {
		return error;
	}

	if (readErrorCode(error) === 'UND_ERR_INVALID_ARG') {
		return createRequestError('the call is no valid HTTP request', {code: 'bad-request', ran: 'not-run', status: 400}, error);
	}

	if (isNeverConnected(error)) {
		return createRequestError('cannot connect to the service', {code: 'endpoint-failed', ran: 'not-run', status: 502}, error);
	}

	const [code, status] = timeout.aborted ? ['endpoint-timeout', 504] as const : ['endpoint-failed', 502] as const;
	return createRequestError('the service gave no whole answer', {code, ran: 'unknown', status}, error);
};

/** The calls of one agent. */
export class ServiceCalls {
	#running = 0;
	readonly #idle = new IdleSignal(() => this.#running === 0);
	readonly #actions = new ActionMemory();
	readonly #reads: Agent;
	readonly #writes: Agent;
	readonly #origin: string;
	readonly #pathPrefix: string;

	constructor(private readonly options: ServiceCallsOptions) {
		const {origin, pathname} = new URL(options.baseUrl);
		this.#origin = origin;
		this.#pathPrefix = pathname.replace(/\/$/, '');
		this.#reads = new Agent({connections: options.maxRunning, connect: {timeout: connectTimeoutMs}});
		// Each action has a connection of its own: on a reused one, a close by the service leaves it unknown whether it ran.
		this.#writes = new Agent({connections: options.maxRunning, pipelining: 0, connect: {timeout: connectTimeoutMs}});
	}

	get running(): number {
		return this.#running;
	}

	/** Refuses an action that was already received. */
	checkAction(action: ActionRef): void {
		this.#actions.check(action);
	}

	async call(params: ServiceCallParams): Promise<ServiceCallResult> {
		if (this.#running >= this.options.maxRunning) {
			this.options.metrics.refused.inc({code: 'overloaded'});
			throw overloaded(fullRetryAfterMs);
		}

		if (params.action) {
			this.#actions.begin(params.action);
		}

		this.#running += 1;
		try {
			return await this.#callWithSpan(params);
		} finally {
			this.#running -= 1;
			this.#idle.check();
		}
	}

	/** Settles when no call is under way. */
	async whenIdle(): Promise<void> {
		await this.#idle.wait();
	}

	async close(): Promise<void> {
		await Promise.all([this.#reads.destroy(), this.#writes.destroy()]);
	}

	async #callWithSpan(params: ServiceCallParams): Promise<ServiceCallResult> {
		const {tracing, metrics} = this.options;
		const {requestId, attempt, service, traceparent} = params;
		const span = tracing.startSpan('agent.service-call', traceparent, {requestId, attempt, service});
		try {
			const result = await this.#send(params, span.traceparent);
			metrics.serviceCalls.inc({result: 'answered'});
			span.setAttributes({status: result.status});
			span.end();
			return result;
		} catch (error) {
			const {code, ran} = error as RequestError;
			metrics.serviceCalls.inc({result: ran});
			span.end(code);
			throw error;
		}
	}

	async #send(params: ServiceCallParams, traceparent: string): Promise<ServiceCallResult> {
		const timeout = AbortSignal.timeout(params.timeoutMs);
		try {
			const dispatcher = params.action ? this.#writes : this.#reads;
			// Not resolved as a relative URL, because a path that begins with two slashes would name another host.
			const response = await dispatcher.request({
				origin: this.#origin,
				path: `${this.#pathPrefix}${params.path}`,
				method: params.method,
				headers: buildHeaders(params, traceparent),
				body: params.bodyBase64 === '' ? null : Buffer.from(params.bodyBase64, 'base64'),
				signal: AbortSignal.any([timeout, this.options.signal]),
				headersTimeout: 0,
				bodyTimeout: 0,
			});
			const body = await readBody(response.body);
			return {
				status: response.statusCode, headers: readHeaders(response.headers), bodyBase64: body.toString('base64'),
			};
		} catch (error) {
			throw this.#explain(params, error, timeout);
		}
	}

	#explain({fingerprint, action}: ServiceCallParams, error: unknown, timeout: AbortSignal): RequestError {
		const failure = toFailure(error, timeout);
		if (failure.ran === 'not-run' && action) {
			this.#actions.noteNotRun(action);
		}

		const isBroken = failure !== error && failure.code === 'endpoint-failed' && failure.ran === 'unknown'
			&& !this.options.signal.aborted;
		if (isBroken && fingerprint !== undefined) {
			this.options.onCrash([fingerprint]);
		}

		return failure;
	}
}
