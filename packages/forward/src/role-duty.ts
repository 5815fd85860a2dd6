/**
 * The duty of dividing engines between prefill and decode: decides from the demand of the last seconds and orders one
 * change after the other.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	balanceRoles, comparedLoad, pickRoleChange, type Clock, type EndpointRole, type ForwardService, type RoleBalance, type RoleBalanceMemory, type RoleCandidate,
} from '@hawthorncleat/core';
import type {Lease} from '@hawthorncleat/store';
import {callEndpoint, type EndpointAnswer} from './call-endpoint.js';
import type {EndpointPool, KnownEndpoint} from './endpoint-pool.js';
import type {ModelLoad} from './model-load.js';
import type {RoleChange} from './role-changes.js';
import {withTimeLimit} from './time-limit.js';
import type {EncodedCall, WireFormat} from './ports.js';

export type RoleDutyOptions = {
	readonly clock: Clock;
	readonly wire: WireFormat;
	readonly pool: EndpointPool;
	readonly load: ModelLoad;
	readonly holder: string;
	readonly services: () => readonly ForwardService[];
	readonly onOrder: (order: RoleOrderReport) => void;
	/** The lease, while this entry holds it. */
	readonly lease: () => Lease | undefined;
	/** Tells the other entries which engines change. */
	readonly onPendingChanges: (changes: readonly RoleChange[]) => void;
};

/** What is logged of an order. */
export type RoleOrderReport = RoleBalance & {
	readonly msPerToken: number;
	/** Engines among which it was chosen, with their pace in the role that they have. */
	readonly candidates: readonly RoleCandidate[];
	readonly service: string;
	readonly endpoint: string;
	readonly role: EndpointRole;
	readonly epoch: number;
	/** Absent when no answer came: the order may be carried out later. */
	readonly status?: number;
};

const pauseMs = 400;
/** Engines register within seconds of their start; dividing them earlier would count too few. */
const registeringMs = 2000;
/** An entry that has just started has heard of a part of the demand only; it follows a whole window of it first. */
const observingMs = 5000;
/** An order that has not been carried out after this time, besides the change itself, is not waited for any longer. */
const orderLimitMs = 9000;
const callLimitMs = 800;
/** Part of the engines that may change at a time while there is work. */
const changingPart = 0.15;
const accepted = new Set([200, 202]);

const call = async (known: KnownEndpoint, encoded: EncodedCall, signal: AbortSignal): Promise<EndpointAnswer | undefined> =>
	withTimeLimit(callLimitMs, signal, async limited => callEndpoint(known, encoded, limited));

/** State for one service. */
type ServiceState = {memory: RoleBalanceMemory; engines: number; changedMs: number};

type Order = {readonly role: EndpointRole; readonly balance: RoleBalance; readonly lease: Lease; readonly candidates: readonly RoleCandidate[]};

/** How fast an engine does the work of its role. */
const paceOf = ({endpoint, pace, decode}: KnownEndpoint): number => endpoint.role === 'decode' ? decode.msPerToken(comparedLoad) : pace.msPerToken;

const describeCandidate = (engine: KnownEndpoint): RoleCandidate => ({
	endpoint: engine.endpoint.id, dataCentre: engine.endpoint.dataCentre, running: engine.running, msPerToken: paceOf(engine),
});

class RoleDuty {
	readonly #options: RoleDutyOptions;
	readonly #states = new Map<string, ServiceState>();
	readonly #changing = new Map<string, {role: EndpointRole; untilMs: number}>();

	readonly #startedMs: number;

	constructor(options: RoleDutyOptions) {
		this.#options = options;
		this.#startedMs = options.clock.nowMs();
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#settle();
			for (const service of this.#options.services()) {
				if (service.engine) {
					await this.#balance(service, signal);
				}
			}

			await sleep(pauseMs, undefined, {signal}).catch(() => undefined);
		}

