import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	LeaseHolder, defaultLeaseDurations, LeaseTaker, parseLeaseRow,
} from '../index.js';

describe('lease times', () => {
	it('stop the holder a margin before expiry, counted from when the request was sent', () => {
		const clock = createManualClock(100);
		const holder = new LeaseHolder(defaultLeaseDurations, clock.nowMs());
		clock.advance(7499);
		assert.ok(holder.isHeld(clock.nowMs()));
		clock.advance(1);
		assert.not.ok(holder.isHeld(clock.nowMs()));
		holder.recordRenewal(3100, clock.nowMs());
		assert.not.ok(holder.isHeld(clock.nowMs()), 'an expired lease became valid again');
	});

	it('count a renewal from when its request was sent', () => {
		const holder = new LeaseHolder(defaultLeaseDurations, 100);
		holder.recordRenewal(3100, 7000);
		assert.equal([holder.stopAtMs, holder.renewAtMs], [10_600, 6100]);
	});

	it('do not move back when an older renewal is confirmed late', () => {
		const holder = new LeaseHolder(defaultLeaseDurations, 5000);
		holder.recordRenewal(2000, 5100);
		assert.is(holder.stopAtMs, 12_500);
	});

	it('let another process take the lease at once only without a row or after a release', () => {
		const observations = [{version: null, released: false}, {version: 4, released: true}, {version: 4, released: false}];
		const results = observations.map(observation => new LeaseTaker(defaultLeaseDurations).observe(observation, 50));
		assert.equal(results, [true, true, false]);
	});

	it('make another process wait anew after each change of the version', () => {
		const taker = new LeaseTaker(defaultLeaseDurations);
		const observe = (version: number, atMs: number): boolean => taker.observe({version, released: false}, atMs);
		assert.equal([observe(1, 0), observe(1, 8999), observe(2, 9000), observe(2, 17_999), observe(2, 18_000)], [false, false, false, false, true]);
	});

	it('never let another process take a lease that is still held, however long requests and answers take', () => {
		const duration = fc.nat({max: 5000});
		fc.assert(fc.property(duration, duration, fc.array(duration, {maxLength: 20}), (requestMs, answerMs, pollGaps) => {
			const holder = new LeaseHolder(defaultLeaseDurations, 0);
			const taker = new LeaseTaker(defaultLeaseDurations);
			let nowMs = requestMs + answerMs;
			for (const gapMs of [0, ...pollGaps]) {
				nowMs += gapMs;
				const mayTake = taker.observe({version: 1, released: false}, nowMs);
				assert.not.ok(mayTake && holder.isHeld(nowMs));
			}
		}), {seed: 17});
	});

	it('reject malformed rows', () => {
		assert.is(parseLeaseRow({holder: 'e1'}), undefined);
		assert.is(parseLeaseRow(null), undefined);
	});
});
