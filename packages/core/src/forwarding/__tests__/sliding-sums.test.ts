import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {SlidingSums} from '../sliding-sums.js';

const createSums = (): SlidingSums<'a' | 'b'> => new SlidingSums({windowMs: 1000, buckets: 10, names: ['a', 'b']});

describe('sums over a sliding window', () => {
	it('leave out what is older than the window; guards against demand that is counted for ever', () => {
		const sums = createSums();
		sums.add(0, {a: 1, b: 2});
		sums.add(950, {a: 3});
		assert.equal(sums.totals(999), {a: 4, b: 2});
		assert.equal(sums.totals(1000), {a: 3, b: 0});
		assert.equal(sums.totals(1950), {a: 0, b: 0});
	});

	it('take amounts back only while their bucket stands; guards against a later one that is lowered for an earlier one', () => {
		const sums = createSums();
		const takeBack = sums.add(0, {a: 2});
		takeBack({a: 1});
		assert.is(sums.totals(0).a, 1);
		sums.add(1010, {a: 5});
		takeBack({a: 1});
		assert.is(sums.totals(1010).a, 5);
	});
});
