import {setTimeout as sleep} from 'node:timers/promises';
import {brandAs, type LeaseEpoch, type StoreGeneration} from '@hawthorncleat/core';
import type {Lease, Table, TransactResult} from '@hawthorncleat/store';
import type {TableRow, Transaction} from '@hawthorncleat/schema';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {RowStore, StoreRow, UsageCounts} from '../ports.js';
import {usageRowKey} from '../usage-counter.js';
import {runUsageDuty} from '../usage-duty.js';

const windowMs = 5000;
const countsWrittenMs = 2000;

/** An in-memory table. */
const createTable = (): Table & {readonly rows: Map<string, TableRow>} => {
	const rows = new Map<string, TableRow>();
	let version = 0;
	return {
		rows,
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
};

const createFixture = (): Fixture => ({
	table: createTable(), usage: new Map(), sentReports: [], nowMs: (10 * windowMs) + countsWrittenMs + 10, broadcastCounts: new Map(),
});

const createRows = (fixture: Fixture): RowStore => ({
	async read(_table, {from = '', to = ''}) {
		const rows: StoreRow[] = [...fixture.usage].filter(([key]) => key >= from && key < to).map(([key, value]) => ({key, value, version: 1}));
		return {
			rows, version: 1, storeNowMs: 0, generation: brandAs<StoreGeneration>(0),
		};
	},
	watch: async () => undefined,
	async write(_table, rows) {
		for (const {key} of rows) {
			fixture.usage.delete(key);
		}
	},
});

const start = async (fixture: Fixture, epoch: number, signal: AbortSignal): Promise<void> => {
	fixture.table.rows.set('lease-epoch/usage', {key: 'lease-epoch/usage', value: {epoch}, version: 1000 + epoch});
	const lease = {epoch: brandAs<LeaseEpoch>(epoch), check: () => ({key: 'lease-epoch/usage', version: 1000 + epoch})} as unknown as Lease;
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
		onError() {/* Expected when an answer is lost. */},
	}, lease, signal);
};

const withDuty = async (fixture: Fixture, epoch: number, body: () => Promise<void>): Promise<void> => {
	const stop = new AbortController();
	const done = start(fixture, epoch, stop.signal);
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
