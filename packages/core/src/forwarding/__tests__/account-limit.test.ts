/** The limit of an account, kept by a simulated fleet. */
import {createSeededRandom, describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {AccountFleet, windowMs} from './account-fleet.js';

const rate = {perSecond: 60_000, burst: 60_000};
/** Tokens of the kinds of requests. */
const costs = [800, 900, 2400, 12_000];
const largestCost = Math.max(...costs);
const meanCost = costs.reduce((sum, cost) => sum + cost, 0) / costs.length;

const createFleet = (options: {readonly entries: number; readonly gossipMs: number; readonly seed: number; readonly isMute?: boolean}): AccountFleet => {
	const random = createSeededRandom(options.seed);
	return new AccountFleet({
		...options, rate, random, cost: () => costs[Math.floor(random() * costs.length)]!, meanCost,
	});
};

/** Entries and the time between the messages of each. */
const sizes = [[1, 60], [4, 60], [20, 150], [68, 550], [300, 1000]] as const;
const settleMs = 6000;

/** Callers ask for a multiple of the limit at the first entries. */
const offer = (fleet: AccountFleet, multiple: number, entries = fleet.entries.length): void => {
	for (const [index, entry] of fleet.entries.entries()) {
		entry.perSecond = index < entries ? rate.perSecond * multiple / entries : 0;
	}
};

/** What the users allow in a window, and one of the largest requests an entry: each may admit one of which the others have not heard. */
const allowed = ({perSecond, burst}: typeof rate, entries: number): number => ((((perSecond * windowMs / 1000) + burst) * 1.1) + (entries * largestCost));

type Step = {readonly kind: 'cut' | 'freeze' | 'lose' | 'lower' | 'move' | 'raise' | 'restart' | 'restartAll'; readonly entry: number; readonly forMs: number};

const applyStep = (fleet: AccountFleet, {kind, entry: index, forMs}: Step): void => {
	const entry = fleet.entries[index % fleet.entries.length]!;
	const nowMs = fleet.clock.nowMs();
	const other = fleet.entries[(index + 1) % fleet.entries.length]!;
	({
		cut() {
			entry.cutUntilMs = nowMs + (forMs * 4);
		},
		freeze() {
			entry.frozenUntilMs = nowMs + forMs;
		},
		lose() {
			fleet.lossFraction = fleet.lossFraction > 0 ? 0 : 0.2;
		},
		lower() {
			fleet.setRate({perSecond: rate.perSecond / 3, burst: rate.burst / 3});
		},
		raise() {
			fleet.setRate(rate);
		},
		move() {
			[entry.perSecond, other.perSecond] = [0, entry.perSecond + other.perSecond];
		},
		restart() {
			fleet.restart(entry);
		},
		restartAll() {
			for (const each of fleet.entries) {
				fleet.restart(each);
			}
		},
	} satisfies Record<Step['kind'], () => void>)[kind]();
	fleet.run(forMs);
};

const stepArbitrary = fc.record<Step>({
	kind: fc.constantFrom('cut', 'freeze', 'lose', 'lower', 'move', 'raise', 'restart', 'restartAll'),
	entry: fc.nat(7),
	forMs: fc.integer({min: 300, max: 3000}),
});

const historyArbitrary = fc.record({
	entries: fc.integer({min: 1, max: 8}), multiple: fc.constantFrom(0.5, 1, 4), seed: fc.nat(1_000_000), steps: fc.array(stepArbitrary, {minLength: 3, maxLength: 8}),
});

/** Plays a history; returns by how much a window went over what is allowed. */
const playHistory = ({entries, multiple, seed, steps}: {entries: number; multiple: number; seed: number; steps: readonly Step[]}, isMute = false): number => {
	const fleet = createFleet({
		entries, seed, isMute, gossipMs: 100,
	});
	offer(fleet, multiple);
	fleet.run(settleMs);
	for (const step of steps) {
		applyStep(fleet, step);
	}

	fleet.run(settleMs);
	const excess = fleet.mostInWindow(0) - allowed(rate, entries);
	fleet.setRate({perSecond: rate.perSecond / 4, burst: rate.burst / 4});
	fleet.run(windowMs * 2);
	const lowered = fleet.mostInWindow(fleet.clock.nowMs() - windowMs) - allowed(fleet.rate, entries);
	return Math.max(excess, lowered);
};

describe('the limit of an account', () => {
	describe('that asks for three times as much', () => {
		for (const [entries, gossipMs] of sizes) {
			for (const [name, active] of [['all entries', entries], ['one entry', 1]] as const) {
				it(`is used to at least 0.95 by ${entries} entries with callers at ${name}, and not exceeded; guards against parts that lie idle`, () => {
					const fleet = createFleet({entries, gossipMs, seed: 7});
					fleet.run(settleMs);
					offer(fleet, 3, active);
					fleet.run(settleMs);
					const [sinceMs, lostBefore] = [fleet.clock.nowMs(), fleet.lost];
					fleet.run(20_000);
					// What is in the bucket at the end can still be used, and may be a twentieth of what came in.
					const lost = (fleet.lost - lostBefore) / 20 / rate.perSecond;
					const used = fleet.admittedSince(sinceMs) / 20 / rate.perSecond;
					assert.ok(lost <= 0.05 && used <= 1.05, `lost ${lost.toFixed(3)}, used ${used.toFixed(3)}`);
				});
			}
		}
	});

	describe('that asks for three fifths', () => {
		for (const [entries, gossipMs] of sizes) {
			for (const [name, active] of [['all entries', entries], ['one entry', 1], ['three entries', 3]] as const) {
				it(`is refused next to nothing by ${entries} entries with callers at ${name}; guards against refusals below the limit`, () => {
					const fleet = createFleet({entries, gossipMs, seed: 11});
					fleet.run(settleMs);
					offer(fleet, 0.6, Math.min(entries, active));
					fleet.run(15_000);
					const fraction = fleet.refusedBelow / (rate.perSecond * 0.6 * 15);
					assert.ok(fraction <= 0.02, `${(fraction * 100).toFixed(2)} in a hundred refused`);
				});
			}
		}
	});

	describe('through moving callers, cuts, freezes, kills, lost messages and changes', () => {
		it('is exceeded in no window; guards against entries that bring a burst of their own', () => {
			fc.assert(fc.property(historyArbitrary, history => {
				assert.ok(playHistory(history) <= 0, `${Math.round(playHistory(history))} over`);
			}), {seed: 62, numRuns: 40});
		});

		it('is exceeded by entries that tell each other nothing; guards against a property that finds nothing', () => {
			const found = fc.check(fc.property(historyArbitrary, history => playHistory(history, true) <= 0), {seed: 62, numRuns: 40});
			assert.ok(found.failed);
		});
	});
});
