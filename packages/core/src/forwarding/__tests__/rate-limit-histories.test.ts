/** Searches for histories of a fleet in which an endpoint gets more than the limit that it has named. */
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {createRandom, LimitedFleet, maxInWindow} from './limited-fleet.js';

describe('the limit of an endpoint in any history', () => {
	it('is kept while callers move between entries and messages are lost; guards against shares that follow the demand at different times', () => {
		fc.assert(fc.property(
			fc.record({
				seed: fc.integer({min: 1, max: 1_000_000}),
				perSecond: fc.double({min: 1, max: 20, noNaN: true}),
				lossFraction: fc.double({min: 0, max: 0.3, noNaN: true}),
				moves: fc.array(fc.record({afterMs: fc.integer({min: 1, max: 40}), demands: fc.array(fc.integer({min: 0, max: 60}), {minLength: 4, maxLength: 4})}), {minLength: 1, maxLength: 8}),
			}),
			({seed, perSecond, lossFraction, moves}) => {
				const fleet = new LimitedFleet([15, 15, 15, 15], createRandom(seed));
				fleet.lossFraction = lossFraction;
				fleet.run(2000);
				fleet.state(perSecond);
				const sinceMs = fleet.clock.nowMs();
				for (const {afterMs, demands} of moves) {
					fleet.run(afterMs * 100);
					for (const [index, demand] of demands.entries()) {
						fleet.entries[index]!.demandPerSecond = demand;
					}
				}

				fleet.run(5000);
				assert.ok(fleet.mostInWindow(sinceMs) <= maxInWindow(perSecond));
			},
		), {seed: 561, numRuns: 300});
	});

	it('is kept while entries start again, freeze and are cut off; guards against shares that count an entry twice or not at all', () => {
		const eventOf = fc.record({
			kind: fc.constantFrom('restart', 'freeze', 'cut'), entry: fc.nat({max: 3}), afterMs: fc.integer({min: 1, max: 25}), forMs: fc.integer({min: 1, max: 60}),
			demand: fc.integer({min: 0, max: 60}),
		});
		fc.assert(fc.property(
			fc.record({
				seed: fc.integer({min: 1, max: 1_000_000}), perSecond: fc.double({min: 1, max: 20, noNaN: true}), events: fc.array(eventOf, {minLength: 1, maxLength: 10}),
			}),
			({seed, perSecond, events}) => {
				const fleet = new LimitedFleet([15, 15, 15, 15], createRandom(seed));
				fleet.run(2000);
				fleet.state(perSecond);
				const sinceMs = fleet.clock.nowMs();
				for (const {kind, entry: index, afterMs, forMs, demand} of events) {
					fleet.run(afterMs * 100);
					const entry = fleet.entries[index]!;
					const untilMs = fleet.clock.nowMs() + (forMs * 100);
					entry.demandPerSecond = demand;
					if (kind === 'restart') {
						fleet.restart(entry);
					} else if (kind === 'freeze') {
						entry.frozenUntilMs = untilMs;
					} else {
						entry.cutUntilMs = untilMs;
					}
				}

				fleet.run(8000);
				const most = fleet.mostInWindow(sinceMs);
				assert.ok(most <= maxInWindow(perSecond), `${most} of ${maxInWindow(perSecond)}`);
			},
		), {seed: 571, numRuns: 100});
	});
});
