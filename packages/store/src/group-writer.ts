/**
 * Group commit of independent conditional writes, at most one per row in a transaction. A conflict names the rows that
 * failed; the others are submitted again without them. A lost answer is settled by submitting the same rows again: a row
 * that had been written then fails its check and is recognised when it is read.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	findBatch, maxBatchRows, type Clock, type MakeId,
} from '@hawthorncleat/core';
import type {TableRow, Transaction} from '@hawthorncleat/schema';
import {isStoreError, type Table, type TransactResult} from './store.js';

// The pause doubles with each attempt, since all batches of all entries retry during an outage.
const firstRetryPauseMs = 100;
const maxRetryPauseMs = 1600;

/** One conditional write. */
export type GroupedWrite = {
	readonly key: string;
	/** The version that the row must have; null means that it must be absent. */
	readonly version: number | null;
	readonly value: unknown;
	/** Recognises the value of this write in the table. */
	readonly isOwnWrite: (value: unknown) => boolean;
	/** When to give up, on the writer's clock. */
	readonly deadlineMs: number;
};

/** What became of an item. `unknown` means that it may have been written or may still be. */
export type GroupedWriteResult
	= | {readonly kind: 'written'; readonly version: number}
		| {readonly kind: 'conflict'; readonly row: TableRow | undefined}
		| {readonly kind: 'not-written' | 'unknown'};

export type GroupWriterOptions = {
	readonly table: Table;
	readonly clock: Clock;
	readonly makeId: MakeId;
	/** Longest wait of an item for others to join its transaction. */
	readonly batchMs: number;
};

export type GroupWriter = {
	write(item: GroupedWrite): Promise<GroupedWriteResult>;
};

type Pending = {
	readonly item: GroupedWrite;
	readonly resolve: (result: GroupedWriteResult) => void;
	/** An attempt may have reached the table. */
	maybeWritten: boolean;
};

type Batch = Map<string, Pending>;

const createTransaction = (batch: Batch, writeId: string): Transaction => {
	const items = [...batch.values()].map(pending => pending.item);
	return {
		writeId,
		checks: items.map(({key, version}) => ({key, version})),
		puts: items.map(({key, value}) => ({key, value})),
		deletes: [],
	};
};

class Writer {
	readonly #options: GroupWriterOptions;
	readonly #signal: AbortSignal;
	/** Batches that still accept items, oldest first. */
	#open: Batch[] = [];

	constructor(options: GroupWriterOptions, signal: AbortSignal) {
		this.#options = options;
		this.#signal = signal;
	}

	async write(item: GroupedWrite): Promise<GroupedWriteResult> {
		return new Promise(resolve => {
			const batch = findBatch(this.#open, item.key) ?? this.#openBatch();
			batch.set(item.key, {item, resolve, maybeWritten: false});
			if (batch.size === maxBatchRows) {
				this.#close(batch);
			}
		});
	}

	#openBatch(): Batch {
		const batch: Batch = new Map();
		this.#open.push(batch);
		setTimeout(() => {
			this.#close(batch);
		}, this.#options.batchMs);
		return batch;
	}

	#close(batch: Batch): void {
		if (this.#open.includes(batch)) {
			this.#open = this.#open.filter(other => other !== batch);
			void this.#submit(batch);
		}
	}

	async #submit(batch: Batch): Promise<void> {
		let pauseMs = firstRetryPauseMs;
		while (batch.size > 0) {
			this.#dropExpired(batch);
			if (batch.size > 0 && !await this.#attempt(batch)) {
				await delay(pauseMs);
				pauseMs = Math.min(2 * pauseMs, maxRetryPauseMs);
			}
		}
	}

	#dropExpired(batch: Batch): void {
		const nowMs = this.#options.clock.nowMs();
		for (const [key, {item, maybeWritten}] of batch) {
			if (this.#signal.aborted || nowMs >= item.deadlineMs) {
				this.#finish(batch, key, {kind: maybeWritten ? 'unknown' : 'not-written'});
			}
		}
	}

	#finish(batch: Batch, key: string, result: GroupedWriteResult): void {
		batch.get(key)?.resolve(result);
		batch.delete(key);
	}

	/** Submits a batch once; false asks for a pause before the next attempt. */
	async #attempt(batch: Batch): Promise<boolean> {
		try {
			const result = await this.#options.table.transact(createTransaction(batch, this.#options.makeId()));
			return await this.#receive(batch, result);
		} catch (error) {
			if (!isStoreError(error) || error.outcome === 'unknown') {
				for (const pending of batch.values()) {
					pending.maybeWritten = true;
				}
			}

			return false;
		}
	}

	async #receive(batch: Batch, result: TransactResult): Promise<boolean> {
		if (!result.ok) {
			const settled = await Promise.all(result.failed.map(async key => this.#settleConflict(batch, key)));
			return settled.length > 0 && settled.every(Boolean);
		}

		for (const key of batch.keys()) {
			this.#finish(batch, key, {kind: 'written', version: result.versions[key] ?? 0});
		}

		return true;
	}

	async #settleConflict(batch: Batch, key: string): Promise<boolean> {
		const pending = batch.get(key);
		const row = await this.#options.table.read(key).catch(() => 'failed' as const);
		if (row === 'failed' || !pending) {
			return false;
		}

		const isOurs = row !== undefined && pending.item.isOwnWrite(row.value);
		this.#finish(batch, key, isOurs ? {kind: 'written', version: row.version} : {kind: 'conflict', row});
		return true;
	}
}

/** Creates a group writer. Items that wait when `signal` aborts are given up. */
export const createGroupWriter = (options: GroupWriterOptions, signal: AbortSignal): GroupWriter => {
	const writer = new Writer(options, signal);
	return {
		write: async item => writer.write(item),
	};
};
