/**
 * Plans the roles of the engines of one service in one data centre while its lease is held. An order is a table row, written
 * in a transaction that checks the lease; the message to the agent carries only its number.
 */
import {
	defaultRolePlanOptions,
	engineOrderKey,
	parseOrderRow,
	planRoles,
	type CapacityModel,
	type Clock,
	type EngineOrderRole,
	type EngineOrderRow,
	type MakeId,
	type PlannedEngine,
	type RoleChange,
	type RoleCounts,
	type RolePlanMemory,
	type TokenDemand,
} from '@hawthorncleat/core';
import {
	transactOnce, type Lease, type Table,
} from '@hawthorncleat/platform';
import type {Log} from '@hawthorncleat/telemetry';
import type {DutyMetrics} from './duty-metrics.js';
import {ProgressLog} from './progress-log.js';
import {runRounds} from './run-rounds.js';

// Plans rest on load reports, which come once a second.
const roundPauseMs = 1000;

/** An engine of the data centre that this entry is connected to. */
export type ManagedEngine = {
	readonly endpoint: string;
	/** The role that its agent reported last. */
	readonly role: EngineOrderRole;
	readonly cachedTokens: number;
	readonly runningTokens: number;
	/** Sends the number of an order to the agent. */
	readonly sendOrder: (orderNumber: number) => Promise<unknown>;
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

type KnownRow = {readonly version: number | null; readonly row: EngineOrderRow | undefined};

const isUnsettled = ({row}: KnownRow): boolean => row !== undefined && row.state !== 'settled';

/** The duty of one service in one data centre. */
export class RolePlanner {
	readonly #options: RolePlannerOptions;
	/** Settled rows stay as they are until this planner writes again, so that they are read only once. */
	#rows = new Map<string, KnownRow>();
	#memory: RolePlanMemory = {};
	readonly #progress: ProgressLog;

	constructor(options: RolePlannerOptions) {
		this.#options = options;
		const {log, service} = options;
		this.#progress = new ProgressLog({
			log, fields: {service}, failing: 'roles are not planned', recovered: 'roles are planned again',
		});
	}

	/** Runs rounds until `signal` aborts. */
	readonly run = async (lease: Lease, signal: AbortSignal): Promise<void> => {
		// Another planner may have written since the last tenure.
		this.#rows = new Map();
		this.#memory = {};
		await runRounds({
			round: async () => this.round(lease),
			pauseMs: this.#options.pauseMs ?? roundPauseMs,
			onSuccess: () => {
				this.#progress.succeeded();
			},
			onFailure: reason => {
				this.#progress.failed(reason);
			},
		}, signal);
	};

	/** Reads the orders under way, sends them again if their message was lost, and writes at most one new order. */
	async round(lease: Lease): Promise<void> {
		const model = this.#options.model();
		if (!model) {
			return;
		}

		const engines = this.#options.engines();
		await Promise.all(engines.map(async ({endpoint}) => this.#refresh(endpoint)));
		await this.#resend(engines, lease);
		const {change, memory} = planRoles({
			nowMs: this.#options.clock.nowMs(),
			model,
			engines: engines.map(engine => this.#describe(engine)),
			elsewhere: this.#options.elsewhere(),
			demand: this.#options.demand(),
			rank: this.#options.rank(),
			memory: this.#memory,
			options: defaultRolePlanOptions,
		});
		if (change) {
			await this.#order(lease, engines, change);
		}

		this.#memory = memory;
	}

	async #refresh(endpoint: string): Promise<void> {
		const known = this.#rows.get(endpoint);
		if (known && !isUnsettled(known)) {
			return;
		}

		const found = await this.#options.table.read(engineOrderKey(endpoint));
		const row = found && parseOrderRow(found.value);
		if (found && !row) {
			throw new TypeError(`malformed row ${found.key}`);
		}

		this.#rows.set(endpoint, {version: found?.version ?? null, row});
	}

	/** An order that no agent has started may have lost its message, or its planner. Sending it again has no further effect. */
	async #resend(engines: readonly ManagedEngine[], lease: Lease): Promise<void> {
		const waiting = engines.filter(({endpoint}) => this.#rows.get(endpoint)?.row?.state === 'written');
		await Promise.all(waiting.map(async engine => this.#send(engine, this.#rows.get(engine.endpoint)!.row!.number, lease)));
	}

	async #send({endpoint, sendOrder}: ManagedEngine, orderNumber: number, lease: Lease): Promise<void> {
		if (!lease.isHeld()) {
			return;
		}

		await sendOrder(orderNumber).catch((error: unknown) => {
			// The row tells whether the agent has started it; if not, the next round sends it again.
			this.#options.log.debug('engine order not confirmed', {endpoint, orderNumber, error: String(error)});
		});
	}

	#describe({endpoint, role, cachedTokens, runningTokens}: ManagedEngine): PlannedEngine {
		const known = this.#rows.get(endpoint);
		const changing = known !== undefined && isUnsettled(known);
		return {
			id: endpoint, role: changing ? known.row!.role : role, changing, cachedTokens, runningTokens,
		};
	}

	async #order(lease: Lease, engines: readonly ManagedEngine[], {endpoint, role, gain, cost}: RoleChange): Promise<void> {
		const engine = engines.find(candidate => candidate.endpoint === endpoint);
		const known = this.#rows.get(endpoint);
		// Rule 6 of the orders: a new order follows a settled one.
		if (!engine || !known || isUnsettled(known) || role === 'service') {
			return;
		}

		const number = (known.row?.number ?? 0) + 1;
		const isWritten = await this.#write(lease, endpoint, known, {
			number, epoch: lease.epoch, role, state: 'written', startedBy: '', writeId: this.#options.makeId(),
		});
		if (isWritten) {
			this.#options.metrics.roleOrders.inc({role});
			this.#options.log.info('engine role ordered', {
				endpoint, number, role, gain, cost,
			});
			await this.#send(engine, number, lease);
		}
	}

	/**
	 * Rule `order-write` of models/engine-orders.pml: one transaction checks the lease and that the row is still as read.
	 * Whatever becomes of the write, the next round reads the row again.
	 */
	async #write(lease: Lease, endpoint: string, {version}: KnownRow, row: EngineOrderRow): Promise<boolean> {
		const key = engineOrderKey(endpoint);
		this.#rows.delete(endpoint);
		const result = await transactOnce(this.#options.table, {
			writeId: row.writeId, checks: [lease.check(), {key, version}], puts: [{key, value: row}], deletes: [],
		}, {key, isOurs: value => parseOrderRow(value)?.writeId === row.writeId});
		if (result.kind === 'unknown' || result.kind === 'not-written') {
			throw result.error;
		}

		return result.kind === 'written';
	}
}
