/**
 * An in-memory table that can return from a copy: what was written since then is lost, and versions are given out again. Each access
 * takes effect at once, so that a test decides when a request is carried out and when its answer arrives.
 */
import type {TableRow, Transaction} from '@hawthorncleat/schema';

/** The rows and the newest version at one moment. */
export type ReturningStoreCopy = {readonly rows: ReadonlyMap<string, TableRow>; readonly version: number};

type TransactionResult
	= | {readonly ok: true; readonly versions: Readonly<Record<string, number>>}
		| {readonly ok: false; readonly failed: readonly string[]};

export class ReturningStore {
	#rows = new Map<string, TableRow>();
	#version = 0;
	#generation = 0;

	/** How often the store has returned from a copy. */
	get generation(): number {
		return this.#generation;
	}

	read(key: string): TableRow | undefined {
		return this.#rows.get(key);
	}

	transact({checks, puts, deletes}: Transaction): TransactionResult {
		const failed = checks.filter(({key, version}) => (this.#rows.get(key)?.version ?? null) !== version).map(({key}) => key);
		if (failed.length > 0) {
			return {ok: false, failed};
		}

		this.#version += 1;
		for (const {key, value} of puts) {
			this.#rows.set(key, {key, value, version: this.#version});
		}

		for (const key of deletes) {
			this.#rows.delete(key);
		}

		return {ok: true, versions: Object.fromEntries(puts.map(({key}) => [key, this.#version]))};
	}

	takeCopy(): ReturningStoreCopy {
		return {rows: new Map(this.#rows), version: this.#version};
	}

	returnFrom({rows, version}: ReturningStoreCopy): void {
		this.#rows = new Map(rows);
		this.#version = version;
		this.#generation += 1;
	}
}
