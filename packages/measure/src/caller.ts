/**
 * Callers that stream answers, directly from the engine or through the path, and note when the tokens arrive.
 */
import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import {callerKey} from './example-fleet-config.js';
import {countTokenLines, type TokenFormat} from './token-lines.js';

/** Arrival times in milliseconds. */
export type Timing = {readonly firstTokenMs: number; readonly gapsMs: readonly number[]; readonly tokens: number};

export type Target = {readonly format: TokenFormat; readonly url: string};

/** What a caller asks for. */
export type Question = {readonly maxTokens: number; readonly promptWords: number};

// Streams stay open far longer than undici's default time limits.
const dispatcher = new Agent({connections: 4000, headersTimeout: 0, bodyTimeout: 0});

/** Prompts differ, so that the engine's prompt cache answers none of them. */
const createPrompt = (words: number): string => `${randomUUID()}${' word'.repeat(Math.max(0, words - 1))}`;

/** The body of a completion request. */
export const createCompletionBody = (prompt: string, maxTokens: number, stream: boolean): unknown => Object.fromEntries([
	['model', 'model'],
	['prompt', prompt],
	['max_tokens', maxTokens],
	['stream', stream],
]);

const createRequest = ({format, url}: Target, {maxTokens, promptWords}: Question): {path: string; body: unknown} => {
	const prompt = createPrompt(promptWords);
	return format === 'engine'
		? {
			path: `${url}/generate`,
			body: {
				requestId: randomUUID(), clientAccount: 'direct', prompt, maxTokens, priority: 0, delivered: [],
			},
		}
		: {
			path: `${url}/v1/completions`,
			body: createCompletionBody(prompt, maxTokens, true),
		};
};

/** Streams one answer and notes the arrival of its tokens. */
export const streamAnswer = async (target: Target, question: Question, onFirstToken?: () => void, signal?: AbortSignal): Promise<Timing> => {
	const {path, body} = createRequest(target, question);
	const startedAt = performance.now();
	const answer = await request(path, {
		method: 'POST', dispatcher, signal, body: JSON.stringify(body), headers: {'content-type': 'application/json', authorization: `Bearer ${callerKey}`},
	});
	if (answer.statusCode !== 200) {
		throw new Error(`${path} was answered ${answer.statusCode}: ${await answer.body.text()}`);
	}

	const arrivals: number[] = [];
	let rest = '';
	for await (const chunk of answer.body) {
		const counted = countTokenLines(target.format, rest + String(chunk));
		rest = counted.rest;
		arrivals.push(...Array.from({length: counted.tokens}, () => performance.now()));
		if (arrivals.length > 0) {
			onFirstToken?.();
		}
	}

	const gapsMs = arrivals.slice(1).map((time, index) => time - arrivals[index]!);
	return {firstTokenMs: (arrivals[0] ?? Number.NaN) - startedAt, gapsMs, tokens: arrivals.length};
};

/** Runs work with a number of callers at once. */
export const runConcurrently = async (callers: number, count: number, work: (index: number) => Promise<void>): Promise<void> => {
	let next = 0;
	const runCaller = async (): Promise<void> => {
		while (next < count) {
			next += 1;
			await work(next);
		}
	};

	await Promise.all(Array.from({length: callers}, async () => runCaller()));
};

/** Places one order with an idempotency key of its own. */
export const placeOrder = async (url: string): Promise<void> => {
	const answer = await request(`${url}/orders`, {
		method: 'POST',
		dispatcher,
		body: '{"item":"pallet"}',
		headers: {'content-type': 'application/json', authorization: `Bearer ${callerKey}`, 'idempotency-key': randomUUID()},
	});
	const text = await answer.body.text();
	if (answer.statusCode >= 300) {
		throw new Error(`an order was answered ${answer.statusCode}: ${text}`);
	}
};
