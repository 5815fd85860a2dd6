/**
 * Interfaces of the platform's transactional table and object store, and the error of a failed request. The error states
 * whether a write may have taken effect, because a response may be lost after the write.
 */
import type {TableRow, Transaction} from '@hawthorncleat/schema';
import {BaseError, type StoreGeneration} from '@hawthorncleat/core';

/** Whether a failed write may have taken effect. */
export type WriteOutcome = 'not-written' | 'unknown';

const StoreErrorClass = BaseError.subclass('StoreError');

/** The store could not be reached, or sent no valid response before the timeout. */
export type StoreError = Error & {readonly outcome: WriteOutcome};

export const createStoreError = (message: string, outcome: WriteOutcome, cause?: unknown): StoreError =>
	new StoreErrorClass(message, {cause, props: {outcome}});

export const isStoreError = (value: unknown): value is StoreError => value instanceof StoreErrorClass;

/** The table's response to a transaction: the new versions of the rows, or the keys of the rows whose check failed. */
export type TransactResult
	= | {readonly ok: true; readonly versions: Readonly<Record<string, number>>}
		| {readonly ok: false; readonly failed: readonly string[]};

/** The transactional table. Every method rejects with a `StoreError` when the table cannot be reached. */
export type Table = {
	/** Newest generation that an answer of the store had. Absent in a table that never loses an acknowledged write. */
	readonly generation?: () => StoreGeneration;
	read(key: string): Promise<TableRow | undefined>;
	scan(prefix: string, options?: {readonly limit?: number; readonly after?: string}): Promise<TableRow[]>;
	transact(transaction: Transaction): Promise<TransactResult>;
};

/** The object store. Objects are JSON values. */
export type ObjectStore = {
	read(key: string): Promise<unknown>;
	write(key: string, value: unknown): Promise<void>;
	list(prefix: string): Promise<string[]>;
};
