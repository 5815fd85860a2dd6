import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {TokensPerEvent} from '../tokens-per-event.js';

describe('tokens per event', () => {
	it('are estimated by the median of inaccurate guesses; guards against one high guess that makes an engine look fast', () => {
		const estimator = new TokensPerEvent();
		for (const error of [0.3, 0.5, 0.8, 1, 1.3, 2, 20]) {
			estimator.recordStream(195 * error, 20);
		}

		assert.ok(Math.abs(estimator.estimateTokens(20) - 200) < 1, `${estimator.estimateTokens(20)}`);
	});

	it('are not estimated from few streams, nor from short ones, whose last event is not full', () => {
		const estimator = new TokensPerEvent();
		for (let answer = 0; answer < 4; answer += 1) {
			estimator.recordStream(195, 20);
		}

		for (let answer = 0; answer < 50; answer += 1) {
			estimator.recordStream(12, 2);
		}

		assert.not(estimator.hasEnoughSamples);
		estimator.recordStream(195, 20);
		assert.ok(estimator.hasEnoughSamples);
	});
});
