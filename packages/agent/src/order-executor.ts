/**
 * Carries out orders to the engine under the rules in `engine-orders.ts` of core: reads and writes the order row, waits
 * for running work, sends the order and settles it. During a table outage the planner's confirmation stands in for the row.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	beginOrder,
	beginOutageOrder,
	createRequestError,
	decideOrderMessage,
	dropOrder,
	findLastOrder,
	finishOrder,
	initialOrderState,
	restoreOrderState,
	markStarted,
	mayExecute,
	mayExecuteInOutage,
	maySendInOutage,
	mayResolveOrder,
	type EngineOrderRole,
	type Clock,
	type IssuedOrder,
	type AgentOrderState,
	type OrderConfirmation,
} from '@hawthorncleat/core';
import type {
	EngineOrderParams, EngineOrderResult, EngineState, OrderConfirmParams, OutageOrder,
} from '@hawthorncleat/schema';
import type {EngineClient} from './engine-client.js';
import {OrderRow, type OrderRowOptions} from './order-row.js';
import {unavailable} from './refusals.js';

const statePollMs = 100;

/** Asks the planner that sent an order whether it still stands. */
export type ConfirmOrder = (question: OrderConfirmParams) => Promise<OrderConfirmation>;

export type OrderExecutorOptions = OrderRowOptions & {
	readonly engine: EngineClient;
	readonly clock: Clock;
	/** Asks the engine for its state; undefined while it does not answer. */
	readonly probe: () => Promise<EngineState | undefined>;
	/** Settles when nothing runs or waits at the engine; called after `isExecuting` became true. */
	readonly whenIdle: () => Promise<void>;
	/** Called after `isExecuting` has changed. */
	readonly onExecuting: () => void;
};

/** The orders of one engine. */
export class OrderExecutor {
	readonly #row: OrderRow;
	#orders: AgentOrderState = initialOrderState;
	/** Number of an order whose row is being read or written. */
	#starting: number | undefined;
	/** The last order that the engine finished. */
	#last: IssuedOrder | undefined;
	#orderedRole: EngineOrderRole | undefined;

	constructor(private readonly options: OrderExecutorOptions) {
		this.#row = new OrderRow(options);
	}

	/** Whether new work is refused because of an order. */
	get isExecuting(): boolean {
		return this.#orders.phase === 'executing';
	}

	/** The role that the order under way leads to. */
	get orderedRole(): EngineOrderRole | undefined {
		return this.isExecuting ? this.#orderedRole : undefined;
	}

	/**
	 * Rules 2 and 3. The slot port has to be held. Work may run meanwhile; orders may not. The engine is asked first, because
	 * an order of an outage leaves no row.
	 */
	async initialise(): Promise<void> {
		const engine = await this.#waitUntilUnchanging();
		const found = await this.#row.readUntilAnswered();
		if (found && found.row.state !== 'settled') {
			this.options.log.info('settling an unfinished engine order', {number: found.row.number, state: found.row.state});
		}

		this.#become(restoreOrderState(found?.row, engine));
		this.#last = findLastOrder(found?.row, engine);
		this.#row.record(this.#last);
	}

