/**
 * Freezes and reports the usage windows of one shard while its lease is held. The figures of a window are decided once, by
 * the write of its frozen row; every report sends what was read back from that row.
 */
import {
	isWindowDue, nextWindowStartMs, usageShardCount, type Clock, type MakeId,
} from '@hawthorncleat/core';
import {
	transactWithReadBack, type Lease, type ObjectStore, type Table, type UsageReportsClient,
} from '@hawthorncleat/store';
import type {TableCheck, TablePut} from '@hawthorncleat/schema';
import type {Log} from '@hawthorncleat/telemetry';
import {countWindow, type WindowCount} from './usage-count.js';
import type {DutyMetrics} from './duty-metrics.js';
import {
	countedKey, findFirstWindow, frozenKey, progressKey, progressPrefix, readFrozen, readProgress, type Progress,
} from './usage-rows.js';
import {ProgressLog} from './progress-log.js';
import {runRounds} from './run-rounds.js';

// Windows are a minute long; a shorter pause only repeats reads of the progress row.
const roundPauseMs = 2000;

export type UsageReporterOptions = {
	readonly shard: number;
	readonly windowMs: number;
	/** Names windows, as in the entries that meter them. */
	readonly wallClock: Clock;
	readonly makeId: MakeId;
	readonly table: Table;
	readonly objects: Pick<ObjectStore, 'list' | 'read'>;
	readonly reports: UsageReportsClient;
	readonly metrics: DutyMetrics;
	readonly log: Log;
	readonly pauseMs?: number;
};

type Position = {readonly progress: Progress; readonly version: number | null};

const noRows = {checks: [], puts: []};

/** Thrown when a conditional write is refused: another process holds the lease, or the row was read too early. */
class RefusedError extends Error {
	constructor(failed: readonly string[]) {
		super(`write refused because of ${failed.join(', ')}`);
	}
}

/** The duty of one shard. */
export class UsageReporter {
	readonly #options: UsageReporterOptions;
	readonly #progress: ProgressLog;

