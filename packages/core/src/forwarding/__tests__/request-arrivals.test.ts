import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {RequestArrivals} from '../request-arrivals.js';
import {RetryWindow} from '../retry-window.js';

const prefilled = {isPrefilled: true};
const other = {isPrefilled: false};
const split = {isSplit: true};
const direct = {isSplit: false};

describe('extra calls of a request', () => {
	it('are none for one accepted prefill and one attempt', () => {
		const arrivals = new RequestArrivals();
		assert.is(arrivals.extraCallsOf(split), 0);
		arrivals.record(prefilled);
		arrivals.record(other);
		assert.is(arrivals.extraCalls, 0);
	});

	it('are two when a split request is retried with a new prefill; guards against a repeated prefill that is not counted', () => {
		const arrivals = new RequestArrivals();
		arrivals.record(prefilled);
		arrivals.record(other);
		assert.is(arrivals.extraCallsOf(split), 2);
		assert.is(arrivals.extraCallsOf(direct), 1);
		arrivals.record(prefilled);
		arrivals.record(other);
		assert.is(arrivals.extraCalls, 2);
	});

	it('include a prefill that is repeated after a failed connection', () => {
		const arrivals = new RequestArrivals();
		arrivals.record(prefilled);
		assert.is(arrivals.extraCallsOf(split), 1);
		assert.is(arrivals.extraCallsOf(direct), 0);
	});

	it('include rejected prefills after the first call', () => {
		const arrivals = new RequestArrivals();
		arrivals.record(other);
		assert.is(arrivals.extraCalls, 0);
		assert.is(arrivals.extraCallsOf(split), 1);
		arrivals.record(other);
		assert.is(arrivals.extraCalls, 1);
	});
});

describe('retries during a crash of many decode engines', () => {
	const entries = 27;
	const requests = 2500;
	const limits = {ratio: 0.2, allowance: 94};

	it('stay within the limit on extra calls when each decode call reaches a crashed engine; guards against counting two calls as one', () => {
		const clock = createManualClock(100_000);
		const windows = Array.from({length: entries}, () => new RetryWindow(clock, {windowMs: 10_000, limits: () => limits, entries: () => entries}));
		clock.advance(10_000);
		let extraCalls = 0;
		for (let request = 0; request < requests; request += 1) {
			const window = windows[request % entries]!;
			const arrivals = new RequestArrivals();
			window.recordFirstCall();
			for (let attempt = 0; attempt < 4; attempt += 1) {
				const calls = arrivals.extraCallsOf(split);
				if (!window.reserve(calls)) {
					break;
				}

				arrivals.record(prefilled);
				arrivals.record(other);
			}

			extraCalls += arrivals.extraCalls;
		}

		assert.ok(extraCalls <= (requests * limits.ratio) + limits.allowance, `${extraCalls} extra calls`);
		assert.ok(extraCalls > requests * limits.ratio / 2, `${extraCalls} extra calls`);
	});

	it('return reserved calls that did not reach an endpoint, unless their interval has left the window', () => {
		const clock = createManualClock(100_000);
		const window = new RetryWindow(clock, {windowMs: 10_000, limits: () => ({ratio: 0, allowance: 10}), entries: () => 1});
		clock.advance(20_000);
		const unused = window.reserve(7);
		assert.is(window.reserve(1), undefined);
		unused!.release(7);
		const later = window.reserve(7);
		assert.ok(later);
		clock.advance(10_500);
		assert.ok(window.reserve(7));
		later.release(7);
		assert.is(window.reserve(1), undefined);
	});
});
