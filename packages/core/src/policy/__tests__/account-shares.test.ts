import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {AccountShares, DemandMeter, divideCapacity} from '../index.js';

describe('divideCapacity', () => {
	it('guards against an account below its share, and against shares whose sum differs from the usable capacity', () => {
		const demand = fc.record({weight: fc.integer({min: 1, max: 9}), work: fc.integer({min: 0, max: 100})});
		fc.assert(fc.property(fc.array(demand, {minLength: 1, maxLength: 8}), fc.nat(500), (demands, capacity) => {
			const shares = divideCapacity(demands, capacity);
			const requested = demands.reduce((sum, {work}) => sum + work, 0);
			const weights = demands.reduce((sum, {weight}) => sum + weight, 0);
			const assigned = shares.reduce((sum, share) => sum + share, 0);
			assert.ok(Math.abs(assigned - Math.min(requested, capacity)) < 1e-6);
			for (const [index, {weight, work}] of demands.entries()) {
				assert.ok(shares[index]! >= Math.min(work, capacity * weight / weights) - 1e-6);
			}
		}), {seed: 16});
	});
});

describe('AccountShares', () => {
	const createLoad = (largePerSecond: number, servableFraction: number) => {
		const shares = new AccountShares();
		const clock = createManualClock();
		for (let second = 0; second < 20; second++) {
			for (let count = 0; count < largePerSecond; count++) {
				shares.recordRequest('large', 1, 1, clock.nowMs());
			}

			shares.recordRequest('small', 1, 1, clock.nowMs());
			clock.advance(1000);
		}

		return (account: string) => shares.admittedFraction(account, () => servableFraction, clock.nowMs());
	};

	it('guards against rejecting a small account because of the burst of a large one', () => {
		const fraction = createLoad(20, 0.5);
		assert.is(fraction('small'), 1);
		assert.ok(fraction('large') < 0.6, String(fraction('large')));
	});

	it('guards against limiting an account while the fleet can serve all requests', () => {
		assert.is(createLoad(20, 1)('large'), 1);
	});

	it('guards against limiting an account without recent requests', () => {
		assert.is(createLoad(20, 0.5)('other'), 1);
	});
});

describe('DemandMeter', () => {
	it('guards against a demand that includes old requests, only one entry or the whole token limits', () => {
		const meter = new DemandMeter({windowMs: 10_000, entries: 3});
		const clock = createManualClock();
		meter.recordRequest(100_000, 100_000, clock.nowMs());
		for (let second = 0; second < 20; second++) {
			clock.advance(1000);
			meter.recordRequest(100, 50, clock.nowMs());
		}

		assert.equal(meter.measure(clock.nowMs()), {promptTokensPerSecond: 300, outputTokensPerSecond: 75});
	});

	it('guards against a demand that includes cached prompt tokens', () => {
		const meter = new DemandMeter({windowMs: 10_000, entries: 1});
		for (let count = 0; count < 500; count++) {
			meter.recordAnswer({
				promptTokens: 1000, cachedTokens: 600, outputTokens: 10, maxTokens: 20,
			});
		}

		assert.ok(Math.abs(meter.estimateUncachedTokens(1000) - 400) < 1);
	});
});
