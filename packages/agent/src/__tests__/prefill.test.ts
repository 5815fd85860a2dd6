import {startEngine, type EngineStandIn} from '@hawthorncleat/stand-ins';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {until, withAgent, type FakeEntry} from './fakes.js';

const prompt = 'a prompt of six whole words';

const prefill = async (entry: FakeEntry, requestId: string): Promise<void> => {
	await entry.peer.call('request.prefill', {
		requestId, attempt: 1, incarnation: entry.incarnation, clientAccount: 'account-1', weight: 1, priority: 0, model: 'model', prompt,
		maxTokens: 3, delivered: [], firstTokenInMs: 10_000, fingerprint: 'f', traceparent: '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01',
	});
};

/** Runs a test with a prefill engine and a decode engine, each with its agent. */
const withPair = async (body: (pair: {first: FakeEntry; second: FakeEntry; engines: EngineStandIn[]}) => Promise<void>, stepMs = 5): Promise<void> => {
	const stop = new AbortController();
	const engines = await Promise.all((['prefill', 'decode'] as const).map(async role => startEngine({role, stepMs}, stop.signal)));
	await withAgent({endpointUrl: engines[0]!.url}, async ({entry: first}) => {
		await withAgent({endpointUrl: engines[1]!.url}, async ({entry: second}) => body({first, second, engines}));
	});
	stop.abort();
	await Promise.all(engines.map(async engine => engine.closed));
};

const endOf = (entry: FakeEntry, requestId: string) => entry.frames.find(frame => frame.requestId === requestId && frame.end)?.end;

describe('prefill for another engine', () => {
	it('hands the cache from engine to engine; guards against prompts that are computed twice or pass through a daemon', async () => withPair(async ({first, second, engines}) => {
		await prefill(first, 'r1');
		await until(() => first.hasEnd('r1'), 'the prefill');
		const {kv, ...counts} = endOf(first, 'r1')!;
		assert.equal(counts, {
			reason: 'prefilled', promptTokens: 6, cachedTokens: 0, outputTokens: 0,
		});
		assert.is(kv?.source, engines[0]!.url);
		await second.start('r1', {prompt, kv});
		await until(() => second.hasEnd('r1'), 'the answer');
		assert.equal([second.tokens('r1').length, endOf(second, 'r1')?.cachedTokens], [3, 6]);
		const exports = engines[0]!.history.filter(record => record.kind === 'request' && record.path.startsWith('/kv/'));
		assert.is(exports.length, 1);
	}));

	it('leaves the prompt to the decode engine when the cache is gone; guards against answers that depend on the transfer', async () => withPair(async ({second, engines}) => {
		await second.start('r1', {prompt, kv: {source: engines[0]!.url, handle: 'kv-gone'}});
		await until(() => second.hasEnd('r1'), 'the answer');
		assert.equal([second.tokens('r1').length, endOf(second, 'r1')?.cachedTokens], [3, 0]);
	}));

	it('reports a crash of the engine during the prefill; guards against an entry that waits for a handle', async () => withPair(async ({first, engines}) => {
		await prefill(first, 'r1');
		await until(() => engines[0]!.state.running + engines[0]!.state.waiting > 0, 'the prefill at the engine');
		engines[0]!.crash();
		await until(() => first.failures.length > 0, 'the failure');
		assert.equal([first.failures[0]?.crash, first.hasEnd('r1')], [true, false]);
	}, 1000));
});
