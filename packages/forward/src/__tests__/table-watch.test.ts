import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {RowStore, StoreAnswer} from '../ports.js';
import {watchTable} from '../table-watch.js';

const runMs = 600;
/** One call in a twelfth of a second. */
const maxCalls = 8;

const answer: StoreAnswer = {rows: [], version: 1, storeNowMs: 0};

/** Counts the waiting calls while the store answers each at once. */
const countCalls = async (found: StoreAnswer | undefined): Promise<number> => {
	let calls = 0;
	const rows: RowStore = {
		read: async () => answer,
		async watch() {
			calls += 1;
			return found;
		},
		write: async () => undefined,
	};
	const controller = new AbortController();
	const watching = watchTable({
		table: 'config', rows, clock: {nowMs: () => performance.now()}, waitMs: 3000, pauseMs: 0, onAnswer() {/* Not looked at. */}, onAvailability() {/* Not looked at. */},
	}, controller.signal);
	await sleep(runMs);
	controller.abort();
	await watching;
	return calls;
};

describe('the watch of a table', () => {
	it('pauses after an answer without rows; guards against calls in a loop to a store that does not wait', async () => {
		const calls = await countCalls(answer);
		assert.ok(calls > 0 && calls <= maxCalls, `${calls} calls`);
	});

	it('pauses after a lost history; guards against a loop of reads while the store forgets at once', async () => {
		const calls = await countCalls(undefined);
		assert.ok(calls > 0 && calls <= maxCalls, `${calls} calls`);
	});
});