	constructor(options: UsageReporterOptions) {
		this.#options = options;
		const {log, shard} = options;
		this.#progress = new ProgressLog({
			log, fields: {shard}, failing: 'usage reports are delayed', recovered: 'usage reports continue',
		});
	}

	/** Runs rounds until `signal` aborts. */
	readonly run = async (lease: Lease, signal: AbortSignal): Promise<void> => {
		await runRounds({
			round: async () => this.round(lease, signal),
			pauseMs: this.#options.pauseMs ?? roundPauseMs,
			progress: this.#progress,
			onFailure: reason => {
				if (!signal.aborted) {
					this.#options.metrics.usageFailures.inc();
					this.#progress.failed(reason);
				}
			},
			mayPass: error => error instanceof RefusedError,
		}, signal);
	};

	/** Freezes the windows that are due, then reports those whose report is not confirmed. */
	async round(lease: Lease, signal: AbortSignal): Promise<void> {
		const {wallClock, windowMs} = this.#options;
		let position = await this.#readPosition();
		while (position && !signal.aborted && isWindowDue(position.progress.nextMs, windowMs, wallClock.nowMs())) {
			await this.#freeze(lease, position);
			position = await this.#readPosition();
		}

		while (position && !signal.aborted && position.progress.unreportedMs < position.progress.nextMs) {
			await this.#report(lease, position);
			position = await this.#readPosition();
		}
	}

	/** Where the shard stands; undefined while no usage was ever written. */
	async #readPosition(): Promise<Position | undefined> {
		const {table, shard} = this.#options;
		const row = await table.read(progressKey(shard));
		if (!row) {
			return this.#findStart();
		}

		const progress = readProgress(row);
		this.#requireSameLayout([progress]);
		this.#options.metrics.unreportedWindows.set({shard: String(shard)}, (progress.nextMs - progress.unreportedMs) / this.#options.windowMs);
		return {progress, version: row.version};
	}

	/** A shard without progress starts with the earliest window that has parts, so that none is left out. */
	async #findStart(): Promise<Position | undefined> {
		const {table, objects, windowMs} = this.#options;
		const rows = await table.scan(progressPrefix);
		this.#requireSameLayout(rows.map(row => readProgress(row)));
		const keys = await objects.list('usage/');
		const firstMs = findFirstWindow(keys);
		return firstMs === undefined
			? undefined
			: {
				progress: {
					shards: usageShardCount, windowMs, nextMs: firstMs, unreportedMs: firstMs, writeId: '',
				},
				version: null,
			};
	}

	/** Rows of another layout do not say what was counted for the shards and windows of this one. */
	#requireSameLayout(all: readonly Progress[]): void {
		if (all.some(({shards, windowMs}) => shards !== usageShardCount || windowMs !== this.#options.windowMs)) {
			throw new Error('usage rows were written for another number of shards or length of windows');
		}
	}

	async #freeze(lease: Lease, position: Position): Promise<void> {
		const {shard, windowMs} = this.#options;
		const startMs = position.progress.nextMs;
		const count = await countWindow(this.#options, startMs);
		const frozen = {epoch: lease.epoch, figures: count.figures, counted: count.states};
		const puts = [
			{key: frozenKey(startMs, shard), value: frozen},
			...count.rows.map(({startMs: countedMs, counted}) => ({key: countedKey(countedMs, shard), value: counted})),
		];
		// Rule `freeze` of models/usage-window.pml: the row is written only while it is absent. The counted
		// rows are checked and written together with it, so that usage is counted exactly once.
		const checks = [
			{key: frozenKey(startMs, shard), version: null},
			...count.rows.map(({startMs: countedMs, version}) => ({key: countedKey(countedMs, shard), version})),
		];
		await this.#advance(lease, position, {nextMs: nextWindowStartMs(startMs, windowMs)}, {checks, puts});
		this.#noteFrozen(startMs, count);
	}

	#noteFrozen(startMs: number, count: WindowCount): void {
		const {metrics, shard, log} = this.#options;
		metrics.frozenWindows.inc();
		if (count.lateParts > 0) {
			metrics.lateParts.inc(count.lateParts);
			log.info('late usage added to a later window', {shard, window: String(startMs), parts: count.lateParts});
		}
	}

	async #report(lease: Lease, position: Position): Promise<void> {
		const {
			shard, windowMs, table, reports, metrics,
		} = this.#options;
		const startMs = position.progress.unreportedMs;
		const row = await table.read(frozenKey(startMs, shard));
		if (!row) {
			throw new Error(`frozen usage window ${startMs} of shard ${shard} has no row`);
		}

		const {figures} = readFrozen(row);
		await reports.send({
			window: String(startMs), shard, epoch: lease.epoch, figures: [...figures],
		}, {maySend: lease.isHeld});
		metrics.reportedWindows.inc();
		await this.#advance(lease, position, {unreportedMs: nextWindowStartMs(startMs, windowMs)});
	}

	/** Writes new progress, with further rows, unless another process has taken the lease or written the rows. */
	async #advance(
		lease: Lease,
		{progress, version}: Position,
		change: Partial<Progress>,
		more: {readonly checks: readonly TableCheck[]; readonly puts: readonly TablePut[]} = noRows,
	): Promise<void> {
		const {table, shard, makeId} = this.#options;
		const key = progressKey(shard);
		const writeId = makeId();
		const result = await transactWithReadBack(table, {
			writeId,
			checks: [lease.check(), {key, version}, ...more.checks],
			puts: [{key, value: {...progress, ...change, writeId}}, ...more.puts],
			deletes: [],
		}, {key, isOwnWrite: value => (value as Partial<Progress> | null)?.writeId === writeId});
		if (result.kind === 'refused') {
			throw new RefusedError(result.failed);
		}

		if (result.kind !== 'written') {
			throw result.error;
		}
	}
}

