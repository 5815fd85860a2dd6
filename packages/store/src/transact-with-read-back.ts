/**
 * Sends a conditional write to the table and, if the response is lost, reads a row back to find out whether the write
 * took effect.
 */
import type {TableRow, Transaction} from '@hawthorncleat/schema';
import {isStoreError, type Table} from './store.js';

/** Outcome of a write. `unknown` means that it may have taken effect or may still do so. */
export type WriteResult
	= | {readonly kind: 'written'; readonly version: number}
		| {readonly kind: 'refused'; readonly failed: readonly string[]}
		| {readonly kind: 'not-written' | 'unknown'; readonly error: Error};

/** Identifies a write by one row, which the transaction both checks and puts. */
export type WriteIdentity = {
	readonly key: string;
	/** Whether the value that was read back is the one of this write. */
	readonly isOwnWrite: (value: unknown) => boolean;
};

const classifyReadBack = (transaction: Transaction, identity: WriteIdentity, row: TableRow | undefined, error: Error): WriteResult => {
	if (row && identity.isOwnWrite(row.value)) {
		return {kind: 'written', version: row.version};
	}

	const check = transaction.checks.find(({key}) => key === identity.key);
	// The write would have given the row this version. Another value at this version means that the check of this write
	// fails. At an older version the write may still arrive, and at a later one it may have been overwritten.
	const writtenVersion = (check?.version ?? 0) + 1;
	return check && row?.version === writtenVersion ? {kind: 'refused', failed: [identity.key]} : {kind: 'unknown', error};
};

const readBack = async (table: Table, transaction: Transaction, identity: WriteIdentity, error: Error): Promise<WriteResult> => {
	try {
		return classifyReadBack(transaction, identity, await table.read(identity.key), error);
	} catch {
		return {kind: 'unknown', error};
	}
};

/** Sends a transaction once. If its response is lost, the outcome is derived from the row that `identity` names. */
export const transactWithReadBack = async (table: Table, transaction: Transaction, identity: WriteIdentity): Promise<WriteResult> => {
	try {
		const result = await table.transact(transaction);
		return result.ok
			? {kind: 'written', version: result.versions[identity.key] ?? 0}
			: {kind: 'refused', failed: result.failed};
	} catch (error) {
		if (!isStoreError(error)) {
			throw error;
		}

		return error.outcome === 'not-written'
			? {kind: 'not-written', error}
			: readBack(table, transaction, identity, error);
	}
};
