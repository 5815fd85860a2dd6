/**
 * A conditional write whose lost answer is settled by reading back.
 */
import type {TableRow, Transaction} from '@hawthorncleat/schema';
import {isStoreError, type Table} from './store.js';

/** What became of a write. `unknown` means that it may have taken effect or may still do so. */
export type WriteResult
	= | {readonly kind: 'written'; readonly version: number}
		| {readonly kind: 'refused'; readonly failed: readonly string[]}
		| {readonly kind: 'not-written' | 'unknown'; readonly error: Error};

/** The row that identifies a write: one that the transaction both checks and puts. */
export type WriteIdentity = {
	readonly key: string;
	/** Whether the value that was read back is the one that this write put there. */
	readonly isOwnWrite: (value: unknown) => boolean;
};

const judgeReadBack = (transaction: Transaction, settle: WriteIdentity, row: TableRow | undefined, error: Error): WriteResult => {
	if (row && settle.isOwnWrite(row.value)) {
		return {kind: 'written', version: row.version};
	}

	const check = transaction.checks.find(({key}) => key === settle.key);
	// The write would have produced exactly this version. Another value there means that this write's check has failed;
	// at an unchanged version it may still arrive, and at a later one it may have been overwritten.
	const ownVersion = (check?.version ?? 0) + 1;
	return check && row?.version === ownVersion ? {kind: 'refused', failed: [settle.key]} : {kind: 'unknown', error};
};

const readBack = async (table: Table, transaction: Transaction, settle: WriteIdentity, error: Error): Promise<WriteResult> => {
	try {
		return judgeReadBack(transaction, settle, await table.read(settle.key), error);
	} catch {
		return {kind: 'unknown', error};
	}
};

/** Sends a transaction once. If its answer is lost, the row named by `settle` tells what became of it. */
export const transactWithReadBack = async (table: Table, transaction: Transaction, settle: WriteIdentity): Promise<WriteResult> => {
	try {
		const result = await table.transact(transaction);
		return result.ok
			? {kind: 'written', version: result.versions[settle.key] ?? 0}
			: {kind: 'refused', failed: result.failed};
	} catch (error) {
		if (!isStoreError(error)) {
			throw error;
		}

		return error.outcome === 'not-written'
			? {kind: 'not-written', error}
			: readBack(table, transaction, settle, error);
	}
};
