import {randomUUID} from 'node:crypto';
import {orderNumbersPerEpoch, type EngineOrderRole, type EngineOrderRow} from '@hawthorncleat/core';
import {
	createHttpClient, createTableClient, isStoreError, type Lease, type Table,
} from '@hawthorncleat/store';
import {silentLog} from '@hawthorncleat/telemetry';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import {Registry} from 'prom-client';
import * as assert from 'uvu/assert';
import {createDutyMetrics} from '../duty-metrics.js';
import {RolePlanner} from '../role-planner.js';
import {withWorld, type World} from './usage-world.js';

const rates = {
	prefillTokensPerSecond: 12_000, stepMs: 20, stepMsPerRequest: 0.4, chunkTokens: 256, maxRunning: 64,
};

type Setting = {
	readonly roles: Record<string, EngineOrderRole>;
	readonly sent: Array<readonly [string, number]>;
	/** Whether messages to agents are lost. */
	isCut: boolean;
	/** Plans once, after the time for which a change must have been wanted. */
	plan(lease: Lease, table?: Table): Promise<void>;
	rowOf(endpoint: string): Promise<EngineOrderRow | undefined>;
	settle(endpoint: string): Promise<void>;
};

/** Three prefill engines and one decode engine, with a demand that needs more decode engines. */
const createSetting = (world: World): Setting => {
	const clock = createManualClock(1000);
	const roles: Setting['roles'] = {
		a: 'prefill', b: 'prefill', c: 'prefill', d: 'decode',
	};
	const create = (setting: Setting, table: Table): RolePlanner => new RolePlanner({
		service: 'planner',
		table,
		clock,
		makeId: randomUUID,
		engines: () => Object.entries(roles).map(([endpoint, role]) => ({
			endpoint, role, cachedTokens: 0, runningTokens: 0, async sendOrder({orderNumber}) {
				if (setting.isCut) {
					throw new Error('connection closed');
				}

				setting.sent.push([endpoint, orderNumber]);
				return undefined;
			},
		})),
		elsewhere: () => ({mixed: 0, prefill: 0, decode: 0}),
		model: () => ({rates, maxMsPerToken: 66}),
		demand: () => ({promptTokensPerSecond: 1000, outputTokensPerSecond: 4000}),
		rank: () => 0,
		metrics: createDutyMetrics(new Registry()),
		log: silentLog,
	});
	const setting: Setting = {
		roles,
		sent: [],
		isCut: false,
		async plan(lease, table = world.table) {
			const planner = create(setting, table);
			await planner.round(lease);
			clock.advance(4000);
			await planner.round(lease);
		},
		async rowOf(endpoint) {
			const row = await world.table.read(`engine-order/${endpoint}`);
			return row?.value as EngineOrderRow | undefined;
		},
		async settle(endpoint) {
			const row = await setting.rowOf(endpoint);
			roles[endpoint] = row!.role;
			await world.table.transact({
				writeId: randomUUID(), checks: [], deletes: [], puts: [{key: `engine-order/${endpoint}`, value: {...row, state: 'settled'}}],
			});
		},
	};
	return setting;
};

const firstNumber = ({epoch}: Lease): number => epoch * orderNumbersPerEpoch;

/** A table that calls `before` ahead of each transaction. */
const beforeWrite = (table: Table, before: () => Promise<void>): Table => ({
	...table,
	async transact(transaction) {
		await before();
		return table.transact(transaction);
	},
});

describe('role planner', () => {
	it('writes one order at a time, then sends its number; guards against conflicting orders (I1)', async () => withWorld(async world => {
		const setting = createSetting(world);
		const {lease} = await world.takeLease();
		await setting.plan(lease);
		const [endpoint] = setting.sent[0]!;
		const row = await setting.rowOf(endpoint);
		assert.equal([row?.number, row?.epoch, row?.state], [firstNumber(lease), lease.epoch, 'written']);
		assert.is.not(row?.role, setting.roles[endpoint]);
		// The row is not settled, so that nothing new is ordered; the message is sent again.
		await setting.plan(lease);
		assert.equal(new Set(setting.sent.map(sent => sent.join(' '))), new Set([`${endpoint} ${firstNumber(lease)}`]));
		await setting.settle(endpoint);
		await setting.plan(lease);
		const orders = world.platform.history.filter(record => record.kind === 'write' && record.puts.some(({value}) => (value as EngineOrderRow).state === 'written'));
		assert.is(orders.length, 2);
	}));

	it('writes and sends nothing once another holder has taken the lease; guards against orders without authority (I3)', async () => withWorld(async world => {
		const setting = createSetting(world);
		const first = await world.takeLease();
		await setting.plan(first.lease, beforeWrite(world.table, async () => {
			await world.takeLease();
		}));
		const rows = await world.table.scan('engine-order/');
		assert.equal([rows.length, setting.sent.length], [0, 0]);
	}));

	it('does not send after a pause that follows the write; the next holder does; guards against lost orders and two senders', async () => withWorld(async world => {
		const setting = createSetting(world);
		const first = await world.takeLease();
		await setting.plan(first.lease, {
			...world.table,
			async transact(transaction) {
				const result = await world.table.transact(transaction);
				first.pause();
				return result;
			},
		});
		assert.equal(setting.sent, []);
		const second = await world.takeLease();
		await setting.plan(second.lease);
		const [endpoint, number] = setting.sent[0]!;
		const row = await setting.rowOf(endpoint);
		assert.equal([number, row?.number, row?.epoch], [firstNumber(first.lease), firstNumber(first.lease), first.lease.epoch]);
	}));

	it('orders once when the answer of the table or the message is lost; guards against a second number for one order', async () => withWorld(async world => {
		const setting = createSetting(world);
		const {lease} = await world.takeLease();
		world.platform.setFaults({loseTableAnswers: 1});
		setting.isCut = true;
		await setting.plan(lease);
		setting.isCut = false;
		await setting.plan(lease);
		assert.equal(new Set(setting.sent.map(([, number]) => number)), new Set([firstNumber(lease)]));
		const rows = await world.table.scan('engine-order/');
		assert.is(rows.length, 1);
	}));

	it('changes no role while the table is down; guards against orders that no row shows', async () => withWorld(async world => {
		const setting = createSetting(world);
		const {lease} = await world.takeLease();
		const http = createHttpClient({url: world.platform.url, timeoutMs: 200}, world.signal);
		world.platform.setFaults({tableDown: true});
		const error = await setting.plan(lease, createTableClient(http)).then(() => undefined, (error: unknown) => error);
		assert.ok(isStoreError(error));
		assert.equal(setting.sent, []);
	}));
});
