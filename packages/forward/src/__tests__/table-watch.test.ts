import {setTimeout as sleep} from 'node:timers/promises';
import {brandAs, type StoreGeneration} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {RowStore, StoreAnswer} from '../ports.js';
import {watchTable} from '../table-watch.js';

const runMs = 600;
/** One call in 75 ms. */
const maxCalls = 8;

const firstGeneration = brandAs<StoreGeneration>(0);
const answer: StoreAnswer = {
	rows: [], version: 1, storeNowMs: 0, generation: firstGeneration,
};

/** Counts the watch calls to a store that answers each of them at once. */
const countCalls = async (watchResult: StoreAnswer | undefined): Promise<number> => {
	let calls = 0;
	const rows: RowStore = {
		read: async () => answer,
		async watch() {
			calls += 1;
			return watchResult;
		},
		write: async () => undefined,
	};
	const controller = new AbortController();
	const watching = watchTable({
		table: 'config', rows, clock: {nowMs: () => performance.now()}, waitMs: () => 3000, answerMs: 900, pauseMs: () => 0, onAnswer() {/* Not checked. */}, onAvailability() {/* Not checked. */},
	}, controller.signal);
	await sleep(runMs);
	controller.abort();
	await watching;
	return calls;
};

describe('following a table', () => {
	it('pauses after an answer without rows; guards against a tight loop of calls to a store that does not wait', async () => {
		const calls = await countCalls(answer);
		assert.ok(calls > 0 && calls <= maxCalls, `${calls} calls`);
	});

	it('pauses when the store has lost its history; guards against a tight loop of snapshot reads', async () => {
		const calls = await countCalls(undefined);
		assert.ok(calls > 0 && calls <= maxCalls, `${calls} calls`);
	});
});
