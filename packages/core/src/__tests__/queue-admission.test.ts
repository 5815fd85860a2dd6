import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	addRateSample, decideQueueing, estimateWork, initialRates, usableSlots, type QueueView,
} from '../index.js';

const sample = {
	promptCharacters: 400, promptTokens: 100, cachedTokens: 0, outputTokens: 50, prefillMs: 100, step: {running: 4, stepMs: 40},
};
const rates = addRateSample(initialRates, sample);
const view: QueueView = {
	role: 'mixed', running: 4, maxRunning: 4, hasSpareCapacity: true, waiting: 1, ahead: {requests: 1, promptTokens: 100}, rates,
};
const own = {prefillTokens: 100, decodeTokens: 50};
// A step of 40 ms for 4 requests and 256 tokens of prompt at 1,000 tokens/s take 296 ms together; a quarter of one and
// 200 tokens of prompt take 305.25 ms, two places of four at 50 tokens of 40 ms take 1,000 ms; 100 prompt tokens allow 12.5 ms.
const expectedMs = 1292.75;

describe('first token estimate', () => {
	// Guards against requests that are held although their first token will be late.
	it('refuses a late first token with the time by which it is late', () => {
		assert.equal(decideQueueing(view, own, 1000), {accepted: false, retryAfterMs: Math.round(expectedMs - 1000)});
		assert.equal(decideQueueing(view, own, 1300), {accepted: true});
	});

	// Guards against a queue without bound, also when the rates are not yet measured.
	it('refuses beyond the bound on waiting tokens', () => {
		const full = {...view, hasSpareCapacity: false};
		assert.equal(decideQueueing({...full, rates: initialRates}, own, 60_000), {accepted: false, retryAfterMs: 1000});
		const refusal = decideQueueing(full, own, 60_000);
		assert.ok(!refusal.accepted && refusal.retryAfterMs > 0);
	});

	// Guards against an idle engine that takes no long request because of a bad measurement.
	it('takes any request while a place is free and nothing waits', () => {
		const idle = {
			...view, running: 0, waiting: 0, ahead: {requests: 0, promptTokens: 0},
		};
		assert.equal(decideQueueing(idle, {prefillTokens: 9_000_000, decodeTokens: 1}, 1), {accepted: true});
	});

	// Guards against a batch that grows until its requests miss the pace, and against an engine that is given no work.
	it('gives an engine as many requests as keep the pace', () => {
		let measured = initialRates;
		for (const running of [1, 2, 4, 8]) {
			measured = addRateSample(measured, {...sample, step: {running, stepMs: 30 + (6 * running)}});
		}

		assert.is(usableSlots({role: 'mixed', maxRunning: 16, rates: measured}), 6);
		assert.is(usableSlots({role: 'prefill', maxRunning: 16, rates: measured}), 16);
		const slow = addRateSample(initialRates, {...sample, step: {running: 1, stepMs: 90}});
		assert.is(usableSlots({role: 'mixed', maxRunning: 16, rates: slow}), 16);
	});

	// Guards against estimates that ignore a shift of the token mix.
	it('follows the measured lengths', () => {
		let shifted = rates;
		for (let index = 0; index < 60; index += 1) {
			shifted = addRateSample(shifted, {
				promptCharacters: 400, promptTokens: 200, cachedTokens: 0, outputTokens: 10, prefillMs: 100,
			});
		}

		assert.equal(estimateWork(shifted, 400, 1000), {prefillTokens: 200, decodeTokens: 11});
	});
});
