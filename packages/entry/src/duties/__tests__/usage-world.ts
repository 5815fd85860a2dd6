/**
 * A platform stand-in with reporters of one usage shard, whose clocks, answers and connections the tests control.
 */
import {randomUUID} from 'node:crypto';
import {shardOfAccount, type LeaseEpoch} from '@hawthorncleat/core';
import {
	createHttpClient, createObjectStoreClient, createStoreError, createTableClient, createUsageReportsClient, type Lease, type ObjectStore, type Table, type UsageReportsClient,
} from '@hawthorncleat/store';
import type {UsageReport} from '@hawthorncleat/schema';
import {startPlatform, type PlatformStandIn} from '@hawthorncleat/stand-ins';
import {silentLog} from '@hawthorncleat/telemetry';
import {createManualClock, type ManualClock} from '@hawthorncleat/test-kit';
import {Registry} from 'prom-client';
import {createDutyMetrics} from '../duty-metrics.js';
import {UsageReporter} from '../usage-reporter.js';

export const windowMs = 60_000;
export const shard = 0;

/** An account of the shard under test and one of the other shard. */
export const [own, other] = [0, 1].map(wanted =>
	Array.from({length: 50}, (_, index) => `account-${index}`).find(name => shardOfAccount(name) === wanted)!) as [string, string];

export type World = {
	readonly platform: PlatformStandIn;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly wallClock: ManualClock;
	readonly reports: UsageReportsClient;
	/** Reports whose answer is lost after the platform has accepted them. */
	readonly losingReports: UsageReportsClient;
	readonly signal: AbortSignal;
	/** Writes the state of an entry's part in which the own account has used `tokens` prompt tokens. */
	putPart(window: number, entry: string, sequence: number, tokens: number): Promise<void>;
	/** Takes over the lease and returns its holder's side. */
	takeLease(): Promise<{readonly lease: Lease; pause(): void}>;
	createReporter(options?: {readonly reports?: UsageReportsClient; readonly table?: Table}): UsageReporter;
	/** The reports accepted so far: window, then own account's prompt tokens. */
	accepted(): Array<readonly [number, number]>;
};

const figure = (clientAccount: string, promptTokens: number) => ({
	clientAccount, promptTokens, outputTokens: 2 * promptTokens, serviceCalls: 1,
});

const tokensOf = (report: UsageReport): number =>
	report.figures.find(({clientAccount}) => clientAccount === own)?.promptTokens ?? 0;

const createWorld = (platform: PlatformStandIn, signal: AbortSignal): World => {
	const http = createHttpClient({url: platform.url}, signal);
	const [table, objects, reports] = [createTableClient(http), createObjectStoreClient(http), createUsageReportsClient(http)];
	const wallClock = createManualClock();
	let epoch = 0;
	return {
		platform, table, objects, wallClock, reports, signal,
		async putPart(window, entry, sequence, tokens) {
			await objects.write(`usage/${window * windowMs}/${entry}/i1/${sequence}`, {
				window: String(window * windowMs), entryId: entry, incarnation: 'i1', sequence, figures: [figure(own, tokens), figure(other, 1000)],
			});
		},
		async takeLease() {
			epoch += 1;
			const key = `lease-epoch/usage/${shard}`;
			await table.transact({
				writeId: randomUUID(), checks: [], puts: [{key, value: {epoch}}], deletes: [],
			});
			const version = epoch;
			let isPaused = false;
			const lease: Lease = {
				duty: `usage/${shard}`,
				epoch: epoch as LeaseEpoch,
				state: null,
				check: () => ({key, version}),
				isHeld: () => !isPaused,
				authority: () => isPaused ? 'none' : 'table',
				remainingAuthorityMs: () => isPaused ? 0 : 1000,
				setState() {/* Not used. */},
			};
			return {
				lease,
				pause() {
					isPaused = true;
				},
			};
		},
		createReporter: (options = {}) => new UsageReporter({
			shard, windowMs, wallClock, makeId: randomUUID, table, objects, reports, metrics: createDutyMetrics(new Registry()), log: silentLog, ...options,
		}),
		losingReports: {
			async send(report, options) {
				await reports.send(report, options);
				throw createStoreError('answer lost', 'unknown');
			},
		},
		accepted: () => platform.history
			.filter(record => record.kind === 'usage-report')
			.map(({report}) => [Number(report.window) / windowMs, tokensOf(report)] as const),
	};
};

export const withWorld = async (body: (world: World) => Promise<void>): Promise<void> => {
	const controller = new AbortController();
	const platform = await startPlatform({}, controller.signal);
	try {
		await body(createWorld(platform, controller.signal));
	} finally {
		controller.abort();
		await platform.closed;
	}
};

/** Moves the wall clock to the moment at which a window is due. */
export const endWindow = (world: World, window: number, graceMs: number): void => {
	world.wallClock.advance(((window + 1) * windowMs) + graceMs - world.wallClock.nowMs());
};
