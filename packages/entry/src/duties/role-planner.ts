/**
 * Plans the roles of the engines of one service in one data centre while its lease is held. An order is a table row, written
 * in a transaction that checks the lease; the message to the agent carries only its number. During a table outage, while the
 * witnesses attest the holder, the message carries the order itself.
 */
import {
	countRoles,
	defaultRolePlanOptions,
	isRequestError,
	planRoles,
	sumRoles,
	type CapacityModel,
	type Clock,
	type EngineOrderRole,
	type MakeId,
	type OrderConfirmation,
	type PlannedEngine,
	type RoleChange,
	type RoleCounts,
	type RolePlanMemory,
	type TokenDemand,
} from '@hawthorncleat/core';
import type {Lease, Table} from '@hawthorncleat/store';
import type {EngineOrderParams, EngineOrderResult, OrderConfirmParams} from '@hawthorncleat/schema';
import type {Log} from '@hawthorncleat/telemetry';
import type {DutyMetrics} from './duty-metrics.js';
import {isUnsettled, OrderRows} from './order-rows.js';
import {OutageOrders, type OpenOrder, type OrderAnswer} from './outage-orders.js';
import {ProgressLog} from './progress-log.js';
import {runRounds} from './run-rounds.js';

// Plans rest on load reports, which come once a second.
const roundPauseMs = 1000;

/** Answers an agent that asks whether an order still stands. */
export type ConfirmSentOrder = (question: OrderConfirmParams) => OrderConfirmation;

/** An engine of the data centre that this entry is connected to. */
export type ManagedEngine = {
	readonly endpoint: string;
	/** The role that its agent reported last. */
	readonly role: EngineOrderRole;
	readonly cachedTokens: number;
	readonly runningTokens: number;
	/** Time of a decode step when half of its places are taken; absent until it is measured. */
	readonly decodeStepMs?: number;
	/** Sends an order to the agent. `confirm` answers the agent's question about an order that has no row. */
	readonly sendOrder: (order: EngineOrderParams, confirm?: ConfirmSentOrder) => Promise<EngineOrderResult | undefined>;
};

export type RolePlannerOptions = {
	readonly service: string;
	readonly table: Table;
	readonly clock: Clock;
	readonly makeId: MakeId;
	readonly engines: () => readonly ManagedEngine[];
	/** Roles of the service's engines in other data centres. */
	readonly elsewhere: () => RoleCounts;
	/** Undefined while the speeds of the engines are not known. */
	readonly model: () => CapacityModel | undefined;
	readonly demand: () => TokenDemand;
	/** Position of the data centre among those of the region. */
	readonly rank: () => number;
	readonly metrics: DutyMetrics;
	readonly log: Log;
	readonly pauseMs?: number;
};

/** The duty of one service in one data centre. */
export class RolePlanner {
	readonly #options: RolePlannerOptions;
	readonly #rows: OrderRows;
	readonly #outage: OutageOrders;
	#memory: RolePlanMemory = {};
	readonly #progress: ProgressLog;

