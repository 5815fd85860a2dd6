import {randomUUID} from 'node:crypto';
import {
	createEndpointOrdersClient, createHttpClient, createStoreError, isStoreError, type EndpointOrdersClient, type Table,
} from '@hawthorncleat/store';
import {silentLog} from '@hawthorncleat/telemetry';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import {Registry} from 'prom-client';
import * as assert from 'uvu/assert';
import {createDutyMetrics} from '../duty-metrics.js';
import {EndpointOrderer} from '../endpoint-orderer.js';
import {readOpenOrders} from '../order-intents.js';
import {withWorld, type World} from './usage-world.js';

/** A planner that wants three endpoints, of which open orders count as there. */
const createSetting = (world: World) => {
	const client = createEndpointOrdersClient(createHttpClient({url: world.platform.url}, world.signal));
	const clock = createManualClock(1000);
	const setting = {
		client,
		clock,
		live: ['a', 'b'],
		create: ({table = world.table, orders = client}: {table?: Table; orders?: EndpointOrdersClient} = {}) => new EndpointOrderer({
			dataCentre: 'd', table, orders, clock, makeId: randomUUID, live: () => setting.live,
			plan: async open => Array.from({length: Math.max(0, 3 - setting.live.length - open.length)}, () => ({kind: 'add', serves: 'planner'} as const)),
			metrics: createDutyMetrics(new Registry()), log: silentLog,
		}),
		/** Orders that the platform has accepted: id, and whether it was a repetition. */
		accepted: () => world.platform.history
			.filter(record => record.kind === 'endpoint-order')
			.map(({order, repeated}) => [order.orderId, repeated] as const),
	};
	return setting;
};

const fails = async (work: Promise<void>): Promise<void> => {
	const error = await work.then(() => undefined, (error: unknown) => error);
	assert.ok(isStoreError(error));
};

describe('endpoint orderer', () => {
	it('orders what is missing once and counts it until it has arrived; guards against an endpoint ordered twice', async () => withWorld(async world => {
		const setting = createSetting(world);
		const {lease} = await world.takeLease();
		for (let round = 0; round < 3; round++) {
			await setting.create().round(lease);
		}

		assert.equal(setting.accepted(), [['d-00000001', false]]);
		setting.live = ['a', 'b', 'c'];
		await setting.create().round(lease);
		const {intents} = await readOpenOrders(world.table, 'd');
		assert.is(intents.length, 0);
		setting.live = ['a', 'b'];
		await setting.create().round(lease);
		assert.equal(setting.accepted(), [['d-00000001', false], ['d-00000002', false]]);
	}));

	it('settles a send without an answer from the list of orders, by the next holder; guards against a second order (I7)', async () => withWorld(async world => {
		const setting = createSetting(world);
		const first = await world.takeLease();
		await fails(setting.create({
			orders: {
				...setting.client,
				async send(order, options) {
					await setting.client.send(order, options);
					throw createStoreError('answer lost', 'unknown');
				},
			},
		}).round(first.lease));
		const second = await world.takeLease();
		await setting.create().round(second.lease);
		assert.equal(setting.accepted(), [['d-00000001', false]]);
	}));

	it('sends an order that did not arrive again under its id; guards against lost orders', async () => withWorld(async world => {
		const setting = createSetting(world);
		const {lease} = await world.takeLease();
		await fails(setting.create({
			orders: {
				...setting.client,
				async send() {
					throw createStoreError('not sent', 'unknown');
				},
			},
		}).round(lease));
		await setting.create().round(lease);
		assert.equal(setting.accepted(), [['d-00000001', false]]);
	}));

	it('writes nothing after another holder has taken the lease and sends nothing after a pause; guards against two holders (I7)', async () => withWorld(async world => {
		const setting = createSetting(world);
		const first = await world.takeLease();
		const second = await world.takeLease();
		await setting.create().round(first.lease);
		assert.equal(setting.accepted(), []);
		await fails(setting.create({
			table: {
				...world.table,
				async transact(transaction) {
					const result = await world.table.transact(transaction);
					second.pause();
					return result;
				},
			},
		}).round(second.lease));
		assert.equal(setting.accepted(), []);
		const third = await world.takeLease();
		await setting.create().round(third.lease);
		assert.equal(setting.accepted(), [['d-00000001', false]]);
	}));

	it('orders nothing while the table is down, and once when its answer is lost; guards against orders that no row shows', async () => withWorld(async world => {
		const setting = createSetting(world);
		const {lease} = await world.takeLease();
		world.platform.setFaults({tableDown: true});
		await fails(setting.create().round(lease));
		assert.equal(setting.accepted(), []);
		world.platform.setFaults({loseTableAnswers: 1});
		await setting.create().round(lease);
		await setting.create().round(lease);
		assert.equal(setting.accepted(), [['d-00000001', false]]);
	}));

	it('gives an order without an effect up after a while; guards against supply that never comes', async () => withWorld(async world => {
		const setting = createSetting(world);
		const {lease} = await world.takeLease();
		const orderer = setting.create();
		await orderer.round(lease);
		await orderer.round(lease);
		setting.clock.advance(1_200_000);
		await orderer.round(lease);
		assert.equal(setting.accepted().map(([orderId]) => orderId), ['d-00000001', 'd-00000002']);
	}));
});
