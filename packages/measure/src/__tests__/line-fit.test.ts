import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {fitLine, splitRequestCost} from '../line-fit.js';

describe('slopes', () => {
	it('finds base and slope; guards against a fixed cost that is charged to each one', () => {
		assert.equal(fitLine([{size: 10, value: 70}, {size: 20, value: 90}, {size: 30, value: 110}]), {slope: 2, base: 50});
	});

	it('rejects a single size; guards against an average that is reported as a slope', () => {
		assert.throws(() => fitLine([{size: 10, value: 70}, {size: 10, value: 90}]), /two different sizes/);
		assert.throws(() => fitLine([]), /two different sizes/);
	});

	it('splits the cost of requests; guards against tokens that are charged to requests', () => {
		const {perRequestMs, perTokenMs} = splitRequestCost([
			{tokensPerRequest: 8, cpuMsPerRequest: 1.8}, {tokensPerRequest: 64, cpuMsPerRequest: 7.4},
		]);
		assert.ok(Math.abs(perTokenMs - 0.1) < 1e-9);
		assert.ok(Math.abs(perRequestMs - 1) < 1e-9);
	});
});
