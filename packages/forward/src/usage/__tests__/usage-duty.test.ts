import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs, firstEpochOf, type LeaseEpoch, type StoreGeneration,
} from '@hawthorncleat/core';
import type {Lease, Table, TransactResult} from '@hawthorncleat/store';
import type {TableRow, Transaction} from '@hawthorncleat/schema';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {RowStore, StoreRow, UsageCounts} from '../../ports.js';
import {usageRowKey} from '../usage-counter.js';
import {runUsageDuty, type UsageProgress} from '../usage-duty.js';

const windowMs = 5000;
const countsWrittenMs = 2000;

type MemoryTable = Table & {readonly rows: Map<string, TableRow>; generationCount: number};

/** An in-memory table. */
const createTable = (): MemoryTable => {
	const rows = new Map<string, TableRow>();
	let version = 0;
	const table: MemoryTable = {
		rows,
		generationCount: 0,
		generation: () => brandAs<StoreGeneration>(table.generationCount),
		read: async key => rows.get(key),
		scan: async () => [...rows.values()],
		async transact({checks, puts}: Transaction): Promise<TransactResult> {
			const failed = checks.filter(({key, version: expected}) => (rows.get(key)?.version ?? null) !== expected).map(({key}) => key);
			if (failed.length > 0) {
				return {ok: false, failed};
			}

			version += 1;
			for (const {key, value} of puts) {
				rows.set(key, {key, value, version});
			}

			return {ok: true, versions: Object.fromEntries(puts.map(({key}) => [key, version]))};
		},
	};
	return table;
};

type SentReport = {readonly window: number; readonly counts: UsageCounts; readonly epoch: number};

type Fixture = {
	readonly table: ReturnType<typeof createTable>;
	readonly usage: Map<string, string>;
	readonly sentReports: SentReport[];
	nowMs: number;
	/** The first report of this window is accepted, but its answer is lost. */
	losesAnswerOf?: number;
	broadcastCounts: ReadonlyMap<string, UsageCounts>;
	/** What the process of the duty knows of the reports. */
	progress: UsageProgress;
	readonly skippedWindows: number[];
};

const createFixture = (): Fixture => ({
	table: createTable(), usage: new Map(), sentReports: [], nowMs: (10 * windowMs) + countsWrittenMs + 10, broadcastCounts: new Map(), progress: {}, skippedWindows: [],
});

const createRows = (fixture: Fixture): RowStore => ({
	async read(_table, {from = '', to = ''}) {
		const rows: StoreRow[] = [...fixture.usage].filter(([key]) => key >= from && key < to).map(([key, value]) => ({key, value, version: 1}));
		return {
			rows, version: 1, storeNowMs: 0, bytes: 0, transferMs: 0, generation: brandAs<StoreGeneration>(0),
		};
	},
	watch: async () => undefined,
	async write(_table, rows) {
		for (const {key} of rows) {
			fixture.usage.delete(key);
		}
	},
});

const start = async (fixture: Fixture, epoch: number, signal: AbortSignal, continuedEpoch?: number): Promise<void> => {
	fixture.table.rows.set('lease-epoch/usage', {key: 'lease-epoch/usage', value: {epoch}, version: 1000 + epoch});
	const lease = {epoch: brandAs<LeaseEpoch>(epoch), continuedEpoch, check: () => ({key: 'lease-epoch/usage', version: 1000 + epoch})} as unknown as Lease;
	let id = 0;
	return runUsageDuty({
		rows: createRows(fixture),
		table: fixture.table,
		calls: {
			async reportUsage({window, counts}) {
				fixture.sentReports.push({window, counts, epoch});
				if (fixture.losesAnswerOf === window) {
					fixture.losesAnswerOf = undefined;
					throw new Error('the answer was lost');
				}

				return true;
			},
		},
		holder: 'e1',
		makeId() {
			id += 1;
			return `${epoch}-${id}`;
		},
		windowMs,
		nowMs: () => fixture.nowMs,
		countsByProcess: () => fixture.broadcastCounts,
		onReport() {/* The tests check the calls. */},
		onSkip({windows}) {
			fixture.skippedWindows.push(...windows);
		},
		onError() {/* Expected when an answer is lost. */},
		progress: fixture.progress,
	}, lease, signal);
};

