/**
 * Callers that record every request they send and everything they see of its answer.
 */
import {performance} from 'node:perf_hooks';
import type {Ran} from '@hawthorncleat/core';
import {Agent, request} from 'undici';
import {
	fleetServices, keyNameOf, keyOf, requestIdHeader,
} from './fleet-config.js';
import type {Fleet} from './fleet.js';
import type {SentRequest} from './history.js';

const defaultTimeoutMs = 15_000;

/** What the caller saw of one request. */
export type CallerAnswer
	= | {readonly kind: 'answered'; readonly status: number; readonly body: string; readonly code?: string; readonly ran?: Ran}
		| {readonly kind: 'unanswered'; readonly reason: string};

/** Content of one request. */
type Call = {
	readonly kind: SentRequest['request'];
	readonly path: string;
	readonly method: 'GET' | 'POST';
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
	readonly actionKey?: string;
};

/** A caller with the key of one account. */
export type Caller = {
	readonly name: string;
	/** Places an order; the content follows from the action key, so that sending it again repeats it. */
	sendAction(entry: string, actionKey: string): Promise<CallerAnswer>;
	lookUp(entry: string): Promise<CallerAnswer>;
	complete(entry: string, prompt: string, maxTokens?: number): Promise<CallerAnswer>;
};

/** What a caller is made of. */
export type CallerOptions = {
	readonly name: string;
	readonly account: string;
	/** Given up after this time without an answer. */
	readonly timeoutMs?: number;
};

/** Text of a prompt that names the request, so that the engine's record of it can be found. */
export const promptTag = (requestId: string): string => `[request ${requestId}]`;

const readError = (body: string): {code?: string; ran?: Ran} => {
	try {
		const {error} = JSON.parse(body) as {error?: {code?: string; ran?: Ran}};
		return {code: error?.code, ran: error?.ran};
	} catch {
		return {};
	}
};

const completionBody = (prompt: string, maxTokens: number): string => JSON.stringify(Object.fromEntries([
	['model', fleetServices.model],
	['prompt', prompt],
	['max_tokens', maxTokens],
]));

/** Creates a caller. Its connections close when `signal` aborts. */
export const createCaller = (fleet: Fleet, options: CallerOptions, signal: AbortSignal): Caller => {
	const {name, account, timeoutMs = defaultTimeoutMs} = options;
	// Without kept connections, each failure of a connection belongs to one request.
	const dispatcher = new Agent({pipelining: 0, headersTimeout: timeoutMs, bodyTimeout: timeoutMs});
	signal.addEventListener('abort', () => {
		void dispatcher.destroy();
	}, {once: true});
	let count = 0;

	const exchange = async (entry: string, requestId: string, call: Call): Promise<CallerAnswer> => {
		try {
			const {statusCode, body} = await request(fleet.callerUrl(entry) + call.path, {
				dispatcher,
				method: call.method,
				headers: {
					authorization: `Bearer ${keyOf(account)}`,
					'content-type': 'application/json',
					[requestIdHeader]: requestId,
					...call.headers,
				},
				body: call.body,
				signal: AbortSignal.timeout(timeoutMs),
			});
			const text = await body.text();
			return {
				kind: 'answered', status: statusCode, body: text, ...statusCode >= 400 && readError(text),
			};
		} catch (error) {
			return {kind: 'unanswered', reason: String(error)};
		}
	};

	const send = async (entry: string, createCall: (requestId: string) => Call): Promise<CallerAnswer> => {
		count += 1;
		const requestId = `${name}.${count}`;
		const call = createCall(requestId);
		fleet.history.append({
			kind: 'sent', requestId, client: name, entry, account, key: keyNameOf(account), request: call.kind, actionKey: call.actionKey,
		});
		const sentMs = performance.now();
		const answer = await exchange(entry, requestId, call);
		fleet.history.append({...answer, requestId, durationMs: performance.now() - sentMs});
		return answer;
	};

	return {
		name,
		sendAction: async (entry, actionKey) => send(entry, () => ({
			kind: 'action',
			method: 'POST',
			path: '/orders',
			headers: {'idempotency-key': actionKey},
			body: JSON.stringify({actionKey}),
			actionKey,
		})),
		lookUp: async entry => send(entry, requestId => ({kind: 'lookup', method: 'GET', path: `/stock/${requestId}`})),
		complete: async (entry, prompt, maxTokens = 16) => send(entry, requestId => ({
			kind: 'completion',
			method: 'POST',
			path: '/v1/completions',
			body: completionBody(`${promptTag(requestId)} ${prompt}`, maxTokens),
		})),
	};
};
