import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	countUsageParts, isWindowDue, lateCheckAgesInWindows, nextWindowStartMs, parseUsageObjectKey, shardOfAccount, selectUncountedStates, usageGraceMs, usageShardCount, lateCheckWindowStarts, type CountedParts,
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
	it('counts the newest state of each part once, in whatever order states are seen; guards against lost and double billing', () => {
		const look = fc.dictionary(fc.constantFrom('a', 'b', 'c'), fc.integer({min: 1, max: 9}));
		fc.assert(fc.property(fc.array(look, {maxLength: 6}), looks => {
			const highest = new Map<string, number>();
			let billed = 0;
			for (let shard = 0; shard < usageShardCount; shard++) {
				let counted: CountedParts = {};
				for (const states of looks) {
					const count = countUsageParts(counted, Object.entries(states).map(([key, sequence]) => partOf(key, sequence)), shard);
					billed += count.added.reduce((sum, figure) => sum + figure.promptTokens, 0);
					counted = count.counted;
				}

				for (const [key, {sequence}] of Object.entries(counted)) {
					highest.set(key, Math.max(sequence, highest.get(key) ?? 0));
				}
			}

			const wanted = new Map<string, number>();
			for (const [key, sequence] of looks.flatMap(states => Object.entries(states))) {
				wanted.set(key, Math.max(sequence, wanted.get(key) ?? 0));
			}

			assert.equal(highest, wanted);
			assert.is(billed, totalOf([...wanted.values()]));
		}), {seed: 18});
	});

	it('reads the newest state of each part, and none that is counted; guards against reads of each state of each flush', () => {
		const objectKeys = ['usage/0/e/i/9', 'usage/0/e/i/10', 'usage/0/e/j/3', 'usage/0/f/i/2', 'usage/0/f/i', 'usage/0/f/i/x'];
		const states = objectKeys.map(key => parseUsageObjectKey(key)).filter(state => state !== undefined);
		const read = selectUncountedStates({'usage/0/e/j': {sequence: 3, figures: []}}, states);
		assert.equal(read.map(({objectKey}) => objectKey), ['usage/0/e/i/10', 'usage/0/f/i/2']);
	});

	it('gives every account one shard; guards against accounts that no reporter bills', () => {
		const shards = new Set(accounts.map(account => shardOfAccount(account)));
		assert.equal([...shards].toSorted((a, b) => a - b), Array.from({length: usageShardCount}, (_, shard) => shard));
	});

	it('looks at each window again at fixed ages; guards against windows that are never looked at again', () => {
		const looks = Array.from({length: 1025}, (_, index) => lateCheckWindowStarts(index * 1000, 1000)).flat();
		assert.is(looks.filter(startMs => startMs === 0).length, lateCheckAgesInWindows.length);
		assert.is(nextWindowStartMs(2000, 1000), 3000);
		assert.equal([isWindowDue(0, 1000, 999 + usageGraceMs), isWindowDue(0, 1000, 1000 + usageGraceMs)], [false, true]);
	});
});
