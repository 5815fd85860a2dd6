import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {AccountShares, DemandMeter, divideCapacity} from '../index.js';

describe('divideCapacity', () => {
	it('guards against an account cut below its share, and against capacity that is left or invented', () => {
		const demand = fc.record({weight: fc.integer({min: 1, max: 9}), work: fc.integer({min: 0, max: 100})});
		fc.assert(fc.property(fc.array(demand, {minLength: 1, maxLength: 8}), fc.nat(500), (demands, capacity) => {
			const shares = divideCapacity(demands, capacity);
			const asked = demands.reduce((sum, {work}) => sum + work, 0);
			const weights = demands.reduce((sum, {weight}) => sum + weight, 0);
			const given = shares.reduce((sum, share) => sum + share, 0);
			assert.ok(Math.abs(given - Math.min(asked, capacity)) < 1e-6);
			for (const [index, {weight, work}] of demands.entries()) {
				assert.ok(shares[index]! >= Math.min(work, capacity * weight / weights) - 1e-6);
			}
		}), {seed: 16});
	});
});

describe('AccountShares', () => {
	const offer = (largePerSecond: number, servable: number) => {
		const shares = new AccountShares();
		const clock = createManualClock();
		for (let second = 0; second < 20; second++) {
			for (let count = 0; count < largePerSecond; count++) {
				shares.recordRequest('large', 1, 1, clock.nowMs());
			}

			shares.recordRequest('small', 1, 1, clock.nowMs());
			clock.advance(1000);
		}

		return (account: string) => shares.admittedFraction(account, () => servable, clock.nowMs());
	};

	it('guards against a burst that makes a small account be refused', () => {
		const part = offer(20, 0.5);
		assert.is(part('small'), 1);
		assert.ok(part('large') < 0.6, String(part('large')));
	});

	it('guards against holding anybody back while the fleet can serve everybody', () => {
		assert.is(offer(20, 1)('large'), 1);
	});

	it('guards against holding back an account without recent requests', () => {
		assert.is(offer(20, 0.5)('other'), 1);
	});
});

describe('DemandMeter', () => {
	it('guards against a demand that counts old requests, one entry only or the whole token limit', () => {
		const meter = new DemandMeter({windowMs: 10_000, entries: 3});
		const clock = createManualClock();
		meter.recordRequest(100_000, 100_000, clock.nowMs());
		for (let second = 0; second < 20; second++) {
			clock.advance(1000);
			meter.recordRequest(100, 50, clock.nowMs());
		}

		assert.equal(meter.measure(clock.nowMs()), {promptTokensPerSecond: 300, outputTokensPerSecond: 75});
	});

	it('guards against planning for prompt tokens that are in a cache', () => {
		const meter = new DemandMeter({windowMs: 10_000, entries: 1});
		for (let count = 0; count < 500; count++) {
			meter.recordAnswer({
				promptTokens: 1000, cachedTokens: 600, outputTokens: 10, maxTokens: 20,
			});
		}

		assert.ok(Math.abs(meter.estimateUncachedTokens(1000) - 400) < 1);
	});
});
