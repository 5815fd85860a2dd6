/**
 * The duty of dividing the engines of each service between prefill and decode. It compares the demand of the last seconds with
 * the capacity of each role and orders role changes.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	balanceRoles, findNeededDecoders, findSpareDecoders, maxRoleChanges, pickRoleChange, RatePlace, referenceLoad, softwareVersionOf,
	type Clock, type EndpointId, type EndpointRole, type ForwardService, type RegisteredEndpoint, type RoleBalance, type RoleBalanceState, type RoleCandidate, type VersionedEngine,
} from '@hawthorncleat/core';
import type {Lease} from '@hawthorncleat/store';
import {createRequestLimits} from '../requests/attempt-helpers.js';
import {callEndpoint, type EndpointAnswer} from '../endpoints/call-endpoint.js';
import type {AnswerListener} from '../endpoints/endpoint-answer.js';
import type {EndpointPool, PooledEndpoint} from '../endpoints/endpoint-pool.js';
import type {LoadTracker} from '../endpoints/load-tracker.js';
import {withTimeLimit} from '../utils/time-limit.js';
import type {EncodedCall, EngineReport, WireFormat} from '../ports.js';
import type {RoleChange} from './role-changes.js';
import {measureRoleBalance, type DecodeUsage} from './role-demand.js';

export type RoleDutyOptions = {
	readonly clock: Clock;
	readonly wire: WireFormat;
	readonly answerListener: AnswerListener;
	readonly pool: EndpointPool;
	readonly load: LoadTracker;
	readonly holder: string;
	readonly services: () => readonly ForwardService[];
	readonly onOrder: (order: RoleOrderReport) => void;
	/** Called with an engine whose report cannot be read. It gets no order. */
	readonly onDamagedReport: (engine: RegisteredEndpoint) => void;
	/** The lease, while this entry holds it. */
	readonly lease: () => Lease | undefined;
	/**
	 * Called with all changes in progress, so that the other entries do not select these engines. Changes that are unfinished when the
	 * duty ends stay published as long as this entry runs.
	 */
	readonly onPendingChanges: (changes: readonly RoleChange[]) => void;
};

/** The log fields of an order. */
export type RoleOrderReport = RoleBalance & {
	readonly msPerToken: number;
	/** Engines that could have been chosen, with the time per token of each in its current role. */
	readonly candidates: readonly RoleCandidate[];
	readonly service: string;
	readonly endpoint: string;
	readonly role: EndpointRole;
	readonly epoch: number;
	/** Absent if no answer arrived; the engine may still carry out the order. */
	readonly status?: number;
};

const balanceIntervalMs = 400;
/** Engines that start together register within this time. Dividing them earlier would miss some of them. */
const registrationMs = 2000;
/** An entry that has just started has seen only a fraction of the demand, so it waits for a whole window of it first. */
const observationMs = 5000;
/** After this time an order without effect no longer counts as a change in progress. */
const orderTimeoutMs = 9000;
const callTimeoutMs = 800;
/** An engine that has not taken an order is asked again after this time, so that another one comes first. */
const orderRetryMs = 1000;
const acceptedStatuses = new Set([200, 202]);

/** State of one service between two decisions. */
type ServiceState = {memory: RoleBalanceState; engineCount: number; engineCountChangedMs: number; readonly usage: DecodeUsage};

type Order = {readonly role: EndpointRole; readonly balance: RoleBalance; readonly lease: Lease; readonly candidates: readonly RoleCandidate[]};

/** Time per token of an engine in its current role, for a comparison with others. */
const latencyOf = ({endpoint, prefillLatency: pace, decodeLatency: decode}: PooledEndpoint): number => endpoint.role === 'decode' ? decode.comparableMsPerToken(referenceLoad) : pace.msPerToken;

const describeCandidate = (engine: PooledEndpoint): RoleCandidate => ({
	endpoint: engine.endpoint.id, dataCentre: engine.endpoint.dataCentre, running: engine.running, msPerToken: latencyOf(engine),
});

/** Measures the demand all the time, and orders role changes while the lease is held. Its state outlasts a run, so that it can be started again. */
export class RoleDuty {
	readonly #options: RoleDutyOptions;
	readonly #states = new Map<string, ServiceState>();
	readonly #pendingChanges = new Map<string, {role: EndpointRole; untilMs: number}>();
	/** Engines that have not taken an order, and when they may be asked again. */
	readonly #refusedUntilMs = new Map<EndpointId, number>();

