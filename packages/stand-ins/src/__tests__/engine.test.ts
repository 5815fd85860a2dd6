import {setTimeout as delay} from 'node:timers/promises';
import type {EngineState, GenerateLine, GenerateParams} from '@hawthorncleat/schema';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	computeExpectedAnswer, computePrefixBlocks, startEngine, tokenize, type EngineOptions, type EngineStandIn,
} from '../index.js';

const withEngine = async (options: EngineOptions, body: (engine: EngineStandIn, signal: AbortSignal) => Promise<void>): Promise<void> => {
	const controller = new AbortController();
	const engine = await startEngine({stepMs: 2, changeMs: 400, ...options}, controller.signal);
	try {
		await body(engine, controller.signal);
	} finally {
		controller.abort();
		await engine.closed;
	}
};

const defaultRequest: GenerateParams = {
	requestId: 'r1', clientAccount: 'a1', prompt: 'one two three', maxTokens: 6, priority: 5, delivered: [],
};

const post = async (engine: EngineStandIn, path: string, value: unknown, signal?: AbortSignal): Promise<Response> =>
	fetch(`${engine.url}${path}`, {method: 'POST', body: JSON.stringify(value), signal});

const generate = async (engine: EngineStandIn, params: Partial<GenerateParams> = {}): Promise<GenerateLine[]> => {
	const response = await post(engine, '/generate', {...defaultRequest, ...params});
	const text = await response.text();
	return text.trim().split('\n').map(line => JSON.parse(line) as GenerateLine);
};

const getTokens = (lines: readonly GenerateLine[]): string[] => lines.flatMap(line => line.token ?? []);
const longPrompt = Array.from({length: 40}, (_, index) => `word${index}`).join(' ');

