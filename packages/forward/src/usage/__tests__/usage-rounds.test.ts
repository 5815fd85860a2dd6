import {createSeededRandom, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {UsageCounts} from '../../ports.js';
import {usageRowKey} from '../usage-counter.js';
import {
	isWriterIn, ownWriteDelayMs, relayedRows, roundMs,
} from '../usage-rounds.js';
import {sumWindow} from '../usage-sums.js';

const rowKey = (owner: string): string => usageRowKey(7, owner);
const unexpected = (key: string): void => {
	throw new Error(`${key} counts as damaged`);
};

describe('rounds of writes of usage counts', () => {
	for (const count of [9, 20, 24, 68]) {
		it(`have two writers among ${count} entries, and each entry has its turn; guards against counts that nobody writes`, () => {
			const turns = new Map<number, number>();
			for (let round = 0; round < count; round += 1) {
				const writers = Array.from({length: count}, (_, index) => index).filter(index => isWriterIn(round, {index, count}));
				assert.is(writers.length, 2);
				for (const writer of writers) {
					turns.set(writer, (turns.get(writer) ?? 0) + 1);
				}
			}

			assert.is(turns.size, count);
		});
	}

	it('write sooner than entries that write for themselves, also if a third of them does not reach the store; guards against usage lost with all entries', () => {
		const random = createSeededRandom(1);
		const count = 24;
		const cutOff = new Set(Array.from({length: count}, (_, index) => index).filter(() => random() < 0.33));
		let gap = 0;
		let longestGap = 0;
		for (let round = 0; round < 500; round += 1) {
			const isWritten = [...Array.from({length: count}).keys()].some(index => isWriterIn(round, {index, count}) && !cutOff.has(index));
			gap = isWritten ? 0 : gap + 1;
			longestGap = Math.max(longestGap, gap);
		}

		assert.ok((longestGap + 1) * roundMs <= count * 150 * 2, `${longestGap} rounds`);
	});
});

describe('counts that an entry writes for others', () => {
	it('are added once, whoever wrote them and however old; guards against requests that are counted twice or lost', () => {
		const rows = [
			{key: rowKey('a'), version: 1, value: JSON.stringify({x: 5})},
			...relayedRows('b', new Map<string, UsageCounts>([['a', {x: 4}], ['c', {x: 2, y: 1}]]), rowKey).map(row => ({...row, version: 2})),
			...relayedRows('d', new Map([['a', {x: 6}], ['c', {x: 1}]]), rowKey).map(row => ({...row, version: 3})),
		];
		assert.equal(sumWindow(new Map([['b', {x: 10}]]), rows, unexpected), {x: 18, y: 1});
	});

	it('fit into rows; guards against a write that the store rejects', () => {
		const counts = new Map(Array.from({length: 300}, (_, index) => [`entry-${index}/id`, Object.fromEntries(Array.from({length: 30}, (_, account) => [`account-${account}`, 1000]))]));
		const rows = relayedRows('w', counts, rowKey);
		assert.ok(rows.length > 1);
		assert.ok(rows.every(({value}) => value.length < 48_000));
		assert.is(new Set(rows.map(({key}) => key)).size, rows.length);
		assert.equal(sumWindow(new Map(), rows.map(row => ({...row, version: 1})), unexpected)['account-0'], 300_000);
	});
});

describe('the own counts of a window', () => {
	it('are written at different moments and before its report is due; guards against windows that lack an entry which no peer hears', () => {
		const delaysMs = Array.from({length: 24}, (_, index) => ownWriteDelayMs({index, count: 24}));
		assert.is(new Set(delaysMs).size, 24);
		assert.ok(Math.max(...delaysMs) + (roundMs / 5) < 2000);
	});
});
