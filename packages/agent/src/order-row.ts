/**
 * Reads and writes the order row of one engine, through failures of the table.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	engineOrderKey, parseOrderRow, recordFinishedOrder, type IssuedOrder, type EngineOrderRow, type MakeId,
} from '@hawthorncleat/core';
import {isStoreError, type Table} from '@hawthorncleat/store';
import type {Log} from '@hawthorncleat/telemetry';

const retryIntervalMs = 500;

/** A row with its version. */
export type VersionedRow = {readonly version: number; readonly row: EngineOrderRow};

export type WriteResult = 'written' | 'conflict';

export type OrderRowOptions = {
	readonly endpoint: string;
	readonly incarnation: string;
	readonly table: Table;
	readonly makeId: MakeId;
	readonly log: Log;
	readonly signal: AbortSignal;
};

/** The row `engine-order/<endpoint>`. */
export class OrderRow {
	readonly #key: string;
	/** The last order that the engine finished, until the row shows it. */
	#unrecorded: IssuedOrder | undefined;
	#isRecording = false;

	constructor(private readonly options: OrderRowOptions) {
		this.#key = engineOrderKey(options.endpoint);
	}

	/** Reads once; rejects with a store error if the table does not answer. */
	async read(): Promise<VersionedRow | undefined> {
		const found = await this.options.table.read(this.#key);
		if (!found) {
			return undefined;
		}

		const row = parseOrderRow(found.value);
		if (!row) {
			throw new Error(`malformed row ${found.key}`);
		}

		return {version: found.version, row};
	}

	/** Whether the table answers. A malformed row is an answer as well. */
	async isReadable(): Promise<boolean> {
		try {
			await this.read();
			return true;
		} catch (error) {
			return !isStoreError(error);
		}
	}

	async readUntilAnswered(): Promise<VersionedRow | undefined> {
		for (;;) {
			try {
				return await this.read();
			} catch (error) {
				this.options.signal.throwIfAborted();
				if (!isStoreError(error)) {
					this.options.log.error('cannot read the engine order row', {error: String(error)});
				}
			}

			await this.#pause();
		}
	}

	/** Writes until the table tells whether the write took effect. */
	async write(version: number | null, row: EngineOrderRow): Promise<WriteResult> {
		for (;;) {
			try {
				const result = await this.options.table.transact({
					writeId: row.writeId, checks: [{key: this.#key, version}], puts: [{key: this.#key, value: row}], deletes: [],
				});
				// After an attempt whose answer was lost, a failed check can mean that the earlier attempt succeeded.
				return result.ok || await this.#isWritten(row.writeId) ? 'written' : 'conflict';
			} catch (error) {
				if (!isStoreError(error) || this.options.signal.aborted) {
					throw error;
				}
			}

			await this.#pause();
		}
	}

	/**
	 * Rule `record` of models/engine-orders.pml: has the row show the last order, now or when the table is back. The engine
	 * takes work meanwhile.
	 */
	record(last: IssuedOrder | undefined): void {
		this.#unrecorded = last ?? this.#unrecorded;
		if (!this.#isRecording) {
			this.#isRecording = true;
			void this.#recordAll().catch((error: unknown) => {
				if (!this.options.signal.aborted) {
					this.options.log.error('engine order cannot be recorded', {error: String(error)});
				}
			});
		}
	}

	async #recordAll(): Promise<void> {
		try {
			while (this.#unrecorded) {
				const last = this.#unrecorded;
				const isRecorded = await this.#recordOnce(last);
				if (isRecorded && this.#unrecorded === last) {
					this.#unrecorded = undefined;
				}
			}
		} finally {
			this.#isRecording = false;
		}
	}

	/** False if another process changed the row meanwhile. */
	async #recordOnce(last: IssuedOrder): Promise<boolean> {
		const {incarnation, makeId, log} = this.options;
		const found = await this.readUntilAnswered();
		const row = recordFinishedOrder(found?.row, last, incarnation, makeId());
		if (!row) {
			return true;
		}

		const result = await this.write(found?.version ?? null, row);
		if (result === 'written') {
			log.info('engine order settled', {number: row.number, role: row.role});
		}

		return result === 'written';
	}

	async #isWritten(writeId: string): Promise<boolean> {
		const found = await this.readUntilAnswered();
		return found?.row.writeId === writeId;
	}

	async #pause(): Promise<void> {
		await delay(retryIntervalMs, undefined, {signal: this.options.signal});
	}
}
