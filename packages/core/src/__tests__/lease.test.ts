import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	brandAs, firstEpochOf, firstGeneration, generationOfEpoch, LeaseHolder, defaultLeaseDurations, LeaseTaker, nextEpoch, parseLeaseRow, type LeaseEpoch, type StoreGeneration,
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

const generationOf = (count: number): StoreGeneration => brandAs<StoreGeneration>(count);

describe('epochs of a lease', () => {
	it('rise by one while the store never returns from a copy; guards against a change for tables without generations', () => {
		const first = nextEpoch(undefined, firstGeneration);
		const second = nextEpoch(first, firstGeneration);
		assert.equal([first, second, nextEpoch(second, firstGeneration)], [1, 2, 3]);
		assert.is(generationOfEpoch(second), firstGeneration);
	});

	// Guards against a fencing token that two holders use, because a return undid the takeover of the first one.
	it('are given out once and in rising order; guards against a token of two holders after a return to an older row', () => {
		const step = fc.oneof(fc.constant('takeover' as const), fc.record({backBy: fc.nat({max: 5}), returns: fc.integer({min: 1, max: 3})}));
		fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
			// The row after each write that the store still has.
			let rows: Array<LeaseEpoch | undefined> = [undefined];
			let generation = firstGeneration;
			const given: LeaseEpoch[] = [];
			for (const current of steps) {
				if (current === 'takeover') {
					const epoch = nextEpoch(rows.at(-1), generation);
					rows.push(epoch);
					given.push(epoch);
					assert.is(generationOfEpoch(epoch), generation);
				} else {
					rows = rows.slice(0, Math.max(1, rows.length - current.backBy));
					generation = generationOf(generation + current.returns);
				}
			}

			assert.equal(given, [...new Set(given)].toSorted((a, b) => a - b));
		}), {seed: 32});
	});

	it('begin above all of the older generation; guards against a later holder whose token is refused', () => {
		const lost = nextEpoch(undefined, generationOf(3));
		const older = brandAs<LeaseEpoch>(7);
		assert.ok(nextEpoch(older, generationOf(4)) > lost);
		assert.is(nextEpoch(older, generationOf(4)), firstEpochOf(generationOf(4)));
	});
});