const withDuty = async (fixture: Fixture, epoch: number, body: () => Promise<void>, continuedEpoch?: number): Promise<void> => {
	const stop = new AbortController();
	const done = start(fixture, epoch, stop.signal, continuedEpoch);
	try {
		await body();
	} finally {
		stop.abort();
		await done;
	}
};

const reportsOf = (fixture: Fixture, window: number): SentReport[] => fixture.sentReports.filter(report => report.window === window);

describe('the usage duty', () => {
	it('adds up the counts of all processes, taking the larger of the stored and the broadcast count', async () => {
		const fixture = createFixture();
		fixture.usage.set(usageRowKey(9, 'e1/x'), '{"acme":5,"other":1}');
		fixture.usage.set(usageRowKey(9, 'e2/y'), '{"acme":7}');
		fixture.broadcastCounts = new Map<string, UsageCounts>([['e2/y', {acme: 9}], ['e3/z', {other: 2}]]);
		await withDuty(fixture, 1, async () => waitUntil(() => reportsOf(fixture, 9).length > 0));
		assert.equal(reportsOf(fixture, 9)[0]!.counts, {acme: 14, other: 3});
	});

	it('repeats the same figures when an answer is lost; guards against two reports of one window with different counts', async () => {
		const fixture = createFixture();
		await withDuty(fixture, 1, async () => waitUntil(() => reportsOf(fixture, 9).length > 0));
		fixture.nowMs += windowMs;
		fixture.usage.set(usageRowKey(10, 'e1/x'), '{"acme":5}');
		fixture.losesAnswerOf = 10;
		await withDuty(fixture, 2, async () => waitUntil(() => reportsOf(fixture, 10).length > 1));
		assert.equal(reportsOf(fixture, 10).map(({counts}) => counts), [{acme: 5}, {acme: 5}]);
	});

	it('lets a new holder repeat the report that the last one recorded, although the count rows are gone', async () => {
		const fixture = createFixture();
		fixture.usage.set(usageRowKey(9, 'e1/x'), '{"acme":5}');
		await withDuty(fixture, 1, async () => waitUntil(() => reportsOf(fixture, 9).length > 0));
		fixture.usage.clear();
		await withDuty(fixture, 2, async () => waitUntil(() => reportsOf(fixture, 9).some(({epoch}) => epoch === 2)));
		assert.equal(reportsOf(fixture, 9).map(({counts}) => counts), [{acme: 5}, {acme: 5}]);
	});

	it('records no report once another process holds the lease', async () => {
		const fixture = createFixture();
		await withDuty(fixture, 1, async () => {
			await waitUntil(() => reportsOf(fixture, 9).length > 0);
			fixture.table.rows.set('lease-epoch/usage', {key: 'lease-epoch/usage', value: {epoch: 2}, version: 1002});
			fixture.nowMs += windowMs;
			await sleep(800);
		});
		assert.equal(reportsOf(fixture, 10), []);
	});

	it('waits until entries have written the counts of a window', async () => {
		const fixture = createFixture();
		fixture.nowMs = (10 * windowMs) + countsWrittenMs - 500;
		await withDuty(fixture, 1, async () => sleep(500));
		assert.equal(reportsOf(fixture, 9), []);
		assert.ok(reportsOf(fixture, 8).length > 0);
	});
});

const countRow = (window: number, count: number): [key: string, value: string] => [usageRowKey(window, 'e1/x'), JSON.stringify({acme: count})];

