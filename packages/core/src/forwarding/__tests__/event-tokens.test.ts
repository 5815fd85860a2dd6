import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EventTokens} from '../event-tokens.js';

describe('the tokens of one event', () => {
	it('are told by the middle one of guesses that are far off; guards against one high guess that makes an engine look fast', () => {
		const tokens = new EventTokens();
		for (const error of [0.3, 0.5, 0.8, 1, 1.3, 2, 20]) {
			tokens.note(195 * error, 20);
		}

		assert.ok(Math.abs(tokens.tokensOf(20) - 200) < 1, `${tokens.tokensOf(20)}`);
	});

	it('are not known from a few answers, nor from short ones, whose last event is not full', () => {
		const tokens = new EventTokens();
		for (let answer = 0; answer < 4; answer += 1) {
			tokens.note(195, 20);
		}

		for (let answer = 0; answer < 50; answer += 1) {
			tokens.note(12, 2);
		}

		assert.not(tokens.isKnown);
		tokens.note(195, 20);
		assert.ok(tokens.isKnown);
	});
});
