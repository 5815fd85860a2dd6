import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {roundLevels} from '../plot.js';

describe('levels of an axis', () => {
	it('are round and reach the highest value; guards against labels such as 7.7 that no reader can use', () => {
		assert.equal(roundLevels(14.6), [0, 5, 10, 15]);
		assert.equal(roundLevels(2.9), [0, 1, 2, 3]);
		assert.equal(roundLevels(31), [0, 10, 20, 30, 40]);
	});
});