	constructor(options: RolePlannerOptions) {
		this.#options = options;
		this.#rows = new OrderRows(options.table);
		this.#outage = new OutageOrders(options.clock);
		const {log, service} = options;
		this.#progress = new ProgressLog({
			log, fields: {service}, failing: 'roles are not planned', recovered: 'roles are planned again',
		});
	}

	/** Runs rounds until `signal` aborts. */
	readonly run = async (lease: Lease, signal: AbortSignal): Promise<void> => {
		this.#forget();
		await runRounds({
			round: async () => this.round(lease),
			pauseMs: this.#options.pauseMs ?? roundPauseMs,
			progress: this.#progress,
		}, signal);
		// Nothing is confirmed after the end of a tenure.
		this.#outage.clear();
	};

	/** Follows the orders under way, sends them again if their message was lost, and gives at most one new order. */
	async round(lease: Lease): Promise<void> {
		const model = this.#options.model();
		if (!model) {
			return;
		}

		switch (lease.authority()) {
			case 'table': {
				await this.#roundWithTable(lease, model);
				break;
			}

			case 'outage': {
				await this.#roundInOutage(lease, model);
				break;
			}

			case 'none': {
				break;
			}
		}
	}

	/** Another planner may have written since the last tenure. */
	#forget(): void {
		this.#rows.clear();
		this.#outage.clear();
		this.#memory = {};
	}

	async #roundWithTable(lease: Lease, model: CapacityModel): Promise<void> {
		const engines = this.#options.engines();
		await Promise.all(engines.map(async ({endpoint}) => this.#rows.refresh(endpoint)));
		await this.#resend(engines, lease);
		await this.#plan(model, engines, [], async change => this.#order(lease, engines, change));
	}

	/** Plans with the rows that are known and the orders that were sent; other engines keep their roles. */
	async #roundInOutage(lease: Lease, model: CapacityModel): Promise<void> {
		const engines = this.#options.engines();
		await Promise.all(engines.map(async engine => this.#followUp(engine, lease)));
		const mayOrder = ({endpoint}: ManagedEngine): boolean =>
			this.#rows.get(endpoint) !== undefined && !this.#outage.isRefused(endpoint);
		const planned = engines.filter(engine => mayOrder(engine));
		const fixed = engines.filter(engine => !mayOrder(engine));
		await this.#plan(model, planned, fixed, async change => this.#orderInOutage(lease, planned, change));
	}

	/** `fixed` are engines whose roles count but stay. */
	async #plan(
		model: CapacityModel,
		engines: readonly ManagedEngine[],
		fixed: readonly ManagedEngine[],
		order: (change: RoleChange) => Promise<void>,
	): Promise<void> {
		const {change, memory} = planRoles({
			nowMs: this.#options.clock.nowMs(),
			model,
			engines: engines.map(engine => this.#describe(engine)),
			otherEngines: sumRoles([this.#options.elsewhere(), countRoles(fixed.map(({role}) => role))]),
			demand: this.#options.demand(),
			rank: this.#options.rank(),
			memory: this.#memory,
			options: defaultRolePlanOptions,
		});
		if (change) {
			await order(change);
		}

		this.#memory = memory;
	}

	/** An order that no agent has started may have lost its message, or its planner. Sending it again has no further effect. */
	async #resend(engines: readonly ManagedEngine[], lease: Lease): Promise<void> {
		const waiting = engines.filter(({endpoint}) => this.#rows.get(endpoint)?.row?.state === 'written');
		await Promise.all(waiting.map(async engine => {
			if (lease.isHeld()) {
				await this.#send(engine, {orderNumber: this.#rows.get(engine.endpoint)!.row!.number});
			}
		}));
	}

	/** Sends an order; its row or the next answer tells what became of it if this answer is lost. */
	async #send({endpoint, sendOrder}: ManagedEngine, order: EngineOrderParams, confirm?: ConfirmSentOrder): Promise<OrderAnswer> {
		try {
			const result = await sendOrder(order, confirm);
			return result?.state;
		} catch (error) {
			const {orderNumber} = order;
			this.#options.log.debug('engine order not confirmed', {endpoint, orderNumber, error: String(error)});
			const isRefused = isRequestError(error) && error.ran === 'not-run' && error.code !== 'connection-closed';
			return isRefused ? 'refused' : undefined;
		}
	}

	/** Asks the agent what became of the order under way, since the row cannot tell. */
	async #followUp(engine: ManagedEngine, lease: Lease): Promise<void> {
		const {endpoint} = engine;
		const open = this.#outage.get(endpoint);
		if (open) {
			await this.#sendInOutage(lease, engine, open);
			return;
		}

		const known = this.#rows.get(endpoint);
		if (!known?.row || !isUnsettled(known)) {
			return;
		}

		const answer = await this.#send(engine, {orderNumber: known.row.number});
		// An order that the agent cannot start without the table is superseded by one with a higher number.
		const hasEnded = answer === 'settled' || (known.row.state === 'written' && (answer === 'refused' || answer === 'ignored'));
		if (hasEnded) {
			this.#rows.assumeSettled(endpoint);
		} else if (answer === 'refused') {
			this.#outage.refuse(endpoint);
		}
	}

	#describe({endpoint, role, cachedTokens, runningTokens, decodeStepMs}: ManagedEngine): PlannedEngine {
		const known = this.#rows.get(endpoint);
		const underWay = this.#outage.get(endpoint) ?? (known !== undefined && isUnsettled(known) ? known.row : undefined);
		return {
			id: endpoint, role: underWay?.role ?? role, isChanging: underWay !== undefined, cachedTokens, runningTokens, decodeStepMs,
		};
	}

	async #order(lease: Lease, engines: readonly ManagedEngine[], {endpoint, role, gain, cost}: RoleChange): Promise<void> {
		const engine = engines.find(candidate => candidate.endpoint === endpoint);
		const known = this.#rows.get(endpoint);
		// Rule 6 of the orders: a new order follows a settled one.
		if (!engine || !known || isUnsettled(known) || role === 'service') {
			return;
		}

		const number = this.#rows.takeNumber(endpoint, lease);
		const isWritten = await this.#rows.write(endpoint, {
			number, epoch: lease.epoch, role, state: 'written', startedBy: '', writeId: this.#options.makeId(),
		}, lease);
		if (isWritten) {
			this.#options.metrics.roleOrders.inc({role});
			this.#options.log.info('engine role ordered', {
				endpoint, number, role, gain, cost,
			});
			if (lease.isHeld()) {
				await this.#send(engine, {orderNumber: number});
			}
		}
	}

	async #orderInOutage(lease: Lease, engines: readonly ManagedEngine[], {endpoint, role, gain, cost}: RoleChange): Promise<void> {
		const engine = engines.find(candidate => candidate.endpoint === endpoint);
		if (!engine || role === 'service' || lease.authority() !== 'outage') {
			return;
		}

		const order: OpenOrder = {number: this.#rows.takeNumber(endpoint, lease), role};
		this.#outage.add(endpoint, order);
		this.#options.metrics.roleOrders.inc({role});
		this.#options.log.info('engine role ordered without the table', {
			endpoint, number: order.number, role, gain, cost,
		});
		await this.#sendInOutage(lease, engine, order);
	}

	async #sendInOutage(lease: Lease, engine: ManagedEngine, {number, role}: OpenOrder): Promise<void> {
		const {endpoint} = engine;
		const {duty, epoch} = lease;
		const answer = await this.#send(
			engine,
			{orderNumber: number, outage: {duty, epoch, role}},
			question => this.#outage.confirm(endpoint, question, lease),
		);
		this.#outage.noteAnswer(endpoint, number, answer);
	}
}
