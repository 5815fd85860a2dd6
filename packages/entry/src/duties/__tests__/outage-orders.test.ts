import {randomUUID} from 'node:crypto';
import {
	createRequestError, orderNumbersPerEpoch, type EngineOrderRole, type OrderConfirmation,
} from '@hawthorncleat/core';
import {
	createHttpClient, createTableClient, type Authority, type Lease,
} from '@hawthorncleat/store';
import type {EngineOrderParams, EngineOrderResult} from '@hawthorncleat/schema';
import {silentLog} from '@hawthorncleat/telemetry';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import {Registry} from 'prom-client';
import * as assert from 'uvu/assert';
import {createDutyMetrics} from '../duty-metrics.js';
import {RolePlanner, type ConfirmSentOrder} from '../role-planner.js';
import {withWorld, type World} from './usage-world.js';

const rates = {
	prefillTokensPerSecond: 12_000, stepMs: 20, stepMsPerRequest: 0.4, chunkTokens: 256, maxRunning: 64,
};
// More than the dwell time and the time between two changes of `planRoles`.
const betweenOrdersMs = 20_000;

type Sent = {readonly endpoint: string; readonly order: EngineOrderParams; readonly confirm: ConfirmSentOrder | undefined};

/** A planner that has read its rows, with agents that answer as the test says, and a table that then went down. */
class Outage {
	authority: Authority = 'table';
	readonly sent: Sent[] = [];
	readonly lease: Lease;
	readonly roles: Record<string, EngineOrderRole> = {
		a: 'prefill', b: 'prefill', c: 'prefill', d: 'decode',
	};

	readonly #clock = createManualClock(1000);
	readonly #planner: RolePlanner;

	constructor(private readonly world: World, lease: Lease) {
		this.lease = {...lease, authority: () => this.authority, remainingAuthorityMs: () => this.authority === 'none' ? 0 : 700};
		this.#planner = new RolePlanner({
			service: 'planner',
			table: createTableClient(createHttpClient({url: world.platform.url, timeoutMs: 200}, world.signal)),
			clock: this.#clock,
			makeId: randomUUID,
			engines: () => Object.entries(this.roles).map(([endpoint, role]) => ({
				endpoint, role, cachedTokens: 0, runningTokens: 0, sendOrder: async (order, confirm) => {
					this.sent.push({endpoint, order, confirm});
					return this.answer(endpoint);
				},
			})),
			elsewhere: () => ({mixed: 0, prefill: 0, decode: 0}),
			model: () => ({rates, maxMsPerToken: 66}),
			demand: () => ({promptTokensPerSecond: 1000, outputTokensPerSecond: 4000}),
			rank: () => 0,
			metrics: createDutyMetrics(new Registry()),
			log: silentLog,
		});
	}

	answer: (endpoint: string) => EngineOrderResult = () => ({state: 'started'});

	async round(): Promise<void> {
		await this.#planner.round(this.lease);
	}

	/** Two rounds with enough time between them for a change. */
	async plan(): Promise<void> {
		await this.round();
		this.#clock.advance(betweenOrdersMs);
		await this.round();
	}

	begin(): void {
		this.world.platform.setFaults({tableDown: true});
		this.authority = 'outage';
	}

	ask({order, confirm}: Sent): OrderConfirmation | undefined {
		const {duty, epoch} = this.lease;
		return confirm?.({duty, epoch, orderNumber: order.orderNumber});
	}

	/** The agent has carried the order out. */
	finish({endpoint, order}: Sent): void {
		this.answer = () => ({state: 'settled'});
		this.roles[endpoint] = order.outage!.role;
	}
}

/** `hasRead` false: the table was down before the planner had read a row. */
const inOutage = async (body: (outage: Outage) => Promise<void>, hasRead = true): Promise<void> => withWorld(async world => {
	const {lease} = await world.takeLease();
	const outage = new Outage(world, lease);
	if (hasRead) {
		await outage.round();
	}

	outage.begin();
	await body(outage);
});

describe('role planner during a table outage', () => {
	it('sends one order at a time with the order itself and confirms it once; guards against conflicting orders (I1)', async () => inOutage(async outage => {
		await outage.plan();
		await outage.plan();
		const {duty, epoch} = outage.lease;
		const first = outage.sent[0]!;
		assert.is(first.order.orderNumber, epoch * orderNumbersPerEpoch);
		assert.equal([first.order.outage?.duty, first.order.outage?.epoch], [duty, epoch]);
		// Later rounds repeat it, because it may have been lost.
		assert.equal(new Set(outage.sent.map(({endpoint, order}) => `${endpoint} ${order.orderNumber}`)).size, 1);
		assert.equal(outage.ask(first), {confirmed: true, validForMs: 700});
		assert.equal(outage.ask(first), {confirmed: false, validForMs: 0});
	}));

	it('orders with a higher number after the end of an order; guards against a number that is used twice', async () => inOutage(async outage => {
		await outage.plan();
		const first = outage.sent.at(-1)!;
		outage.ask(first);
		outage.finish(first);
		await outage.plan();
		const second = outage.sent.at(-1)!;
		assert.is.not(second.endpoint, first.endpoint);
		assert.ok(second.order.orderNumber >= first.order.orderNumber);
		assert.equal(outage.ask(first), {confirmed: false, validForMs: 0});
	}));

	it('confirms nothing and sends nothing without authority; guards against orders of a former holder (I3)', async () => inOutage(async outage => {
		await outage.plan();
		const first = outage.sent[0]!;
		outage.authority = 'none';
		const before = outage.sent.length;
		await outage.plan();
		assert.equal([outage.ask(first), outage.sent.length], [{confirmed: false, validForMs: 0}, before]);
	}));

	it('passes over an engine whose agent refuses; guards against one agent that stops all planning', async () => inOutage(async outage => {
		outage.answer = () => {
			throw createRequestError('the row has not been read', {code: 'orders-unavailable', ran: 'not-run', status: 503});
		};

		await outage.plan();
		const refused = outage.sent[0]!;
		assert.equal(outage.ask(refused), {confirmed: false, validForMs: 0});
		outage.answer = () => ({state: 'started'});
		await outage.plan();
		assert.is.not(outage.sent.at(-1)!.endpoint, refused.endpoint);
		assert.equal(outage.ask(outage.sent.at(-1)!), {confirmed: true, validForMs: 700});
	}));

	it('orders nothing at an engine whose row it has not read; guards against a number below that of the row', async () => inOutage(async outage => {
		await outage.plan();
		assert.equal(outage.sent, []);
	}, false));

	it('goes on after an order that the table outage caught half way; guards against roles that are frozen by it', async () => withWorld(async world => {
		const {lease} = await world.takeLease();
		const outage = new Outage(world, lease);
		await outage.plan();
		const written = outage.sent.at(-1)!;
		assert.is(written.order.outage, undefined);
		outage.begin();
		// The agent cannot read the row, so that it never starts the order.
		outage.answer = () => {
			throw createRequestError('the row cannot be read', {code: 'orders-unavailable', ran: 'not-run', status: 503});
		};

		await outage.round();
		outage.answer = () => ({state: 'started'});
		await outage.plan();
		const next = outage.sent.at(-1)!;
		assert.is(next.order.outage?.duty, lease.duty);
		assert.is(next.endpoint === written.endpoint && next.order.orderNumber <= written.order.orderNumber, false);
	}));
});
