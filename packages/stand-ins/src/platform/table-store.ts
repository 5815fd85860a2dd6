/**
 * In-memory rows of the platform's table, with a version each. A transaction is applied as a whole or not at all.
 */
import type {TableCheck, TableRow, Transaction} from '@hawthorncleat/schema';

/** Result of a transaction: the versions of the rows that it wrote, or the keys whose checks failed. */
export type TableStoreResult = {readonly versions: Record<string, number>} | {readonly failed: string[]};

const defaultScanLimit = 1000;

export class TableStore {
	readonly #rows = new Map<string, TableRow>();
	// Also holds the versions of deleted rows: a row created again continues from there, so that no check of an old version
	// matches it.
	readonly #lastVersions = new Map<string, number>();

	read(key: string): TableRow | undefined {
		return this.#rows.get(key);
	}

	scan(prefix: string, limit = defaultScanLimit, after = ''): TableRow[] {
		const keys = [...this.#rows.keys()].filter(key => key.startsWith(prefix) && key > after);
		return keys.toSorted(compareKeys).slice(0, limit).map(key => this.#rows.get(key)!);
	}

	transact(transaction: Transaction): TableStoreResult {
		const failed = transaction.checks.filter(check => !this.#isSatisfied(check)).map(check => check.key);
		if (failed.length > 0) {
			return {failed};
		}

		const versions: Record<string, number> = {};
		for (const {key, value} of transaction.puts) {
			versions[key] = this.#put(key, value);
		}

		for (const key of transaction.deletes) {
			this.#rows.delete(key);
		}

		return {versions};
	}

	#isSatisfied({key, version}: TableCheck): boolean {
		return (this.#rows.get(key)?.version ?? null) === version;
	}

	#put(key: string, value: unknown): number {
		const version = (this.#lastVersions.get(key) ?? 0) + 1;
		this.#lastVersions.set(key, version);
		this.#rows.set(key, {key, version, value});
		return version;
	}
}

/** Compares keys by code unit, as the `after` filter of a scan does. */
export const compareKeys = (first: string, second: string): number => {
	if (first === second) {
		return 0;
	}

	return first < second ? -1 : 1;
};
