/**
 * Group commit of independent conditional writes: each transaction contains at most one write per row. If checks fail,
 * the writes of the failed rows are resolved by reading these rows, and the others are submitted again without them.
 * After a lost response the same writes are submitted again: a row that was already written then fails its check and is
 * recognised when it is read.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	findBatch, maxBatchRows, type Clock, type MakeId,
} from '@hawthorncleat/core';
import type {TableRow, Transaction} from '@hawthorncleat/schema';
import {isStoreError, type Table, type TransactResult} from './store.js';

// The pause doubles with each attempt, because all batches of all entries retry during an outage.
const firstRetryPauseMs = 100;
const maxRetryPauseMs = 1600;

/** One conditional write. */
export type GroupedWrite = {
	readonly key: string;
	/** The version that the row must have; null means that it must be absent. */
	readonly version: number | null;
	readonly value: unknown;
	/** Whether a value that was read from the table is the one of this write. */
	readonly isOwnWrite: (value: unknown) => boolean;
	/** Time on the writer's clock after which the write is not submitted again. */
	readonly deadlineMs: number;
};

/** Outcome of a write. `unknown` means that it may have taken effect or may still do so. */
export type GroupedWriteResult
	= | {readonly kind: 'written'; readonly version: number}
		| {readonly kind: 'conflict'; readonly row: TableRow | undefined}
		| {readonly kind: 'not-written' | 'unknown'};

export type GroupWriterOptions = {
	readonly table: Table;
	readonly clock: Clock;
	readonly makeId: MakeId;
	/** Longest time for which a write waits for others to join its transaction. */
	readonly batchMs: number;
};

export type GroupWriter = {
	write(item: GroupedWrite): Promise<GroupedWriteResult>;
};

type PendingWrite = {
	readonly item: GroupedWrite;
	readonly resolve: (result: GroupedWriteResult) => void;
	/** Whether an attempt may have reached the table. */
	mayBeWritten: boolean;
};

type Batch = Map<string, PendingWrite>;

const createTransaction = (batch: Batch, writeId: string): Transaction => {
	const items = [...batch.values()].map(pending => pending.item);
	return {
		writeId,
		checks: items.map(({key, version}) => ({key, version})),
		puts: items.map(({key, value}) => ({key, value})),
		deletes: [],
	};
};

class BatchingWriter {
	readonly #options: GroupWriterOptions;
	readonly #signal: AbortSignal;
	/** Batches that still accept writes, oldest first. */
	#openBatches: Batch[] = [];

	constructor(options: GroupWriterOptions, signal: AbortSignal) {
		this.#options = options;
		this.#signal = signal;
	}

	async write(item: GroupedWrite): Promise<GroupedWriteResult> {
		return new Promise(resolve => {
			const batch = findBatch(this.#openBatches, item.key) ?? this.#startBatch();
			batch.set(item.key, {item, resolve, mayBeWritten: false});
			if (batch.size === maxBatchRows) {
				this.#closeBatch(batch);
			}
		});
	}

	#startBatch(): Batch {
		const batch: Batch = new Map();
		this.#openBatches.push(batch);
		setTimeout(() => {
			this.#closeBatch(batch);
		}, this.#options.batchMs);
		return batch;
	}

	#closeBatch(batch: Batch): void {
		if (this.#openBatches.includes(batch)) {
			this.#openBatches = this.#openBatches.filter(other => other !== batch);
			void this.#submit(batch);
		}
	}

	async #submit(batch: Batch): Promise<void> {
		let pauseMs = firstRetryPauseMs;
		while (batch.size > 0) {
			this.#dropExpired(batch);
			if (batch.size > 0 && !await this.#trySubmit(batch)) {
				await delay(pauseMs);
				pauseMs = Math.min(2 * pauseMs, maxRetryPauseMs);
			}
		}
	}

	#dropExpired(batch: Batch): void {
		const nowMs = this.#options.clock.nowMs();
		for (const [key, {item, mayBeWritten}] of batch) {
			if (this.#signal.aborted || nowMs >= item.deadlineMs) {
				this.#resolveItem(batch, key, {kind: mayBeWritten ? 'unknown' : 'not-written'});
			}
		}
	}

	#resolveItem(batch: Batch, key: string, result: GroupedWriteResult): void {
		batch.get(key)?.resolve(result);
		batch.delete(key);
	}

	/** Submits a batch once. Returns false if the next attempt has to wait for the retry pause. */
	async #trySubmit(batch: Batch): Promise<boolean> {
		try {
			const result = await this.#options.table.transact(createTransaction(batch, this.#options.makeId()));
			return await this.#applyResult(batch, result);
		} catch (error) {
			if (!isStoreError(error) || error.outcome === 'unknown') {
				for (const pending of batch.values()) {
					pending.mayBeWritten = true;
				}
			}

			return false;
		}
	}

	async #applyResult(batch: Batch, result: TransactResult): Promise<boolean> {
		if (!result.ok) {
			const resolutions = await Promise.all(result.failed.map(async key => this.#resolveConflict(batch, key)));
			return resolutions.length > 0 && resolutions.every(Boolean);
		}

		for (const key of batch.keys()) {
			this.#resolveItem(batch, key, {kind: 'written', version: result.versions[key] ?? 0});
		}

		return true;
	}

	async #resolveConflict(batch: Batch, key: string): Promise<boolean> {
		const pending = batch.get(key);
		const row = await this.#options.table.read(key).catch(() => 'failed' as const);
		if (row === 'failed' || !pending) {
			return false;
		}

		const isOwnWrite = row !== undefined && pending.item.isOwnWrite(row.value);
		this.#resolveItem(batch, key, isOwnWrite ? {kind: 'written', version: row.version} : {kind: 'conflict', row});
		return true;
	}
}

/** Creates a group writer. When `signal` aborts, pending writes are resolved without another attempt. */
export const createGroupWriter = (options: GroupWriterOptions, signal: AbortSignal): GroupWriter => {
	const writer = new BatchingWriter(options, signal);
	return {
		write: async item => writer.write(item),
	};
};
