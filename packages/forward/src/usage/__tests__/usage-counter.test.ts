import {brandAs, type StoreGeneration} from '@hawthorncleat/core';
import {createStoreError, type WriteOutcome} from '@hawthorncleat/store';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {RowStore} from '../../ports.js';
import {UsageCounter, usageRowKey} from '../usage-counter.js';

const firstGeneration = brandAs<StoreGeneration>(0);
const windowMs = 5000;
/** A write without an answer has taken effect, if ever, within this time. */
const lateWriteMs = 6000;

type PendingWrite = {readonly rows: Parameters<RowStore['write']>[1]; succeed(): void; fail(outcome?: WriteOutcome): void};

type Fixture = {
	readonly counter: UsageCounter;
	readonly writes: PendingWrite[];
	/** Counts one request in a window. */
	countIn(window: number): void;
	/** Lets time pass. */
	advance(ms: number): void;
	/** Lets a write begin and succeed. */
	flush(): Promise<void>;
	/** Windows and counts that would be broadcast now. */
	broadcast(): unknown;
};

/** A counter whose writes end when the test says so. */
const createFixture = (): Fixture => {
	const writes: PendingWrite[] = [];
	let nowMs = 0;
	const counter = new UsageCounter({
		rows: {
			read: async () => ({
				rows: [], version: 1, storeNowMs: 0, bytes: 0, transferMs: 0, generation: firstGeneration,
			}),
			watch: async () => undefined,
			write: async (_table, rows) => new Promise((resolve, reject) => {
				writes.push({
					rows,
					succeed: resolve,
					fail(outcome = 'unknown') {
						reject(createStoreError('failed', outcome));
					},
				});
			}),
		},
		owner: 'e1',
		windowMs,
		nowMs: () => nowMs,
		liveEntries: () => 1,
		isShared: () => false,
		position: () => ({index: 0, count: 1}),
		onError: () => undefined,
	});
	return {
		counter,
		writes,
		countIn(window) {
			nowMs = window * windowMs;
			counter.count('tenant');
		},
		advance(ms) {
			nowMs += ms;
		},
		async flush() {
			const flushed = counter.flush();
			writes.at(-1)?.succeed();
			await flushed;
		},
		broadcast: () => counter.unwrittenCounts().windows,
	};
};

describe('the usage counter', () => {
	describe('while a write waits for its answer', () => {
		it('broadcasts the counts of that write; guards against a bill without them when the write fails or the entry crashes', async () => {
			const {counter, writes, countIn, broadcast} = createFixture();
			countIn(1);
			const flushed = counter.flush();
			assert.equal(broadcast(), [[1, {tenant: 1}]]);
			writes[0]!.succeed();
			await flushed;
			assert.equal(broadcast(), []);
		});

		it('keeps the counts of later requests for the next write; guards against requests that are counted but never written', async () => {
			const {counter, writes, countIn, broadcast} = createFixture();
			countIn(1);
			const flushed = counter.flush();
			countIn(1);
			writes[0]!.succeed();
			await flushed;
			assert.equal(broadcast(), [[1, {tenant: 2}]]);
			void counter.flush();
			assert.equal(writes[1]!.rows.map(({value}) => value), ['{"tenant":2}']);
		});
	});

	describe('after a write without an answer', () => {
		it('writes and broadcasts its counts again for a while; guards against a late write that replaces newer counts', async () => {
			const {counter, writes, countIn, advance, flush, broadcast} = createFixture();
			countIn(1);
			const flushed = counter.flush();
			writes[0]!.fail();
			await flushed;
			countIn(1);
			await flush();
			assert.equal(broadcast(), [[1, {tenant: 2}]]);
			advance(lateWriteMs);
			await flush();
			assert.equal(writes.map(({rows}) => rows[0]!.value), ['{"tenant":1}', '{"tenant":2}', '{"tenant":2}']);
			assert.equal(broadcast(), []);
		});

		it('writes its counts once if the store says that it wrote nothing', async () => {
			const {counter, writes, countIn, flush, broadcast} = createFixture();
			countIn(1);
			const flushed = counter.flush();
			writes[0]!.fail('not-written');
			await flushed;
			await flush();
			assert.equal(broadcast(), []);
		});
	});

	// Counts that the store had acknowledged were never written again.
	it('writes and broadcasts the counts of the last twenty seconds again when the store has returned from a copy; guards against a bill without lost counts', async () => {
		const {counter, writes, countIn, advance, flush, broadcast} = createFixture();
		for (const window of [1, 2, 3, 4, 5]) {
			countIn(window);
			await flush();
		}

		// Window 1 ended at 10 s.
		advance(5500);
		assert.equal(broadcast(), []);
		counter.recordStoreReturn();
		assert.equal(broadcast(), [[3, {tenant: 1}], [4, {tenant: 1}], [5, {tenant: 1}]]);
		await flush();
		assert.equal(writes.at(-1)!.rows.map(({key}) => key), [2, 3, 4, 5].map(window => usageRowKey(window, 'e1')));
		assert.equal(broadcast(), []);
	});

	it('broadcasts the newest windows after a failed write; guards against notices with old windows only', async () => {
		const {counter, writes, countIn, broadcast} = createFixture();
		for (const window of [1, 2, 3]) {
			countIn(window);
		}

		const flushed = counter.flush();
		countIn(4);
		writes[0]!.fail();
		await flushed;
		assert.equal(broadcast(), [[2, {tenant: 1}], [3, {tenant: 1}], [4, {tenant: 1}]]);
	});
});

describe('usage counts at the end of the process', () => {
	it('are given up after the limit when the store does not answer; guards against a stop that outlasts its grace time', async () => {
		const {counter, writes, countIn} = createFixture();
		countIn(1);
		void counter.flush();
		countIn(1);
		const startMs = performance.now();
		await counter.finish(100);
		assert.ok(performance.now() - startMs < 1000);
		assert.is(writes.length, 1);
	});

	it('are written after a write that is running; guards against older counts that take effect last', async () => {
		const {counter, writes, countIn} = createFixture();
		countIn(1);
		void counter.flush();
		countIn(1);
		const finished = counter.finish(1000);
		await Promise.resolve();
		assert.is(writes.length, 1);
		writes[0]!.succeed();
		await waitUntil(() => writes.length === 2, {what: 'the last write'});
		writes[1]!.succeed();
		await finished;
		assert.equal(JSON.parse(writes[1]!.rows[0]!.value!), {tenant: 2});
	});
});
