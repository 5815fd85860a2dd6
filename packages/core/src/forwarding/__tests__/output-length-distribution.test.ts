import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {OutputLengthDistribution} from '../output-length-distribution.js';

const limitMs = 8000;
/** Middle values of ten equal parts of a normal distribution. */
const normal = [-1.64, -1.04, -0.67, -0.39, -0.13, 0.13, 0.39, 0.67, 1.04, 1.64];
/** Each error comes with each size. */
const sizes = normal.map(value => 300 * Math.exp(0.7 * value));
const errors = normal.map(value => Math.exp(0.5 * value));
/** The size that a twentieth of the answers exceeds. */
const largestTokens = 300 * Math.exp(0.7 * 1.64);

const createKind = (withEnded: boolean): OutputLengthDistribution => {
	const kind = new OutputLengthDistribution();
	for (const tokens of sizes) {
		for (const error of errors) {
			kind.recordRequested({guessedTokens: tokens * error, limitMs}, 0);
			if (withEnded) {
				kind.recordCompleted(tokens * error, tokens);
			}
		}
	}

	return kind;
};

// Guards against SHORT: engines were kept calm for answers larger than any is, while those that there are were not told apart.
describe('sizes of answers whose lengths are guessed', () => {
	it('spread as the answers do and not as the guesses; guards against a limit for answers larger than any is', () => {
		const largest = createKind(true).tokensExceededBy(0.05);
		assert.ok(Math.abs((largest / largestTokens) - 1) < 0.1, `${largest} of ${largestTokens}`);
		assert.ok(createKind(false).tokensExceededBy(0.05) > largestTokens * 1.1);
	});

	it('are expected nearer to the usual than guessed, the larger guess still larger', () => {
		const kind = createKind(true);
		const expected = [50, 500, 2000].map(guess => kind.expectedTokens(guess));
		assert.ok(expected[0]! > 50 && expected[2]! < 2000, expected.join(' '));
		assert.equal(expected, expected.toSorted((a, b) => a - b));
	});

	it('are taken as guessed until answers have ended', () => {
		assert.ok(Math.abs(createKind(false).expectedTokens(500) - 500) < 1);
	});
});
