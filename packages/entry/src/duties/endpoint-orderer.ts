/**
 * Sends the endpoint orders of one data centre while its lease is held. An order is written as an intent under the check of
 * the lease before it is sent; what became of a send is read from the platform's list of orders.
 */
import type {Clock, MakeId} from '@hawthorncleat/core';
import {
	transactWithReadBack, type EndpointOrdersClient, type Lease, type Table,
} from '@hawthorncleat/store';
import type {EndpointOrder} from '@hawthorncleat/schema';
import type {Log} from '@hawthorncleat/telemetry';
import type {DutyMetrics} from './duty-metrics.js';
import {
	intentKey, orderStateKey, readOpenOrders, type OpenOrders, type OrderIntent,
} from './order-intents.js';
import {ProgressLog} from './progress-log.js';
import {runRounds} from './run-rounds.js';

// Endpoints take minutes to arrive, so that faster rounds would only repeat reads.
const roundPauseMs = 10_000;
/** An add without an effect for five lead times of 4 min is given up; until then it counts as supply. */
const arrivalLimitMs = 1_200_000;
const orderIdDigits = 8;

/** A new order, without its id. */
export type NewOrder = Pick<EndpointOrder, 'endpoint' | 'kind' | 'serves'>;

export type EndpointOrdererOptions = {
	readonly dataCentre: string;
	readonly table: Table;
	readonly orders: EndpointOrdersClient;
	readonly clock: Clock;
	readonly makeId: MakeId;
	/** Live endpoints of a service in the data centre, by the host list. */
	readonly live: (service: string) => readonly string[];
	/** Decides on new orders; the open ones count as done. */
	readonly plan: (open: readonly OrderIntent[]) => Promise<readonly NewOrder[]>;
	readonly metrics: DutyMetrics;
	readonly log: Log;
	readonly pauseMs?: number;
};

/** The duty of one data centre. */
export class EndpointOrderer {
	readonly #options: EndpointOrdererOptions;
	/** When this process first saw an intent; no other host's clock is compared. */
	readonly #seenMs = new Map<string, number>();
	readonly #progress: ProgressLog;

	constructor(options: EndpointOrdererOptions) {
		this.#options = options;
		const {log, dataCentre} = options;
		this.#progress = new ProgressLog({
			log, fields: {dataCentre}, failing: 'endpoint orders are delayed', recovered: 'endpoint orders continue',
		});
	}

	/** Runs rounds until `signal` aborts. */
	readonly run = async (lease: Lease, signal: AbortSignal): Promise<void> => {
		await runRounds({
			round: async () => this.round(lease),
			pauseMs: this.#options.pauseMs ?? roundPauseMs,
			progress: this.#progress,
		}, signal);
	};

	/** Settles what was ordered before, then orders what is missing. */
	async round(lease: Lease): Promise<void> {
		const {table, dataCentre, plan} = this.#options;
		const before = await readOpenOrders(table, dataCentre);
		const settled = await this.#settle(before.intents, lease);
		if (!await this.#write(lease, before, settled)) {
			return;
		}

		const open = await readOpenOrders(table, dataCentre);
		const missing = await plan(open.intents);
		const added = missing.map((order, index) => this.#createIntent(order, open.state.nextNumber + index, lease));
		if (added.length > 0 && await this.#write(lease, open, [...open.intents, ...added])) {
			this.#noteOrders(added);
			await this.#send(added, lease);
		}
	}

	#createIntent(order: NewOrder, number: number, lease: Lease): OrderIntent {
		const {dataCentre, live} = this.#options;
		const orderId = `${dataCentre}-${String(number).padStart(orderIdDigits, '0')}`;
		return {
			order: {orderId, dataCentre, ...order}, epoch: lease.epoch, state: 'written', known: live(order.serves),
		};
	}

	/** Intents with their new states. Those that the platform does not list are sent again, with the same id and content. */
	async #settle(intents: readonly OrderIntent[], lease: Lease): Promise<OrderIntent[]> {
		const {orders, dataCentre} = this.#options;
		if (intents.length === 0) {
			return [];
		}

		const list = await orders.list(dataCentre);
		const listed = new Set(list.map(({orderId}) => orderId));
		const missing = intents.filter(({order}) => !listed.has(order.orderId));
		await this.#send(missing, lease);
		const current = intents.map(intent => missing.includes(intent) ? intent : {...intent, state: 'confirmed' as const});
		return this.#noteEffects(current);
	}

	/** Each new endpoint is the effect of one add, the oldest that is open. */
	#noteEffects(intents: readonly OrderIntent[]): OrderIntent[] {
		const taken = new Map<string, string[]>();
		const result = intents.map(intent => {
			const {serves, kind, endpoint} = intent.order;
			const live = this.#options.live(serves);
			const takenHere = taken.get(serves) ?? [];
			const arrived = live.find(id => !intent.known.includes(id) && !takenHere.includes(id));
			const isDone = kind === 'add' ? arrived !== undefined : !live.includes(endpoint ?? '');
			if (intent.state !== 'confirmed' || !(isDone || this.#isGivenUp(intent))) {
				return intent;
			}

			if (kind === 'add' && arrived !== undefined) {
				taken.set(serves, [...takenHere, arrived]);
			}

			return {...intent, state: 'done' as const};
		});
		return result.map(intent => ({...intent, known: [...new Set([...intent.known, ...taken.get(intent.order.serves) ?? []])]}));
	}

	#isGivenUp({order}: OrderIntent): boolean {
		const nowMs = this.#options.clock.nowMs();
		const seenMs = this.#seenMs.get(order.orderId) ?? nowMs;
		this.#seenMs.set(order.orderId, seenMs);
		const isGivenUp = nowMs - seenMs >= arrivalLimitMs;
		if (isGivenUp) {
			this.#options.log.warn('endpoint order has had no effect', {orderId: order.orderId});
		}

		return isGivenUp;
	}

	async #send(intents: readonly OrderIntent[], lease: Lease): Promise<void> {
		for (const {order} of intents) {
			await this.#options.orders.send(order, {maySend: lease.isHeld});
		}
	}

	/** Replaces the open intents; false if another process has taken the lease or written the state. */
	async #write(lease: Lease, {version, state, intents: before}: OpenOrders, intents: readonly OrderIntent[]): Promise<boolean> {
		const {table, dataCentre, makeId} = this.#options;
		const changed = intents.filter(intent => !before.some(other => JSON.stringify(other) === JSON.stringify(intent)));
		if (changed.length === 0) {
			return true;
		}

		const key = orderStateKey(dataCentre);
		const writeId = makeId();
		const open = intents.filter(intent => intent.state !== 'done').map(({order}) => order.orderId);
		const value = {nextNumber: state.nextNumber + intents.length - before.length, open, writeId};
		const result = await transactWithReadBack(table, {
			writeId,
			checks: [lease.check(), {key, version}],
			puts: [{key, value}, ...changed.map(intent => ({key: intentKey(dataCentre, intent.order.orderId), value: intent}))],
			deletes: [],
		}, {key, isOwnWrite: other => (other as {writeId?: string} | null)?.writeId === writeId});
		if (result.kind === 'unknown' || result.kind === 'not-written') {
			throw result.error;
		}

		return result.kind === 'written';
	}

	#noteOrders(intents: readonly OrderIntent[]): void {
		const {metrics, log} = this.#options;
		for (const {order} of intents) {
			metrics.endpointOrders.inc({kind: order.kind});
			log.info('endpoint ordered', {...order});
		}
	}
}
