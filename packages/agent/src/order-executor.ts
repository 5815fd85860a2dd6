/**
 * Carries out orders to the engine under the rules in `engine-orders.ts` of core: reads and writes the order row, waits
 * for running work, sends the order and settles it.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	beginOrder,
	createRequestError,
	decideMessage,
	engineOrderKey,
	finishOrder,
	initialOrders,
	learnRow,
	markSettled,
	markStarted,
	mayExecute,
	maySettle,
	parseOrderRow,
	type EngineOrderRow,
	type EngineOrders,
	type MakeId,
} from '@hawthorncleat/core';
import {isStoreError, type Table} from '@hawthorncleat/platform';
import type {EngineOrderResult, EngineState} from '@hawthorncleat/schema';
import type {Log} from '@hawthorncleat/telemetry';
import type {EngineClient} from './engine-client.js';
import {unavailable} from './refusals.js';

const retryIntervalMs = 500;
const statePollMs = 100;

type VersionedRow = {readonly version: number; readonly row: EngineOrderRow};
type WriteResult = 'written' | 'conflict';

export type OrderExecutorOptions = {
	readonly endpoint: string;
	readonly incarnation: string;
	readonly table: Table;
	readonly engine: EngineClient;
	readonly makeId: MakeId;
	readonly log: Log;
	readonly signal: AbortSignal;
	/** Asks the engine for its state; undefined while it does not answer. */
	readonly probe: () => Promise<EngineState | undefined>;
	/** Settles when nothing runs or waits at the engine; called after `isExecuting` became true. */
	readonly whenIdle: () => Promise<void>;
	/** Called after `isExecuting` has changed. */
	readonly onExecuting: () => void;
};

/** The orders of one engine. */
export class OrderExecutor {
	#orders: EngineOrders = initialOrders;
	#isStarting = false;

	constructor(private readonly options: OrderExecutorOptions) {}

	/** Whether new work is refused because of an order. */
	get isExecuting(): boolean {
		return this.#orders.phase === 'executing';
	}

	/** Rules 2 and 3. The slot port has to be held. Work may run meanwhile; orders may not. */
	async initialise(): Promise<void> {
		const found = await this.#readUntilAnswered();
		this.#become(learnRow(found?.row));
		if (found && this.#orders.phase === 'settling') {
			this.options.log.info('settling an unfinished engine order', {number: found.row.number, state: found.row.state});
			await this.#settle(found);
		}
	}

	/** Answers an order message: `started` once the row says so, while the execution goes on. */
	async receive(orderNumber: number): Promise<EngineOrderResult> {
		const decision = decideMessage(this.#orders, orderNumber);
		if (decision === 'not-ready' || this.#isStarting) {
			throw unavailable('orders-unavailable', 'the order row has not been read or is being written');
		}

		if (decision === 'running') {
			return {state: 'started'};
		}

		if (decision !== 'read-row') {
			return {state: decision};
		}

		this.#isStarting = true;
		try {
			return await this.#startOrder();
		} finally {
			this.#isStarting = false;
		}
	}

	#become(orders: EngineOrders): void {
		const wasExecuting = this.isExecuting;
		this.#orders = orders;
		if (this.isExecuting !== wasExecuting) {
			this.options.onExecuting();
		}
	}

	async #startOrder(): Promise<EngineOrderResult> {
		const found = await this.#read().catch((error: unknown) => {
			throw this.#tableUnavailable(error);
		});
		if (!found || !mayExecute(this.#orders, found.row)) {
			return {state: 'ignored'};
		}

		const started = markStarted(found.row, this.options.incarnation, this.options.makeId());
		// A write without an answer may have taken effect, and a started order has to be finished.
		const result = await this.#write(found.version, started);
		if (result === 'conflict') {
			return {state: 'ignored'};
		}

		this.#become(beginOrder(this.#orders, found.row));
		this.options.log.info('engine order started', {number: started.number, role: started.role});
		void this.#execute({version: found.version + 1, row: started}).catch((error: unknown) => {
			if (!this.options.signal.aborted) {
				this.options.log.error('engine order failed inside the agent', {number: started.number, error: String(error)});
			}
		});
		return {state: 'started'};
	}

	async #execute(order: VersionedRow): Promise<void> {
		const {whenIdle, engine, log, signal} = this.options;
		const {number, role} = order.row;
		await whenIdle();
		if (signal.aborted) {
			return;
		}

		try {
			const status = await engine.order({orderNumber: number, role});
			if (status !== 200) {
				log.warn('engine refused an order', {number, status});
			}
		} catch (error) {
			// The engine may have received it; its state decides.
			log.warn('engine gave no answer to an order', {number, error: String(error)});
		}

		await this.#settle(order);
		if (!signal.aborted) {
			log.info('engine order settled', {number, role});
		}
	}

	/** Waits until the engine changes nothing, then settles the row. */
	async #settle({version, row}: VersionedRow): Promise<void> {
		const {probe, signal, makeId, log} = this.options;
		while (!signal.aborted && !maySettle(await probe())) {
			await this.#pause(statePollMs);
		}

		if (signal.aborted) {
			return;
		}

		const result = await this.#write(version, markSettled(row, makeId()));
		if (result === 'conflict' && !signal.aborted) {
			log.error('the row of a started engine order was changed by another process', {number: row.number});
			await this.initialise();
			return;
		}

		this.#become(finishOrder(this.#orders));
	}

	/** Writes until the table tells whether the write took effect. */
	async #write(version: number, row: EngineOrderRow): Promise<WriteResult> {
		const key = engineOrderKey(this.options.endpoint);
		for (;;) {
			try {
				const result = await this.options.table.transact({
					writeId: row.writeId, checks: [{key, version}], puts: [{key, value: row}], deletes: [],
				});
				// After an attempt whose answer was lost, a failed check can mean that the earlier attempt succeeded.
				return result.ok || await this.#isWritten(row.writeId) ? 'written' : 'conflict';
			} catch (error) {
				if (!isStoreError(error) || this.options.signal.aborted) {
					throw error;
				}
			}

			await this.#pause(retryIntervalMs);
		}
	}

	async #isWritten(writeId: string): Promise<boolean> {
		const found = await this.#readUntilAnswered();
		return found?.row.writeId === writeId;
	}

	async #readUntilAnswered(): Promise<VersionedRow | undefined> {
		for (;;) {
			try {
				return await this.#read();
			} catch (error) {
				this.options.signal.throwIfAborted();
				if (!isStoreError(error)) {
					this.options.log.error('cannot read the engine order row', {error: String(error)});
				}
			}

			await this.#pause(retryIntervalMs);
		}
	}

	async #read(): Promise<VersionedRow | undefined> {
		const found = await this.options.table.read(engineOrderKey(this.options.endpoint));
		if (!found) {
			return undefined;
		}

		const row = parseOrderRow(found.value);
		if (!row) {
			throw new Error(`malformed row ${found.key}`);
		}

		return {version: found.version, row};
	}

	#tableUnavailable(error: unknown): Error {
		return createRequestError('the order row cannot be read', {code: 'orders-unavailable', ran: 'not-run', status: 503}, error);
	}

	async #pause(durationMs: number): Promise<void> {
		await delay(durationMs, undefined, {signal: this.options.signal});
	}
}