describe('engine stand-in', () => {
	it('splits a prompt into tokens whose concatenation is the prompt', () => {
		for (const prompt of ['', ' ', 'a', ' a  b\nc ', longPrompt]) {
			assert.is(tokenize(prompt).join(''), prompt);
		}
	});

	describe('answers', () => {
		it('streams the expected tokens with their positions and an end line', async () => withEngine({}, async engine => {
			const lines = await generate(engine);
			assert.equal(getTokens(lines), computeExpectedAnswer(defaultRequest.prompt, 6));
			assert.equal(lines.map(line => line.position), [0, 1, 2, 3, 4, 5, undefined]);
			assert.equal(lines.at(-1)?.end, {
				reason: 'length', promptTokens: 3, cachedTokens: 0, outputTokens: 6,
			});
		}));

		it('resumes the same answer after the delivered tokens', async () => withEngine({}, async engine => {
			const expected = computeExpectedAnswer(defaultRequest.prompt, 6);
			const lines = await generate(engine, {delivered: expected.slice(0, 4)});
			assert.equal(getTokens(lines), expected.slice(4));
			assert.is(lines[0]?.position, 4);
		}));

		it('reports the cached tokens of a repeated prompt and sends a cache event', async () => withEngine({eventDelayMs: 1}, async engine => {
			const events = await fetch(`${engine.url}/events`);
			await generate(engine, {prompt: longPrompt});
			const lines = await generate(engine, {prompt: longPrompt, requestId: 'r2'});
			assert.is(lines.at(-1)?.end?.cachedTokens, 32);
			const reader = events.body!.getReader();
			const chunk = await reader.read();
			const blocks = computePrefixBlocks(longPrompt, 16);
			assert.equal(JSON.parse(new TextDecoder().decode(chunk.value as Uint8Array)), {kind: 'stored', blocks});
			await reader.cancel();
		}));

		it('evicts the least recently used prefix', async () => withEngine({cacheBlocks: 2}, async engine => {
			await generate(engine, {prompt: longPrompt});
			await generate(engine, {prompt: `other ${longPrompt}`, requestId: 'r2'});
			const lines = await generate(engine, {prompt: longPrompt, requestId: 'r3'});
			assert.is(lines.at(-1)?.end?.cachedTokens, 0);
		}));

		it('starts waiting requests in the order of priority', async () => withEngine({maxRunning: 1}, async engine => {
			const finished: string[] = [];
			const run = async (requestId: string, priority: number): Promise<void> => {
				await generate(engine, {requestId, priority, maxTokens: 200});
				finished.push(requestId);
			};

			const first = run('first', 5);
			await waitUntil(() => engine.state.running === 1);
			await Promise.all([first, run('low', 1), run('high', 9)]);
			assert.equal(finished, ['first', 'high', 'low']);
		}));
	});

	describe('cancellation', () => {
		it('ends the answer and frees its slot', async () => withEngine({}, async engine => {
			const answer = generate(engine, {maxTokens: 1_000_000});
			await waitUntil(() => engine.state.running === 1);
			await post(engine, '/cancel', {requestId: 'r1'});
			const lines = await answer;
			assert.is(lines.at(-1)?.end?.reason, 'cancelled');
			assert.is(engine.state.running, 0);
		}));

		it('happens when the caller closes the connection', async () => withEngine({}, async engine => {
			const controller = new AbortController();
			const response = await post(engine, '/generate', {...defaultRequest, maxTokens: 1_000_000}, controller.signal);
			assert.is(response.status, 200);
			controller.abort();
			await response.text().catch(() => 'aborted');
			await waitUntil(() => engine.state.running + engine.state.waiting === 0);
		}));
	});

	describe('orders', () => {
		it('make the engine reject requests until the role change is complete', async () => withEngine({}, async engine => {
			const order = post(engine, '/orders', {orderNumber: 3, role: 'prefill'});
			await waitUntil(() => engine.state.changing);
			const during = await post(engine, '/generate', defaultRequest);
			assert.is(during.status, 503);
			const response = await order;
			assert.is(response.status, 200);
			const state = await fetch(`${engine.url}/state`);
			const {role, changing, lastOrder} = await state.json() as EngineState;
			assert.equal([role, changing, lastOrder], ['prefill', false, 3]);
			const wrongRole = await post(engine, '/generate', defaultRequest);
			assert.is(wrongRole.status, 409);
		}));

		it('are refused for an old number only if the engine checks numbers', async () => {
			const results: number[] = [];
			for (const checksOrderNumbers of [true, false]) {
				await withEngine({checksOrderNumbers, changeMs: 1}, async engine => {
					await post(engine, '/orders', {orderNumber: 2, role: 'decode'});
					const old = await post(engine, '/orders', {orderNumber: 1, role: 'prefill'});
					results.push(old.status);
				});
			}

			assert.equal(results, [409, 200]);
		});

		it('are recorded with their overlap and the number of requests that they cut off', async () => withEngine({checksOrderNumbers: false}, async engine => {
			const answer = generate(engine, {maxTokens: 1_000_000}).catch(() => 'cut off');
			await waitUntil(() => engine.state.running === 1);
			const first = post(engine, '/orders', {orderNumber: 1});
			await waitUntil(() => engine.state.changing);
			await Promise.all([first, post(engine, '/orders', {orderNumber: 2})]);
			assert.is(await answer, 'cut off');
			const starts = engine.history.flatMap(record => record.kind === 'order-start' ? [[record.overlapping, record.cutOff]] : []);
			assert.equal(starts, [[false, 1], [true, 0]]);
		}));
	});

	it('transfers KV cache from one engine to another', async () => withEngine({role: 'prefill'}, async (source, signal) => {
		const target = await startEngine({role: 'decode', stepMs: 2}, signal);
		const response = await post(source, '/prefill', {...defaultRequest, prompt: longPrompt});
		const {handle, promptTokens} = await response.json() as {handle: string; promptTokens: number};
		assert.is(promptTokens, 40);
		const lines = await generate(target, {prompt: longPrompt, kv: {source: source.url, handle}});
		assert.is(lines.at(-1)?.end?.cachedTokens, 40);
		assert.equal(getTokens(lines), computeExpectedAnswer(longPrompt, 6));
	}));

	it('crashes at the crash marker, refuses connections and restarts', async () => withEngine({restartMs: 400}, async engine => {
		const other = generate(engine, {requestId: 'r2', maxTokens: 1_000_000}).catch(() => 'lost');
		await waitUntil(() => engine.state.running === 1);
		const poison = generate(engine, {prompt: 'crash-engine', maxTokens: 100}).catch(() => 'lost');
		assert.equal(await Promise.all([other, poison]), ['lost', 'lost']);
		assert.is(await generate(engine).catch(() => 'refused'), 'refused');
		await waitUntil(() => engine.history.at(-1)?.kind === 'restart');
		const lines = await generate(engine);
		assert.equal(getTokens(lines), computeExpectedAnswer(defaultRequest.prompt, 6));
	}));

	it('discards an order that a crash interrupts, and refuses its number afterwards', async () => withEngine({restartMs: 30}, async engine => {
		const order = post(engine, '/orders', {orderNumber: 1, role: 'decode'}).catch(() => 'lost');
		await waitUntil(() => engine.state.changing);
		engine.crash();
		assert.is(await order, 'lost');
		await waitUntil(() => engine.history.at(-1)?.kind === 'restart');
		assert.equal([engine.state.role, engine.state.changing, engine.state.lastOrder], ['mixed', false, 0]);
		const again = await post(engine, '/orders', {orderNumber: 1, role: 'decode'});
		assert.is(again.status, 409);
		const next = await post(engine, '/orders', {orderNumber: 2, role: 'decode'});
		assert.is(next.status, 200);
	}));

	it('sends invalid JSON or ends the answer halfway when a fault is chosen', async () => {
		const chooseFault = (answerNumber: number) => (['nonsense', 'stop-halfway'] as const)[answerNumber - 1];
		await withEngine({chooseFault}, async engine => {
			const nonsense = await post(engine, '/generate', defaultRequest);
			const text = await nonsense.text();
			assert.match(text, /<html>/);
			const halfway = await generate(engine);
			assert.equal(getTokens(halfway), computeExpectedAnswer(defaultRequest.prompt, 6).slice(0, 3));
			assert.is(halfway.at(-1)?.end, undefined);
			const whole = await generate(engine);
			assert.is(whole.length, 7);
		});
	});

	it('records headers and bodies as received', async () => withEngine({}, async engine => {
		const body = JSON.stringify(defaultRequest);
		const response = await fetch(`${engine.url}/generate`, {method: 'POST', body, headers: {'x-client-account': 'a1'}});
		await response.text();
		const request = engine.history.find(record => record.kind === 'request');
		assert.is(request?.kind === 'request' && request.body, body);
		assert.is(request?.kind === 'request' && request.headers['x-client-account'], 'a1');
	}));
});
