import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	addRateSample, decideQueueing, estimateWork, initialRates, agentSlots, type QueueView,
} from '../index.js';

const sample = {
	promptCharacters: 400, promptTokens: 100, cachedTokens: 0, outputTokens: 50, prefillMs: 100, step: {running: 4, stepMs: 40},
};
const rates = addRateSample(initialRates, sample);
const view: QueueView = {
	role: 'mixed', running: 4, maxRunning: 4, hasCapacity: true, waiting: 1, ahead: {requests: 1, promptTokens: 100}, rates,
};
const work = {prefillTokens: 100, decodeTokens: 50};
// A decode step of 4 requests (40 ms) with a prefill chunk of 256 tokens at 1,000 tokens/s takes 296 ms. The 200 prompt tokens
// take 305.25 ms, including the wait of a quarter step. Two of four slots become free after 1,000 ms, at 50 tokens of 40 ms
// each. The 100 prompt tokens raise the first-token limit by 12.5 ms.
const expectedMs = 1292.75;

describe('queue admission', () => {
	// Guards against requests that wait in the queue although their first token will be late.
	it('rejects a request whose first token would be late, with the delay as the retry time', () => {
		assert.equal(decideQueueing(view, work, 1000), {accepted: false, retryAfterMs: Math.round(expectedMs - 1000)});
		assert.equal(decideQueueing(view, work, 1300), {accepted: true});
	});

	// Guards against an unbounded queue, also before the rates are measured.
	it('rejects a request that exceeds the limit of waiting tokens', () => {
		const full = {...view, hasCapacity: false};
		assert.equal(decideQueueing({...full, rates: initialRates}, work, 60_000), {accepted: false, retryAfterMs: 1000});
		const refusal = decideQueueing(full, work, 60_000);
		assert.ok(!refusal.accepted && refusal.retryAfterMs > 0);
	});

	// Guards against an idle engine that rejects all long requests because of a wrong measurement.
	it('accepts any request while a slot is free and the queue is empty', () => {
		const idle = {
			...view, running: 0, waiting: 0, ahead: {requests: 0, promptTokens: 0},
		};
		assert.equal(decideQueueing(idle, {prefillTokens: 9_000_000, decodeTokens: 1}, 1), {accepted: true});
	});

	// Guards against a batch so large that its requests miss the target for the time per output token, and against an engine
	// that gets no work because it is too slow for the target.
	it('runs as many requests at once as the target for the time per output token allows', () => {
		let measured = initialRates;
		for (const running of [1, 2, 4, 8]) {
			measured = addRateSample(measured, {...sample, step: {running, stepMs: 30 + (6 * running)}});
		}

		assert.is(agentSlots({role: 'mixed', maxRunning: 16, rates: measured}), 6);
		assert.is(agentSlots({role: 'prefill', maxRunning: 16, rates: measured}), 16);
		const slow = addRateSample(initialRates, {...sample, step: {running: 1, stepMs: 90}});
		assert.is(agentSlots({role: 'mixed', maxRunning: 16, rates: slow}), 16);
	});

	// Guards against estimates that do not follow a shift of the token mix.
	it('adapts the work estimate to the measured lengths', () => {
		let shifted = rates;
		for (let index = 0; index < 60; index += 1) {
			shifted = addRateSample(shifted, {
				promptCharacters: 400, promptTokens: 200, cachedTokens: 0, outputTokens: 10, prefillMs: 100,
			});
		}

		assert.equal(estimateWork(shifted, 400, 1000), {prefillTokens: 200, decodeTokens: 11});
	});
});
