import {setTimeout as sleep} from 'node:timers/promises';
import {brandAs, type StoreGeneration} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {RowStore, StoreAnswer} from '../../ports.js';
import {watchTable} from '../table-watch.js';

const runMs = 600;
/** One call in 75 ms. */
const maxCalls = 8;

const firstGeneration = brandAs<StoreGeneration>(0);
const answer: StoreAnswer = {
	rows: [], version: 1, storeNowMs: 0, bytes: 0, transferMs: 0, generation: firstGeneration,
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
		table: 'config',
		rows,
		clock: {nowMs: () => performance.now()},
		random: () => 0.5,
		waitMs: () => 3000,
		answerMs: 900,
		pauseMs: () => 0,
		onAnswer() {/* Not checked. */},
		onApplyError() {/* Not checked. */},
		onAvailability() {/* Not checked. */},
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

	// The exception counted as a failed call, so that the same snapshot was read again and again.
	it('goes on behind an answer that cannot be applied; guards against one damaged row that ends the following of a table', async () => {
		const seen: number[] = [];
		const errors: unknown[] = [];
		const availability: boolean[] = [];
		const controller = new AbortController();
		await watchTable({
			table: 'endpoints',
			rows: {
				read: async () => answer,
				watch: async (_table, {after}) => ({...answer, rows: [{key: 'e', version: after + 1, value: ''}], version: after + 1}),
				write: async () => undefined,
			},
			clock: {nowMs: () => performance.now()},
			random: () => 0.5,
			waitMs: () => 3000,
			answerMs: 900,
			pauseMs: () => 0,
			onAnswer({version}) {
				seen.push(version);
				if (version === 4) {
					controller.abort();
				}

				throw new Error('cannot be applied');
			},
			onApplyError(error) {
				errors.push(error);
			},
			onAvailability(isAvailable) {
				availability.push(isAvailable);
			},
		}, controller.signal);
		assert.equal(seen, [1, 2, 3, 4]);
		assert.is(errors.length, 4);
		assert.ok(availability.every(Boolean));
	});

	// The promise about age would depend on messages that no longer come.
	it('ends a long wait when much shorter ones are needed; guards against an entry that waits for its peers\' news after it has lost them', async () => {
		const waits: number[] = [];
		const failures: unknown[] = [];
		const controller = new AbortController();
		let hearsPeers = true;
		setTimeout(() => {
			hearsPeers = false;
		}, 100);
		await watchTable({
			table: 'config',
			rows: {
				read: async () => answer,
				async watch(_table, {waitMs}, signal) {
					waits.push(waitMs);
					if (!hearsPeers) {
						controller.abort();
					}

					return new Promise((_resolve, reject) => {
						signal.addEventListener('abort', () => {
							reject(new Error('ended'));
						}, {once: true});
						signal.throwIfAborted();
					});
				},
				write: async () => undefined,
			},
			clock: {nowMs: () => performance.now()},
			random: () => 0.5,
			waitMs: () => hearsPeers ? 16_000 : 1600,
			answerMs: 900,
			pauseMs: () => 0,
			onAnswer() {/* Not checked. */},
			onApplyError() {/* Not checked. */},
			onAvailability(isAvailable, error) {
				if (!isAvailable) {
					failures.push(error);
				}
			},
		}, controller.signal);
		assert.equal(waits, [16_000, 1600]);
		assert.equal(failures, []);
	});

	it('pauses when the store has lost its history; guards against a tight loop of snapshot reads', async () => {
		const calls = await countCalls(undefined);
		assert.ok(calls > 0 && calls <= maxCalls, `${calls} calls`);
	});

	// Each failed call led to a snapshot, which for a large configuration took longer than the next call was given.
	it('goes on behind the last version after a failed call, and does not wait then; guards against tables that are transferred again', async () => {
		const calls: string[] = [];
		const availability: boolean[] = [];
		const controller = new AbortController();
		let watches = 0;
		await watchTable({
			table: 'config',
			rows: {
				async read() {
					calls.push('read');
					return answer;
				},
				async watch(_table, {after, waitMs}) {
					calls.push(`watch after ${after}, ${waitMs} ms`);
					watches += 1;
					if (watches === 2 || watches === 3) {
						throw new Error('no answer');
					}

					if (watches === 6) {
						controller.abort();
					}

					return watches === 5 ? undefined : {...answer, rows: [{key: 'e', version: after + 1, value: ''}], version: after + 1};
				},
				write: async () => undefined,
			},
			clock: {nowMs: () => performance.now()},
			random: () => 0.5,
			waitMs: () => 3000,
			answerMs: 900,
			pauseMs: () => 0,
			onAnswer() {/* Not checked. */},
			onApplyError() {/* Not checked. */},
			onAvailability(isAvailable) {
				availability.push(isAvailable);
			},
		}, controller.signal);
		assert.equal(calls, [
			'read',
			'watch after 1, 3000 ms',
			'watch after 2, 3000 ms',
			'watch after 2, 0 ms',
			'watch after 2, 0 ms',
			'watch after 3, 3000 ms',
			'read',
			'watch after 1, 3000 ms',
		]);
		assert.equal(availability, [true, true, false, false, true, true, true, true]);
	});
});