	/** Answers an order message: `started` once the row says so or the agent has taken it, while the execution goes on. */
	async receive({orderNumber, outage}: EngineOrderParams, confirm: ConfirmOrder): Promise<EngineOrderResult> {
		const decision = decideOrderMessage(this.#orders, orderNumber);
		if (decision === 'running' || (orderNumber === this.#starting)) {
			return {state: 'started'};
		}

		if (decision === 'not-ready' || this.#starting !== undefined) {
			throw unavailable('orders-unavailable', 'the order row has not been read or is being written');
		}

		if (decision !== 'read-row') {
			this.#recordSuperseded();
			return {state: decision};
		}

		this.#starting = orderNumber;
		try {
			return await (outage ? this.#startInOutage(orderNumber, outage, confirm) : this.#startOrder());
		} finally {
			this.#starting = undefined;
		}
	}

	/** A row may have been written late, below the number of an order of an outage; it is never executed. */
	#recordSuperseded(): void {
		if (this.#orders.phase === 'idle') {
			this.#row.record(this.#last);
		}
	}

	#become(orders: AgentOrderState): void {
		const wasExecuting = this.isExecuting;
		this.#orders = orders;
		if (this.isExecuting !== wasExecuting) {
			this.options.onExecuting();
		}
	}

	async #startOrder(): Promise<EngineOrderResult> {
		const found = await this.#row.read().catch((error: unknown) => {
			throw createRequestError('the order row cannot be read', {code: 'orders-unavailable', ran: 'not-run', status: 503}, error);
		});
		if (!found || !mayExecute(this.#orders, found.row)) {
			return {state: 'ignored'};
		}

		const started = markStarted(found.row, this.options.incarnation, this.options.makeId());
		// A write without an answer may have taken effect, and a started order has to be finished.
		const result = await this.#row.write(found.version, started);
		if (result === 'conflict') {
			return {state: 'ignored'};
		}

		this.#orderedRole = found.row.role;
		this.#become(beginOrder(this.#orders, found.row));
		this.options.log.info('engine order started', {number: started.number, role: started.role});
		this.#inBackground(started, async () => {
			await this.options.whenIdle();
			this.options.signal.throwIfAborted();
			await this.#send(started);
		});
		return {state: 'started'};
	}

	/** Only while the table does not answer: otherwise the planner of the row decides. */
	async #startInOutage(number: number, {duty, epoch, role}: OutageOrder, confirm: ConfirmOrder): Promise<EngineOrderResult> {
		const order = {number, epoch, role};
		if (!mayExecuteInOutage(this.#orders, order) || await this.#row.isReadable()) {
			return {state: 'ignored'};
		}

		this.#orderedRole = role;
		this.#become(beginOutageOrder(this.#orders, order));
		this.options.log.info('engine order of a table outage started', {number, role, epoch});
		this.#inBackground(order, async () => this.#executeInOutage(order, async () => confirm({duty, epoch, orderNumber: number})));
		return {state: 'started'};
	}

	/** Rule `confirm` of models/engine-orders.pml. */
	async #executeInOutage(order: IssuedOrder, confirm: () => Promise<OrderConfirmation>): Promise<void> {
		const {whenIdle, clock, log, signal} = this.options;
		await whenIdle();
		signal.throwIfAborted();
		const askedMs = clock.nowMs();
		const answer = await confirm().catch((error: unknown) => {
			log.warn('the planner did not answer whether an order stands', {number: order.number, error: String(error)});
			return {confirmed: false, validForMs: 0};
		});
		signal.throwIfAborted();
		// The order is sent in the same synchronous step as this check.
		if (maySendInOutage(answer, clock.nowMs() - askedMs)) {
			await this.#send(order);
			return;
		}

		log.warn('engine order dropped because its planner did not confirm it in time', {number: order.number});
		this.#become(dropOrder(this.#orders));
	}

	/** Sends the order once, waits for its end and has the row show it. */
	async #send({number, epoch, role}: IssuedOrder): Promise<void> {
		const {engine, log} = this.options;
		try {
			const status = await engine.order({orderNumber: number, role});
			if (status !== 200) {
				log.warn('engine refused an order', {number, status});
			}
		} catch (error) {
			// The engine may have received it; its state decides.
			log.warn('engine gave no answer to an order', {number, error: String(error)});
		}

		await this.#waitUntilUnchanging();
		this.#last = {number, epoch, role};
		this.#row.record(this.#last);
		this.#become(finishOrder(this.#orders));
	}

	#inBackground({number}: IssuedOrder, work: () => Promise<void>): void {
		void work().catch((error: unknown) => {
			if (!this.options.signal.aborted) {
				this.options.log.error('engine order failed inside the agent', {number, error: String(error)});
			}
		});
	}

	/** Rule `settle` of models/engine-orders.pml. */
	async #waitUntilUnchanging(): Promise<EngineState> {
		const {probe, signal} = this.options;
		for (;;) {
			const state = await probe();
			signal.throwIfAborted();
			if (state && mayResolveOrder(state)) {
				return state;
			}

			await delay(statePollMs, undefined, {signal});
		}
	}
}
