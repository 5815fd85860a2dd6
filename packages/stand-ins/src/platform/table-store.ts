/**
 * The rows of the platform's table in memory. A transaction applies as a whole or not at all.
 */
import type {TableCheck, TableRow, Transaction} from '@hawthorncleat/schema';

/** Result of a transaction: the new versions, or the keys whose check failed. */
export type TableStoreResult = {readonly versions: Record<string, number>} | {readonly failed: string[]};

const defaultScanLimit = 1000;

/** In-memory rows with versions. */
export class TableStore {
	readonly #rows = new Map<string, TableRow>();
	// A deleted row keeps its last version, so that a check of an old version never matches a row created later.
	readonly #lastVersions = new Map<string, number>();

	read(key: string): TableRow | undefined {
		return this.#rows.get(key);
	}

	scan(prefix: string, limit = defaultScanLimit, after = ''): TableRow[] {
		const keys = [...this.#rows.keys()].filter(key => key.startsWith(prefix) && key > after);
		return keys.toSorted(compareKeys).slice(0, limit).map(key => this.#rows.get(key)!);
	}

	transact(transaction: Transaction): TableStoreResult {
		const failed = transaction.checks.filter(check => !this.#holds(check)).map(check => check.key);
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

	#holds({key, version}: TableCheck): boolean {
		return (this.#rows.get(key)?.version ?? null) === version;
	}

	#put(key: string, value: unknown): number {
		const version = (this.#lastVersions.get(key) ?? 0) + 1;
		this.#lastVersions.set(key, version);
		this.#rows.set(key, {key, version, value});
		return version;
	}
}

/** Orders keys by code unit, so that `after` and the order of a scan agree. */
export const compareKeys = (first: string, second: string): number => {
	if (first === second) {
		return 0;
	}

	return first < second ? -1 : 1;
};
