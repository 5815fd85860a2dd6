import {setTimeout as sleep} from 'node:timers/promises';
import {brandAs, type LeaseEpoch} from '@hawthorncleat/core';
import type {Lease, Table, TransactResult} from '@hawthorncleat/store';
import type {TableRow, Transaction} from '@hawthorncleat/schema';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {RowStore, StoreRow, UsageCounts} from '../ports.js';
import {usageRowKey} from '../usage-counter.js';
import {runUsageDuty} from '../usage-duty.js';

const windowMs = 5000;
const settledMs = 2000;

/** A table in memory. */
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

type Sent = {readonly window: number; readonly counts: UsageCounts; readonly epoch: number};

type World = {
	readonly table: ReturnType<typeof createTable>;
	readonly usage: Map<string, string>;
	readonly sent: Sent[];
	nowMs: number;
	/** The first call for this window is carried out and its answer lost. */
	losesAnswerOf?: number;
	heard: ReadonlyMap<string, UsageCounts>;
};

const createWorld = (): World => ({
	table: createTable(), usage: new Map(), sent: [], nowMs: (10 * windowMs) + settledMs + 10, heard: new Map(),
});

const createRows = (world: World): RowStore => ({
	async read(_table, {from = '', to = ''}) {
		const rows: StoreRow[] = [...world.usage].filter(([key]) => key >= from && key < to).map(([key, value]) => ({key, value, version: 1}));
		return {rows, version: 1, storeNowMs: 0};
	},
	watch: async () => undefined,
	async write(_table, rows) {
		for (const {key} of rows) {
			world.usage.delete(key);
		}
	},
});

const start = async (world: World, epoch: number, signal: AbortSignal): Promise<void> => {
	world.table.rows.set('lease-epoch/usage', {key: 'lease-epoch/usage', value: {epoch}, version: 1000 + epoch});
	const lease = {epoch: brandAs<LeaseEpoch>(epoch), check: () => ({key: 'lease-epoch/usage', version: 1000 + epoch})} as unknown as Lease;
	let id = 0;
	return runUsageDuty({
		rows: createRows(world),
		table: world.table,
		calls: {
			async reportUsage({window, counts}) {
				world.sent.push({window, counts, epoch});
				if (world.losesAnswerOf === window) {
					world.losesAnswerOf = undefined;
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
		nowMs: () => world.nowMs,
		countsByProcess: () => world.heard,
		onReport() {/* The calls are looked at. */},
		onError() {/* Expected where an answer is lost. */},
	}, lease, signal);
};

const withDuty = async (world: World, epoch: number, body: () => Promise<void>): Promise<void> => {
	const stop = new AbortController();
	const done = start(world, epoch, stop.signal);
	try {
		await body();
	} finally {
		stop.abort();
		await done;
	}
};

const reportsOf = (world: World, window: number): Sent[] => world.sent.filter(report => report.window === window);

describe('the duty of usage reports', () => {
	it('adds up what all processes wrote, and takes the larger of what was written and told', async () => {
		const world = createWorld();
		world.usage.set(usageRowKey(9, 'e1/x'), '{"acme":5,"other":1}');
		world.usage.set(usageRowKey(9, 'e2/y'), '{"acme":7}');
		world.heard = new Map<string, UsageCounts>([['e2/y', {acme: 9}], ['e3/z', {other: 2}]]);
		await withDuty(world, 1, async () => waitUntil(() => reportsOf(world, 9).length > 0));
		assert.equal(reportsOf(world, 9)[0]!.counts, {acme: 14, other: 3});
	});

	it('repeats the same figures when an answer is lost; guards against two reports of one window with different counts', async () => {
		const world = createWorld();
		await withDuty(world, 1, async () => waitUntil(() => reportsOf(world, 9).length > 0));
		world.nowMs += windowMs;
		world.usage.set(usageRowKey(10, 'e1/x'), '{"acme":5}');
		world.losesAnswerOf = 10;
		await withDuty(world, 2, async () => waitUntil(() => reportsOf(world, 10).length > 1));
		assert.equal(reportsOf(world, 10).map(({counts}) => counts), [{acme: 5}, {acme: 5}]);
	});

	it('lets a new holder repeat what the last one had fixed, although its rows are gone', async () => {
		const world = createWorld();
		world.usage.set(usageRowKey(9, 'e1/x'), '{"acme":5}');
		await withDuty(world, 1, async () => waitUntil(() => reportsOf(world, 9).length > 0));
		world.usage.clear();
		await withDuty(world, 2, async () => waitUntil(() => reportsOf(world, 9).some(({epoch}) => epoch === 2)));
		assert.equal(reportsOf(world, 9).map(({counts}) => counts), [{acme: 5}, {acme: 5}]);
	});

	it('fixes nothing once another process holds the lease', async () => {
		const world = createWorld();
		await withDuty(world, 1, async () => {
			await waitUntil(() => reportsOf(world, 9).length > 0);
			world.table.rows.set('lease-epoch/usage', {key: 'lease-epoch/usage', value: {epoch: 2}, version: 1002});
			world.nowMs += windowMs;
			await sleep(800);
		});
		assert.equal(reportsOf(world, 10), []);
	});

	it('waits until entries have written the counts of a window', async () => {
		const world = createWorld();
		world.nowMs = (10 * windowMs) + settledMs - 500;
		await withDuty(world, 1, async () => sleep(500));
		assert.equal(reportsOf(world, 9), []);
		assert.ok(reportsOf(world, 8).length > 0);
	});
});
