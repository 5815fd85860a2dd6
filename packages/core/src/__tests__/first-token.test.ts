import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	addSample, decideQueueing, estimateWork, initialRates, type QueueView,
} from '../index.js';

const rates = addSample(initialRates, {
	promptCharacters: 400, promptTokens: 100, cachedTokens: 0, outputTokens: 50, prefillMs: 100, decodeMs: 500,
});
const view: QueueView = {
	running: 4, maxRunning: 4, waitingTokens: 150, maxWaitingTokens: 1000, waiting: {prefillTokens: 100, decodeTokens: 50}, rates,
};
const own = {prefillTokens: 100, decodeTokens: 50};

describe('first token estimate', () => {
	// Guards against requests that are held although their first token will be late.
	it('refuses a late first token with the time by which it is late', () => {
		assert.equal(decideQueueing(view, own, 1000), {accepted: false, retryAfterMs: 200});
		assert.equal(decideQueueing(view, own, 1200), {accepted: true});
	});

	// Guards against a queue without bound when the rates are not yet measured.
	it('refuses beyond the bound on waiting tokens', () => {
		assert.equal(
			decideQueueing({...view, maxWaitingTokens: 200, rates: initialRates}, own, 60_000),
			{accepted: false, retryAfterMs: 1000},
		);
	});

	// Guards against an idle engine that takes no long request because of a bad measurement.
	it('takes any request while a place is free and nothing waits', () => {
		const idle = {...view, running: 0, waitingTokens: 0};
		assert.equal(decideQueueing(idle, {prefillTokens: 9_000_000, decodeTokens: 1}, 1), {accepted: true});
	});

	// Guards against estimates that ignore a shift of the token mix.
	it('follows the measured lengths', () => {
		let shifted = rates;
		for (let index = 0; index < 60; index += 1) {
			shifted = addSample(shifted, {
				promptCharacters: 400, promptTokens: 200, cachedTokens: 0, outputTokens: 10, prefillMs: 100, decodeMs: 100,
			});
		}

		assert.equal(estimateWork(shifted, 400, 1000), {prefillTokens: 200, decodeTokens: 11});
	});
});