	readonly #startedMs: number;

	constructor(options: RoleDutyOptions) {
		this.#options = options;
		this.#startedMs = options.clock.nowMs();
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#dropFinishedChanges();
			for (const service of this.#options.services()) {
				if (service.engine) {
					await this.#balance(service, signal);
				}
			}

			await sleep(balanceIntervalMs, undefined, {signal}).catch(() => undefined);
		}
	}

	/** Removes the changes that are finished or have timed out, and the refusals that are over. */
	#dropFinishedChanges(): void {
		const nowMs = this.#options.clock.nowMs();
		for (const [id, {role, untilMs}] of this.#pendingChanges) {
			const known = this.#options.pool.get(id);
			if (!known || known.endpoint.role === role || nowMs > untilMs) {
				this.#pendingChanges.delete(id);
			}
		}

		for (const [id, untilMs] of this.#refusedUntilMs) {
			if (nowMs >= untilMs) {
				this.#refusedUntilMs.delete(id);
			}
		}

		this.#publishPendingChanges();
	}

	#publishPendingChanges(): void {
		this.#options.onPendingChanges([...this.#pendingChanges].map(([endpoint, {role}]) => ({endpoint, role})));
	}

	/** Orders a role change if a version of the service lacks decode engines, or if the balance of the service requires one. */
	async #balance(service: ForwardService, signal: AbortSignal): Promise<void> {
		const {name} = service;
		const nowMs = this.#options.clock.nowMs();
		const engines = this.#options.pool.ofService(name).filter(({endpoint}) => !endpoint.isLeaving && endpoint.role !== undefined);
		const state = this.#stateOf(name, engines.length, nowMs);
		const balance = measureRoleBalance({
			nowMs, engines, newRoleOf: engine => this.#newRoleOf(engine), demand: this.#options.load.tokenDemand(name), kvTokens: service.engine?.kvTokens ?? 0,
		}, state.usage);
		const pendingChanges = engines.filter(engine => this.#newRoleOf(engine) !== undefined).length;
		const isAtChangeLimit = !balance.isIdle && pendingChanges >= maxRoleChanges(engines.length);
		const isEarly = balance.isIdle ? nowMs - state.engineCountChangedMs < registrationMs : nowMs - this.#startedMs < observationMs;
		if (isEarly || isAtChangeLimit) {
			return;
		}

		const lease = this.#options.lease();
		const neededDecoders = new Set(findNeededDecoders(this.#versionedEngines(engines)).map(({endpoint}) => endpoint));
		if (lease && neededDecoders.size > 0 && nowMs - state.engineCountChangedMs >= registrationMs) {
			const isOrdered = await this.#orderBest(engines.filter(({endpoint}) => neededDecoders.has(endpoint.id)), {role: 'decode', balance, lease}, signal);
			// An engine that takes no order must not hold back the changes of the others.
			if (isOrdered) {
				return;
			}
		}

		const {change, count, state: memory} = balanceRoles(balance, state.memory);
		if (change && !lease) {
			// The decision stays pending, so that this entry can act at once if it acquires the lease.
			return;
		}

		state.memory = memory;
		if (!change || !lease) {
			return;
		}

		for (let ordered = 0; ordered < count && !signal.aborted; ordered += 1) {
			await this.#orderBest(engines, {role: change, balance, lease}, signal);
		}
	}

	/**
	 * Orders the change of the engine that is best suited for the new role, among those that are not changing. Resolves to whether the engine may carry out
	 * the order.
	 */
	async #orderBest(engines: readonly PooledEndpoint[], {role, balance, lease}: Omit<Order, 'candidates'>, signal: AbortSignal): Promise<boolean> {
		const candidates = this.#candidatesFor(role, engines);
		const picked = pickRoleChange(candidates, role);
		const engine = engines.find(({endpoint}) => endpoint.id === picked?.endpoint);
		if (!engine) {
			return false;
		}

		const isOrdered = await this.#order(engine, {
			role, balance, lease, candidates,
		}, signal);
		if (!isOrdered) {
			this.#refusedUntilMs.set(engine.endpoint.id, this.#options.clock.nowMs() + orderRetryMs);
		}

		return isOrdered;
	}

	#stateOf(service: string, engineCount: number, nowMs: number): ServiceState {
		const state = this.#states.get(service) ?? {
			memory: {}, engineCount: 0, engineCountChangedMs: nowMs, usage: {lastIdleMs: nowMs},
		};
		if (state.engineCount !== engineCount) {
			Object.assign(state, {engineCount, engineCountChangedMs: nowMs});
		}

		this.#states.set(service, state);
		return state;
	}

	/**
	 * The role to which an engine is changing. It counts also if another entry has ordered the change: a former holder of the lease tells of its
	 * orders before the engines register with their new roles, and a successor that did not count them would order them again.
	 */
	#newRoleOf({endpoint, roleChangeUntilMs, newRole}: PooledEndpoint): EndpointRole | undefined {
		const isAnnounced = this.#options.clock.nowMs() < roleChangeUntilMs && newRole !== endpoint.role;
		return this.#pendingChanges.get(endpoint.id)?.role ?? (isAnnounced ? newRole : undefined);
	}

	#versionedEngines(engines: readonly PooledEndpoint[]): VersionedEngine[] {
		return engines.map(engine => ({
			endpoint: engine.endpoint.id, version: softwareVersionOf(engine.endpoint), role: this.#newRoleOf(engine) ?? engine.endpoint.role ?? 'decode',
		}));
	}

	/** Engines that could change to a role. The orders to those that want no calls, or have just taken none, wait. */
	#candidatesFor(role: EndpointRole, engines: readonly PooledEndpoint[]): readonly RoleCandidate[] {
		const nowMs = this.#options.clock.nowMs();
		const spare = new Set(findSpareDecoders(this.#versionedEngines(engines)).map(({endpoint}) => endpoint));
		return engines
			.filter(engine => engine.endpoint.role !== role && this.#newRoleOf(engine) === undefined && !engine.backoff.isActive(nowMs))
			.filter(({endpoint}) => role === 'decode' || spare.has(endpoint.id))
			.filter(({endpoint}) => nowMs >= (this.#refusedUntilMs.get(endpoint.id) ?? 0))
			.map(engine => describeCandidate(engine));
	}

	async #order(engine: PooledEndpoint, {
		role, balance, lease, candidates,
	}: Order, signal: AbortSignal): Promise<boolean> {
		const {wire, holder, onOrder, clock, pool} = this.#options;
		const {endpoint} = engine;
		const state = await this.#readReport(engine, signal);
		// An engine may announce in the report itself that it leaves, or have begun a backoff meanwhile.
		if (!state || state.isBusy || !lease.isHeld() || !pool.maySend(engine)) {
			return false;
		}

		this.#pendingChanges.set(endpoint.id, {role, untilMs: clock.nowMs() + orderTimeoutMs});
		this.#publishPendingChanges();
		const {epoch} = lease;
		const answer = await this.#call(engine, wire.writeRoleOrder({
			role, holder, epoch, afterOrders: state.ordersAccepted, endpoint,
		}), signal);
		if (answer && !acceptedStatuses.has(answer.status)) {
			this.#pendingChanges.delete(endpoint.id);
		}

		onOrder({
			...balance,
			msPerToken: engine.prefillLatency.msPerToken,
			candidates,
			service: endpoint.service,
			endpoint: endpoint.id,
			role,
			epoch,
			status: answer?.status,
		});
		return !answer || acceptedStatuses.has(answer.status);
	}

	async #readReport(engine: PooledEndpoint, signal: AbortSignal): Promise<EngineReport | undefined> {
		const {wire, onDamagedReport} = this.#options;
		const answer = await this.#call(engine, wire.writeReportCall(engine.endpoint), signal);
		if (answer?.status !== 200) {
			return undefined;
		}

		const report = wire.readReport(answer.body);
		if (!report) {
			onDamagedReport(engine.endpoint);
		}

		return report;
	}

	/** An engine that has begun to leave, or wants no calls, is neither asked nor ordered. */
	async #call(engine: PooledEndpoint, encoded: EncodedCall, signal: AbortSignal): Promise<EndpointAnswer | undefined> {
		return withTimeLimit(callTimeoutMs, signal, async limited => callEndpoint(this.#options, engine, encoded, createRequestLimits(this.#options, {
			target: engine, place: new RatePlace(engine.rateLimit, this.#options.clock.nowMs()),
		}, limited)));
	}
}
