import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {OutputLengthDistribution} from '../output-length-distribution.js';

const limitMs = 8000;
/** Medians of ten equally probable intervals of the standard normal distribution. */
const normalDeviates = [-1.64, -1.04, -0.67, -0.39, -0.13, 0.13, 0.39, 0.67, 1.04, 1.64];
/** Each length is combined with each error. */
const lengths = normalDeviates.map(value => 300 * Math.exp(0.7 * value));
const errors = normalDeviates.map(value => Math.exp(0.5 * value));
/** Length that 5 % of the answers exceed. */
const longestTokens = 300 * Math.exp(0.7 * 1.64);

const createDistribution = (hasCompleted: boolean): OutputLengthDistribution => {
	const distribution = new OutputLengthDistribution();
	for (const tokens of lengths) {
		for (const error of errors) {
			distribution.recordRequested({guessedTokens: tokens * error, limitMs}, 0);
			if (hasCompleted) {
				distribution.recordCompleted(tokens * error, tokens);
			}
		}
	}

	return distribution;
};

// Guards against too few completed long answers: engines reserved capacity for answers longer than any real one.
describe('distribution of output lengths that callers guess', () => {
	it('has the variance of the actual lengths, not of the guesses; guards against a load limit for answers longer than any real one', () => {
		const longest = createDistribution(true).tokensExceededBy(0.05);
		assert.ok(Math.abs((longest / longestTokens) - 1) < 0.1, `${longest} of ${longestTokens}`);
		assert.ok(createDistribution(false).tokensExceededBy(0.05) > longestTokens * 1.1);
	});

	it('expects lengths closer to the median than the guesses, in the same order', () => {
		const distribution = createDistribution(true);
		const expected = [50, 500, 2000].map(guess => distribution.expectedTokens(guess));
		assert.ok(expected[0]! > 50 && expected[2]! < 2000, expected.join(' '));
		assert.equal(expected, expected.toSorted((a, b) => a - b));
	});

	it('uses the guesses unchanged until answers have completed', () => {
		assert.ok(Math.abs(createDistribution(false).expectedTokens(500) - 500) < 1);
	});
});
