import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	countUsageParts,
	isWindowDue,
	lateCheckAgesInWindows,
	nextWindowStartMs,
	parseUsageObjectKey,
	shardOfAccount,
	selectUncountedStates,
	usageGraceMs,
	usageShardCount,
	lateCheckWindowStarts,
	type CountedParts,
} from '../index.js';

const accounts = Array.from({length: 12}, (_, index) => `account-${index}`);

const partOf = (key: string, sequence: number) => ({
	key,
	sequence,
	figures: accounts.map((clientAccount, index) => ({
		clientAccount, promptTokens: sequence * (index + 1), outputTokens: sequence, serviceCalls: 0,
	})),
});

const totalOf = (sequences: readonly number[]): number =>
	sequences.reduce((sum, sequence) => sum + sequence, 0) * accounts.reduce((sum, _, index) => sum + index + 1, 0);

describe('usage ledger', () => {
	it('counts the newest state of each part once, for any order in which states are read; guards against lost and double billing', () => {
		const listing = fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.integer({min: 1, max: 9}));
		fc.assert(fc.property(fc.array(listing, {maxLength: 6}), listings => {
			const highest = new Map<string, number>();
			let billed = 0;
			for (let shard = 0; shard < usageShardCount; shard++) {
				let counted: CountedParts = {};
				for (const states of listings) {
					const count = countUsageParts(counted, Object.entries(states).map(([key, sequence]) => partOf(key, sequence)), shard);
					billed += count.added.reduce((sum, figure) => sum + figure.promptTokens, 0);
					counted = count.counted;
				}

				for (const [key, {sequence}] of Object.entries(counted)) {
					highest.set(key, Math.max(sequence, highest.get(key) ?? 0));
				}
			}

			const expected = new Map<string, number>();
			for (const [key, sequence] of listings.flatMap(states => Object.entries(states))) {
				expected.set(key, Math.max(sequence, expected.get(key) ?? 0));
			}

			assert.equal(highest, expected);
			assert.is(billed, totalOf([...expected.values()]));
		}), {seed: 18});
	});

	it('reads only the newest state of each part, and none that is counted; guards against reading a state for every flush', () => {
		const objectKeys = ['usage/0/e/i/9', 'usage/0/e/i/10', 'usage/0/e/j/3', 'usage/0/f/i/2', 'usage/0/f/i', 'usage/0/f/i/x'];
		const states = objectKeys.map(key => parseUsageObjectKey(key)).filter(state => state !== undefined);
		const read = selectUncountedStates({'usage/0/e/j': {sequence: 3, figures: []}}, states);
		assert.equal(read.map(({objectKey}) => objectKey), ['usage/0/e/i/10', 'usage/0/f/i/2']);
	});

	it('uses every shard and assigns each account to one; guards against accounts that no reporter bills', () => {
		const shards = new Set(accounts.map(account => shardOfAccount(account)));
		assert.equal([...shards].toSorted((a, b) => a - b), Array.from({length: usageShardCount}, (_, shard) => shard));
	});

	it('checks each window for late usage at fixed ages; guards against windows that are never checked again', () => {
		const listings = Array.from({length: 1025}, (_, index) => lateCheckWindowStarts(index * 1000, 1000)).flat();
		assert.is(listings.filter(startMs => startMs === 0).length, lateCheckAgesInWindows.length);
		assert.is(nextWindowStartMs(2000, 1000), 3000);
		assert.equal([isWindowDue(0, 1000, 999 + usageGraceMs), isWindowDue(0, 1000, 1000 + usageGraceMs)], [false, true]);
	});
});