/** Lets the epoch 1 report windows 9 and 10; the store then returns from a copy with the report of window 9 and fewer counts. */
const reportAndReturn = async (fixture: Fixture): Promise<void> => {
	fixture.usage.set(...countRow(9, 5));
	let copy = new Map<string, TableRow>();
	await withDuty(fixture, 1, async () => {
		await waitUntil(() => reportsOf(fixture, 9).length > 0);
		copy = new Map(fixture.table.rows);
		fixture.usage.set(...countRow(10, 7));
		fixture.nowMs += windowMs;
		await waitUntil(() => reportsOf(fixture, 10).length > 0);
	});
	returnFrom(fixture, copy);
	fixture.usage.set(...countRow(9, 4));
	fixture.usage.set(...countRow(10, 1));
};

const returnFrom = ({table}: Fixture, copy: ReadonlyMap<string, TableRow>): void => {
	table.generationCount += 1;
	table.rows.clear();
	for (const [key, row] of copy) {
		table.rows.set(key, row);
	}
};

const firstEpoch = (generation: number): number => firstEpochOf(brandAs<StoreGeneration>(generation));
const countsOf = (fixture: Fixture, window: number): UsageCounts[] => reportsOf(fixture, window).map(({counts}) => counts);

describe('the usage duty after a return of the store from a copy', () => {
	it('goes on from what the process knows when the lease continues; guards against two figures of a window that the store has lost', async () => {
		const fixture = createFixture();
		await reportAndReturn(fixture);
		fixture.nowMs += windowMs;
		fixture.usage.set(...countRow(11, 3));
		await withDuty(fixture, firstEpoch(1), async () => waitUntil(() => reportsOf(fixture, 11).length > 0), 1);
		assert.equal([countsOf(fixture, 9), countsOf(fixture, 10), countsOf(fixture, 11)], [[{acme: 5}], [{acme: 7}], [{acme: 3}]]);
		assert.equal(fixture.skippedWindows, []);
	});

	it('skips the windows that were due when the lease does not continue; guards against two figures of a window that another has reported', async () => {
		const fixture = createFixture();
		await reportAndReturn(fixture);
		fixture.progress = {};
		// An entry whose clock is a second ahead may have reported window 11 already.
		fixture.nowMs += windowMs - 900;
		await withDuty(fixture, firstEpoch(1), async () => {
			await waitUntil(() => fixture.skippedWindows.length > 0);
			fixture.nowMs += windowMs + 900;
			fixture.usage.set(...countRow(12, 3));
			await waitUntil(() => reportsOf(fixture, 12).length > 0);
		});
		assert.equal([countsOf(fixture, 10), countsOf(fixture, 11), countsOf(fixture, 12)], [[{acme: 7}], [], [{acme: 3}]]);
		assert.equal(fixture.skippedWindows, [10, 11]);
	});

	it('repeats a report of the new generation; guards against a window that is skipped although its report is known', async () => {
		const fixture = createFixture();
		await reportAndReturn(fixture);
		fixture.nowMs += windowMs;
		fixture.usage.set(...countRow(11, 3));
		await withDuty(fixture, firstEpoch(1), async () => waitUntil(() => reportsOf(fixture, 11).length > 0), 1);
		fixture.progress = {};
		await withDuty(fixture, firstEpoch(1) + 1, async () => waitUntil(() => reportsOf(fixture, 11).length > 1));
		assert.equal([countsOf(fixture, 11), fixture.skippedWindows], [[{acme: 3}, {acme: 3}], []]);
	});

	// Nothing was recorded in the new generation until the next window was due, so a next holder skipped the windows since the last record of the copy.
	it('lets the next holder go on although no window was due yet; guards against windows that are skipped twice when the holder stops after a return', async () => {
		const fixture = createFixture();
		await reportAndReturn(fixture);
		await withDuty(fixture, firstEpoch(1), async () => waitUntil(() => fixture.usage.size === 0), 1);
		fixture.progress = {};
		fixture.nowMs += windowMs;
		fixture.usage.set(...countRow(11, 3));
		await withDuty(fixture, firstEpoch(1) + 1, async () => waitUntil(() => reportsOf(fixture, 11).length > 0));
		assert.equal([countsOf(fixture, 9), countsOf(fixture, 10), countsOf(fixture, 11)], [[{acme: 5}], [{acme: 7}], [{acme: 3}]]);
		assert.equal(fixture.skippedWindows, []);
	});

	it('lets the next holder repeat a report that may not have arrived; guards against a window without a report after a return', async () => {
		const fixture = createFixture();
		const copy = new Map(fixture.table.rows);
		fixture.usage.set(...countRow(9, 5));
		fixture.losesAnswerOf = 9;
		await withDuty(fixture, 1, async () => waitUntil(() => reportsOf(fixture, 9).length > 0));
		returnFrom(fixture, copy);
		await withDuty(fixture, firstEpoch(1), async () => waitUntil(() => reportsOf(fixture, 9).length > 1), 1);
		fixture.progress = {};
		await withDuty(fixture, firstEpoch(1) + 1, async () => waitUntil(() => reportsOf(fixture, 9).length > 2));
		assert.equal([countsOf(fixture, 9), fixture.skippedWindows], [[{acme: 5}, {acme: 5}, {acme: 5}], []]);
	});

	it('repeats a report whose answer was lost before the return; guards against new figures of a report that may have arrived', async () => {
		const fixture = createFixture();
		const copy = new Map(fixture.table.rows);
		fixture.usage.set(...countRow(9, 5));
		fixture.losesAnswerOf = 9;
		await withDuty(fixture, 1, async () => waitUntil(() => reportsOf(fixture, 9).length > 0));
		returnFrom(fixture, copy);
		fixture.usage.set(...countRow(9, 2));
		await withDuty(fixture, firstEpoch(1), async () => waitUntil(() => reportsOf(fixture, 9).length > 1), 1);
		assert.equal(countsOf(fixture, 9), [{acme: 5}, {acme: 5}]);
	});

	it('keeps what it knows when it reads the row of the copy; guards against a window that is summed up again in a tenure that ends', async () => {
		const fixture = createFixture();
		await reportAndReturn(fixture);
		// The tenure of epoch 1 has not ended yet, and reads the recorded report again.
		await withDuty(fixture, 1, async () => sleep(400));
		await withDuty(fixture, firstEpoch(1), async () => sleep(400), 1);
		assert.equal([countsOf(fixture, 9), countsOf(fixture, 10)], [[{acme: 5}], [{acme: 7}]]);
	});

	it('does not go on from a tenure that had not read the recorded report; guards against two figures of what an earlier holder reported', async () => {
		const fixture = createFixture();
		await reportAndReturn(fixture);
		fixture.nowMs += windowMs;
		// The process has also held the lease as epoch 3, in which it could not read what epoch 2 had reported.
		await withDuty(fixture, firstEpoch(1), async () => waitUntil(() => fixture.skippedWindows.length > 0), 3);
		assert.equal([countsOf(fixture, 10), countsOf(fixture, 11), fixture.skippedWindows], [[{acme: 7}], [], [11]]);
	});

	it('keeps the windows that it has skipped over a further return; guards against two figures after returns in quick succession', async () => {
		const fixture = createFixture();
		await reportAndReturn(fixture);
		fixture.progress = {};
		await withDuty(fixture, firstEpoch(1), async () => waitUntil(() => fixture.skippedWindows.length > 0));
		returnFrom(fixture, new Map(fixture.table.rows));
		await withDuty(fixture, firstEpoch(2), async () => sleep(400), firstEpoch(1));
		assert.equal([countsOf(fixture, 10), fixture.skippedWindows], [[{acme: 7}], [10]]);
	});

	it('deletes the counts of reported windows that came back; guards against rows that nobody deletes', async () => {
		const fixture = createFixture();
		await reportAndReturn(fixture);
		fixture.usage.set(...countRow(11, 3));
		await withDuty(fixture, firstEpoch(1), async () => waitUntil(() => fixture.usage.size === 1), 1);
		assert.equal([...fixture.usage.keys()], [usageRowKey(11, 'e1/x')]);
	});
});
