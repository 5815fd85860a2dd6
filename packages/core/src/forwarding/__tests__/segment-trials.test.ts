import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {brandAs, CrashingSegments, type SegmentKey} from '../../index.js';

const quarantineMs = 20_000;
const trialMs = 10_000;
const stepMs = 100;
const dead = [brandAs<SegmentKey>('dead')];

type Fleet = {
	readonly entries: readonly CrashingSegments[];
	readonly clock: ReturnType<typeof createManualClock>;
	/** Entries at which a run with the segment may start now. */
	open(): CrashingSegments[];
	/** Lets the time pass until an entry may start a run. Returns these entries. */
	untilOpen(): CrashingSegments[];
	/** Starts a run and tells the other entries. */
	start(entry: CrashingSegments): void;
	crash(endpoint: string): void;
};

/** A fleet in which three crashes have brought the segment into quarantine at all entries. */
const createFleet = (count: number): Fleet => {
	const clock = createManualClock();
	const entries = Array.from({length: count}, (_, index) => new CrashingSegments(clock, () => ({index, count})));
	const open = (): CrashingSegments[] => entries.filter(entry => entry.quarantineRemainingMs(dead) === undefined);
	const crash = (endpoint: string): void => {
		const nowMs = clock.nowMs();
		for (const entry of entries) {
			entry.recordCrash({
				endpoint, atMs: nowMs, startedMs: nowMs - 1, runs: [dead],
			});
		}
	};

	for (const endpoint of ['i-1', 'i-2', 'i-3']) {
		clock.advance(1000);
		crash(endpoint);
	}

	return {
		entries,
		clock,
		open,
		untilOpen() {
			while (open().length === 0) {
				clock.advance(stepMs);
			}

			return open();
		},
		start(entry) {
			for (const quarantine of entry.recordStart(dead)) {
				for (const other of entries) {
					other.adoptQuarantine(quarantine);
				}
			}
		},
		crash,
	};
};

describe('a segment whose quarantine has ended', () => {
	for (const [count, arrivalMs, mostAtOnce] of [[1, 1000, 1], [4, 1000, 1], [30, 1000, 1], [300, 1000, 1], [4, 5000, 4], [30, 5000, 5], [300, 60_000, 10]] as const) {
		it(`may be tried by ${mostAtOnce} of ${count} entries at once with a request each ${arrivalMs} ms at each, and by each in its turn; guards against engines lost at the same moment`, () => {
			const {entries, clock, open} = createFleet(count);
			const tried = new Set<CrashingSegments>();
			for (let timeMs = 0; timeMs < quarantineMs + (count * 1000); timeMs += stepMs) {
				for (const entry of timeMs % arrivalMs === 0 ? entries : []) {
					entry.recordArrival(dead);
				}

				const now = open();
				assert.ok(now.length <= mostAtOnce, `${now.length} entries after ${timeMs} ms`);
				for (const entry of now) {
					tried.add(entry);
				}

				clock.advance(stepMs);
			}

			assert.is(tried.size, entries.length);
		});
	}

	it('is held back everywhere while one run tries it; guards against a second run before the first has shown whether it crashes its engine', () => {
		const {clock, open, untilOpen, start} = createFleet(4);
		const [entry] = untilOpen();
		start(entry!);
		for (let passedMs = 0; passedMs < trialMs; passedMs += stepMs) {
			assert.is(open().length, 0);
			clock.advance(stepMs);
		}

		untilOpen();
	});

	it('is in quarantine twice as long after a run that crashed its engine, at the entries that only heard of the run, too; guards against an engine lost each 20 s', () => {
		const {entries, untilOpen, start, crash} = createFleet(4);
		for (const expectedMs of [2 * quarantineMs, 4 * quarantineMs]) {
			const [entry] = untilOpen();
			start(entry!);
			crash(`i-${expectedMs}`);
			assert.equal(entries.map(other => other.quarantineRemainingMs(dead)), entries.map(() => expectedMs));
		}
	});

	it('is told with the longer time that a crash gives it; guards against a row in the store that ends with the trial', () => {
		const {entries, clock, untilOpen, start} = createFleet(2);
		const [entry] = untilOpen();
		start(entry!);
		const nowMs = clock.nowMs();
		const [begun] = entries[0]!.recordCrash({
			endpoint: 'i-4', atMs: nowMs, startedMs: nowMs - 1, runs: [dead],
		});
		assert.is(begun?.untilMs, nowMs + (2 * quarantineMs));
	});

	it('is free once a run has completed; guards against turns that go on for a sound segment', () => {
		const {entries, clock, open, untilOpen, start} = createFleet(4);
		const [entry] = untilOpen();
		start(entry!);
		for (const other of entries) {
			other.recordCompletedRun(dead, clock.nowMs());
		}

		assert.is(open().length, 4);
		clock.advance(700);
		assert.is(open().length, 4);
	});
});
