import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {TokensPerEvent} from '../tokens-per-event.js';

describe('the tokens of one event', () => {
	it('are told by the middle one of guesses that are far off; guards against one high guess that makes an engine look fast', () => {
		const tokens = new TokensPerEvent();
		for (const error of [0.3, 0.5, 0.8, 1, 1.3, 2, 20]) {
			tokens.recordStream(195 * error, 20);
		}

		assert.ok(Math.abs(tokens.estimateTokens(20) - 200) < 1, `${tokens.estimateTokens(20)}`);
	});

	it('are not known from a few answers, nor from short ones, whose last event is not full', () => {
		const tokens = new TokensPerEvent();
		for (let answer = 0; answer < 4; answer += 1) {
			tokens.recordStream(195, 20);
		}

		for (let answer = 0; answer < 50; answer += 1) {
			tokens.recordStream(12, 2);
		}

		assert.not(tokens.hasEnoughSamples);
		tokens.recordStream(195, 20);
		assert.ok(tokens.hasEnoughSamples);
	});
});
