/**
 * The order rows of a planner's engines as it last read or wrote them, and the numbers that it has used.
 */
import {
	engineOrderKey, nextOrderNumber, parseOrderRow, type EngineOrderRow,
} from '@hawthorncleat/core';
import {transactWithReadBack, type Lease, type Table} from '@hawthorncleat/store';

/** A row, or its absence, with the version that a write has to check. */
export type KnownRow = {readonly version: number | null; readonly row: EngineOrderRow | undefined};

/** Whether an order is under way. */
export const isUnsettled = ({row}: KnownRow): boolean => row !== undefined && row.state !== 'settled';

/** Settled rows stay as they are until this planner writes again, so that they are read only once in a tenure. */
export class OrderRows {
	readonly #rows = new Map<string, KnownRow>();
	/** Rows that may have changed since they were read. */
	readonly #stale = new Set<string>();
	/** The highest number that is known of an engine: of its row or of an order of this planner. */
	readonly #numbers = new Map<string, number>();

	constructor(private readonly table: Table) {}

	/** Undefined if the row has not been read. */
	get(endpoint: string): KnownRow | undefined {
		return this.#rows.get(endpoint);
	}

	/** Forgets everything, because another planner may have written. */
	clear(): void {
		this.#rows.clear();
		this.#stale.clear();
		this.#numbers.clear();
	}

	async refresh(endpoint: string): Promise<void> {
		const known = this.#rows.get(endpoint);
		if (known && !isUnsettled(known) && !this.#stale.has(endpoint)) {
			return;
		}

		const found = await this.table.read(engineOrderKey(endpoint));
		const row = found && parseOrderRow(found.value);
		if (found && !row) {
			throw new TypeError(`malformed row ${found.key}`);
		}

		this.#rows.set(endpoint, {version: found?.version ?? null, row});
		this.#stale.delete(endpoint);
		this.#noteNumber(endpoint, row?.number ?? 0);
	}

	/** Notes that an order has ended without a row that shows it. */
	assumeSettled(endpoint: string): void {
		const known = this.#rows.get(endpoint);
		if (known?.row) {
			this.#rows.set(endpoint, {...known, row: {...known.row, state: 'settled'}});
			this.#stale.add(endpoint);
		}
	}

	/** Rule `epoch-numbers` of models/engine-orders.pml. */
	takeNumber(endpoint: string, {epoch}: Lease): number {
		const number = nextOrderNumber(epoch, this.#numbers.get(endpoint) ?? 0);
		this.#noteNumber(endpoint, number);
		return number;
	}

	/**
	 * Rule `order-write` of models/engine-orders.pml: one transaction checks the lease and that the row is still as read.
	 * Whatever becomes of the write, the next round reads the row again.
	 */
	async write(endpoint: string, row: EngineOrderRow, lease: Lease): Promise<boolean> {
		const key = engineOrderKey(endpoint);
		const version = this.#rows.get(endpoint)?.version ?? null;
		this.#stale.add(endpoint);
		const result = await transactWithReadBack(this.table, {
			writeId: row.writeId, checks: [lease.check(), {key, version}], puts: [{key, value: row}], deletes: [],
		}, {key, isOwnWrite: value => parseOrderRow(value)?.writeId === row.writeId});
		if (result.kind === 'unknown' || result.kind === 'not-written') {
			throw result.error;
		}

		return result.kind === 'written';
	}

	#noteNumber(endpoint: string, number: number): void {
		this.#numbers.set(endpoint, Math.max(number, this.#numbers.get(endpoint) ?? 0));
	}
}
