/**
 * The orders that a planner has sent during a table outage, which leave no row. One at a time for each engine; the agent
 * asks back before it sends one to its engine, and each number is confirmed once.
 */
import type {Clock, EngineOrderRole, OrderConfirmation} from '@hawthorncleat/core';
import type {Lease} from '@hawthorncleat/store';
import type {EngineOrderResult, OrderConfirmParams} from '@hawthorncleat/schema';

// An agent that has not read its row, or whom the table answers, takes no order of an outage. It is asked again after three
// times the interval between two changes, so that other engines get their turn.
const refusalPauseMs = 30_000;
const notConfirmed: OrderConfirmation = {confirmed: false, validForMs: 0};

/** An order that its agent may still carry out. */
export type OpenOrder = {readonly number: number; readonly role: Exclude<EngineOrderRole, 'service'>};

/** What an agent answered to an order; undefined if its answer is not known. */
export type OrderAnswer = EngineOrderResult['state'] | 'refused' | undefined;

/** The orders of one outage by endpoint. */
export class OutageOrders {
	readonly #open = new Map<string, OpenOrder & {readonly isConfirmed: boolean}>();
	/** When an agent refused an order last. */
	readonly #refusedMs = new Map<string, number>();

	constructor(private readonly clock: Clock) {}

	get(endpoint: string): OpenOrder | undefined {
		return this.#open.get(endpoint);
	}

	/** Whether the agent refused an order a short time ago. */
	isRefused(endpoint: string): boolean {
		const refusedMs = this.#refusedMs.get(endpoint);
		return refusedMs !== undefined && this.clock.nowMs() - refusedMs < refusalPauseMs;
	}

	add(endpoint: string, order: OpenOrder): void {
		this.#open.set(endpoint, {...order, isConfirmed: false});
	}

	/** An order that has ended or was not taken is closed, and never confirmed from then on. */
	noteAnswer(endpoint: string, number: number, answer: OrderAnswer): void {
		if (answer === undefined || answer === 'started' || this.#open.get(endpoint)?.number !== number) {
			return;
		}

		this.#open.delete(endpoint);
		if (answer !== 'settled') {
			this.refuse(endpoint);
		}
	}

	refuse(endpoint: string): void {
		this.#refusedMs.set(endpoint, this.clock.nowMs());
	}

	/**
	 * Rules `confirm` and `one-unconfirmed` of models/engine-orders.pml. An agent that asks again has not sent the order, so
	 * that it may be closed.
	 */
	confirm(endpoint: string, {duty, epoch, orderNumber}: OrderConfirmParams, lease: Lease): OrderConfirmation {
		const order = this.#open.get(endpoint);
		if (order?.number !== orderNumber || duty !== lease.duty || epoch !== lease.epoch) {
			return notConfirmed;
		}

		if (order.isConfirmed || lease.authority() !== 'outage') {
			this.#open.delete(endpoint);
			return notConfirmed;
		}

		this.#open.set(endpoint, {...order, isConfirmed: true});
		return {confirmed: true, validForMs: lease.remainingAuthorityMs()};
	}

	clear(): void {
		this.#open.clear();
		this.#refusedMs.clear();
	}
}