		this.#options.onPendingChanges([]);
	}

	/** Forgets changes that have been carried out or waited for long enough. */
	#settle(): void {
		const nowMs = this.#options.clock.nowMs();
		for (const [id, {role, untilMs}] of this.#changing) {
			const known = this.#options.pool.get(id);
			if (!known || known.endpoint.role === role || nowMs > untilMs) {
				this.#changing.delete(id);
			}
		}

		this.#tellChanging();
	}

	#tellChanging(): void {
		this.#options.onPendingChanges([...this.#changing].map(([endpoint, {role}]) => ({endpoint, role})));
	}

	async #balance({name}: ForwardService, signal: AbortSignal): Promise<void> {
		const nowMs = this.#options.clock.nowMs();
		const engines = this.#options.pool.ofService(name).filter(({endpoint}) => !endpoint.isLeaving && endpoint.role !== undefined);
		const state = this.#stateOf(name, engines.length, nowMs);
		const balance = this.#measure(name, engines);
		const openChanges = engines.filter(({endpoint}) => this.#changing.has(endpoint.id)).length;
		const isBusy = !balance.isIdle && openChanges >= Math.max(1, Math.floor(engines.length * changingPart));
		const isEarly = balance.isIdle ? nowMs - state.changedMs < registeringMs : nowMs - this.#startedMs < observingMs;
		if (isEarly || isBusy) {
			return;
		}

		const {change, memory} = balanceRoles(balance, state.memory);
		const lease = this.#options.lease();
		if (change && !lease) {
			// Stays wanted, so that an entry that takes the lease over need not observe anew.
			return;
		}

		state.memory = memory;
		if (!change || !lease) {
			return;
		}

		const candidates = this.#candidatesFor(change, engines);
		const picked = pickRoleChange(candidates, change);
		const engine = engines.find(({endpoint}) => endpoint.id === picked?.endpoint);
		if (engine) {
			await this.#order(engine, {
				role: change, balance, lease, candidates,
			}, signal);
		}
	}

	#stateOf(service: string, engines: number, nowMs: number): ServiceState {
		const state = this.#states.get(service) ?? {memory: {}, engines: 0, changedMs: nowMs};
		if (state.engines !== engines) {
			Object.assign(state, {engines, changedMs: nowMs});
		}

		this.#states.set(service, state);
		return state;
	}

	#measure(service: string, engines: readonly KnownEndpoint[]): RoleBalance {
		const {clock, load} = this.#options;
		const roles = engines.map(({endpoint}) => this.#changing.get(endpoint.id)?.role ?? endpoint.role);
		const demand = load.demand(service);
		const prefillers = engines.filter(({endpoint}) => endpoint.role === 'prefill');
		const paces = prefillers.map(({pace}) => pace.msPerToken);
		const msPerToken = paces.length === 0 ? 0 : paces.reduce((sum, pace) => sum + pace, 0) / paces.length;
		const decoders = engines.filter(({endpoint}) => endpoint.role === 'decode');
		const fullTokensPerMs = decoders.reduce((sum, {endpoint, decode}) => sum + (endpoint.places / decode.msPerToken(1)), 0) / Math.max(1, decoders.length);
		const running = engines.reduce((sum, engine) => sum + engine.running, 0);
		return {
			nowMs: clock.nowMs(),
			prefill: roles.filter(role => role === 'prefill').length,
			decode: roles.filter(role => role === 'decode').length,
			prefillNeeded: demand.promptTokensPerSecond * msPerToken / 1000,
			decodeNeeded: fullTokensPerMs === 0 ? 0 : demand.outputTokensPerSecond / 1000 / fullTokensPerMs,
			isIdle: running === 0 && demand.promptTokensPerSecond === 0,
		};
	}

	/** Engines that can change to a role. */
	#candidatesFor(role: EndpointRole, engines: readonly KnownEndpoint[]): readonly RoleCandidate[] {
		return engines
			.filter(({endpoint}) => endpoint.role !== role && !this.#changing.has(endpoint.id))
			.map(engine => describeCandidate(engine));
	}

	async #order(engine: KnownEndpoint, {
		role, balance, lease, candidates,
	}: Order, signal: AbortSignal): Promise<void> {
		const {wire, holder, onOrder, clock} = this.#options;
		const {endpoint} = engine;
		const report = await call(engine, wire.writeReportCall(endpoint), signal);
		const state = report?.status === 200 ? wire.readReport(report.body) : undefined;
		if (!state || state.isBusy || !lease.isHeld()) {
			return;
		}

		this.#changing.set(endpoint.id, {role, untilMs: clock.nowMs() + orderLimitMs});
		this.#tellChanging();
		const {epoch} = lease;
		const answer = await call(engine, wire.writeRoleOrder({
			role, holder, epoch, afterOrders: state.ordersAccepted, endpoint,
		}), signal);
		if (answer && !accepted.has(answer.status)) {
			this.#changing.delete(endpoint.id);
		}

		onOrder({
			...balance,
			msPerToken: engine.pace.msPerToken,
			candidates,
			service: endpoint.service,
			endpoint: endpoint.id,
			role,
			epoch,
			status: answer?.status,
		});
	}
}

/** Watches the demand all the time, and divides the engines while the lease is held. */
export const runRoleDuty = async (options: RoleDutyOptions, signal: AbortSignal): Promise<void> => {
	await new RoleDuty(options).run(signal);
};
