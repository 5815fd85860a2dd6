import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import {brandAs, type SegmentKey, type StoreGeneration} from '@hawthorncleat/core';
import * as assert from 'uvu/assert';
import {CorrectedClock} from '../../store/corrected-clock.js';
import {DecisionLog} from '../../telemetry/decision-log.js';
import type {RowStore} from '../../ports.js';
import {QuarantineRows} from '../quarantine-rows.js';
import {SegmentQuarantines} from '../segment-quarantines.js';

const firstGeneration = brandAs<StoreGeneration>(0);
const segments = [brandAs<SegmentKey>('models/dead')];
/** The store's clock runs beside those of the entries, whose clocks begin anew with each start. */
const storeClock = createManualClock(5_000_000);

type FakeStore = {readonly rows: RowStore; readonly values: Map<string, string>; isDown: boolean};

const createFakeStore = (): FakeStore => {
	const values = new Map<string, string>();
	const store: FakeStore = {
		values,
		isDown: false,
		rows: {
			async read() {
				if (store.isDown) {
					throw new Error('the store is down');
				}

				return {
					rows: [...values].map(([key, value]) => ({key, value, version: 1})), version: 1, storeNowMs: storeClock.nowMs(), bytes: 0, transferMs: 0, generation: firstGeneration,
				};
			},
			watch: async () => undefined,
			async write(_table, rows) {
				for (const {key, value} of rows) {
					if (value === undefined) {
						values.delete(key);
					} else {
						values.set(key, value);
					}
				}
			},
		},
	};
	return store;
};

const startEntry = ({rows}: FakeStore, clock: ReturnType<typeof createManualClock>): {readonly guard: SegmentQuarantines; readonly quarantineRows: QuarantineRows} => {
	const correctedClock = new CorrectedClock(clock, () => []);
	correctedClock.recordStoreTime(storeClock.nowMs());
	const log = new DecisionLog(clock, {write: () => undefined, pendingBytes: () => 0}, 'e1');
	const quarantineRows = new QuarantineRows({
		rows, correctedClock, nowMs: () => clock.nowMs(), log,
	});
	const guard = new SegmentQuarantines({
		clock,
		position: () => ({index: 0, count: 1}),
		onTrial: () => undefined,
		onQuarantine(quarantine) {
			void quarantineRows.saveSegments([quarantine]);
		},
		onAdoption: () => undefined,
		onQuarantineEnd(segment) {
			void quarantineRows.removeSegment(segment);
		},
	});
	return {guard, quarantineRows};
};

const crashThreeTimes = (guard: SegmentQuarantines, clock: ReturnType<typeof createManualClock>): void => {
	for (const endpoint of ['i-1', 'i-2', 'i-3']) {
		clock.advance(1000);
		storeClock.advance(1000);
		guard.recordCrash(endpoint, [{segments, startedMs: clock.nowMs() - 100}], clock.nowMs());
	}
};

const restoreIn = async (entry: ReturnType<typeof startEntry>): Promise<void> => entry.quarantineRows.restore(({segments: kept}) => {
	entry.guard.adopt(kept);
}, new AbortController().signal);

describe('quarantines in the store', () => {
	it('are restored by an entry whose fleet was killed; guards against three more engines lost after each mass restart', async () => {
		const store = createFakeStore();
		const clock = createManualClock(100);
		crashThreeTimes(startEntry(store, clock).guard, clock);
		storeClock.advance(4000);
		const restarted = startEntry(store, createManualClock(0));
		await restoreIn(restarted);
		const remainingMs = restarted.guard.remainingMs(segments)!;
		assert.ok(remainingMs > 10_000 && remainingMs <= 16_000, `${remainingMs} ms`);
	});

	it('are read once the store is back', async () => {
		const store = createFakeStore();
		const clock = createManualClock(100);
		crashThreeTimes(startEntry(store, clock).guard, clock);
		store.isDown = true;
		const restarted = startEntry(store, createManualClock(0));
		const restored = restoreIn(restarted);
		store.isDown = false;
		await restored;
		assert.ok(restarted.guard.remainingMs(segments)! > 0);
	});

	// Only the beginning of a quarantine wrote its row.
	it('are written again when the store has lost them; guards against engines lost after a return of the store and a mass restart', async () => {
		const store = createFakeStore();
		const clock = createManualClock(100);
		const entry = startEntry(store, clock);
		crashThreeTimes(entry.guard, clock);
		store.values.clear();
		await entry.quarantineRows.saveSegments(entry.guard.quarantines);
		const restarted = startEntry(store, createManualClock(0));
		await restoreIn(restarted);
		assert.ok(restarted.guard.remainingMs(segments)! > 0);
	});

	it('are removed when they are over or a completed run has ended them', async () => {
		const store = createFakeStore();
		const clock = createManualClock(100);
		const {guard} = startEntry(store, clock);
		crashThreeTimes(guard, clock);
		await Promise.resolve();
		assert.is(store.values.size, 1);
		clock.advance(1);
		guard.recordCompletedRun(segments, clock.nowMs());
		await Promise.resolve();
		assert.is(store.values.size, 0);
		crashThreeTimes(startEntry(store, clock).guard, clock);
		storeClock.advance(30_000);
		const restarted = startEntry(store, createManualClock(0));
		await restoreIn(restarted);
		assert.is(restarted.guard.remainingMs(segments), undefined);
		assert.is(store.values.size, 0);
	});
});
