/**
 * Orders during a table outage: an agent with a small engine, a table that fails and an entry that plans roles.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {orderNumbersPerEpoch, parseOrderRow, type EngineOrderRow} from '@hawthorncleat/core';
import type {EngineOrderResult} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	until, withAgent, writeEnd, writeToken, type FakeEntry, type FakeTable, type Setting,
} from './fakes.js';

const key = 'engine-order/endpoint-1';
const duty = 'roles/model-1/dc-1';
const epoch = 3;
const first = epoch * orderNumbersPerEpoch;
const settledRow: EngineOrderRow = {
	number: 3, epoch: 2, role: 'mixed', state: 'settled', startedBy: 'a', writeId: 'w',
};

const order = async (entry: FakeEntry, orderNumber: number, ofEpoch = epoch): Promise<EngineOrderResult['state']> => {
	const {state} = await entry.peer.call('engine.order', {orderNumber, outage: {duty, epoch: ofEpoch, role: 'decode'}});
	return state;
};

const rowOf = (table: FakeTable): EngineOrderRow | undefined => parseOrderRow(table.rows.get(key)?.value);

const codeOf = async (work: Promise<unknown>): Promise<unknown> =>
	work.then(() => undefined, (error: unknown) => (error as {code: string}).code);

/** An agent that has read its row when the table goes down. */
const inOutage = async (body: (setting: Setting) => Promise<void>): Promise<void> => withAgent({}, async setting => {
	// The agent answers orders once it has read the row.
	await until(() => setting.table.reads > 0);
	assert.is(await order(setting.entry, 1), 'ignored');
	setting.table.isDown = true;
	await body(setting);
}, (_engine, table) => {
	table.put(key, settledRow);
});

describe('orders of a table outage', () => {
	// Guards against a role change that cuts off streams, and against an order that no row ever shows.
	it('are carried out once the planner has confirmed them, and recorded when the table is back', async () => inOutage(async ({entry, engine, table}) => {
		engine.generate = (_params, res) => {
			writeToken(res, 0);
		};

		await entry.start('r1');
		await until(() => entry.frames.length > 0);
		assert.is(await order(entry, first), 'started');
		await delay(50);
		assert.equal([entry.questions, engine.orders], [[], []]);
		writeEnd(engine.open.get('r1/1')!, 1);
		await until(() => engine.orders.length === 1);
		assert.ok(entry.hasEnd('r1'));
		assert.equal(entry.questions, [{duty, epoch, orderNumber: first}]);
		assert.equal(engine.orders, [{orderNumber: first, role: 'decode'}]);
		engine.state = {...engine.state, changing: false};
		// The engine works in its new role before the row can be written.
		await until(() => entry.reports.at(-1)?.role === 'decode' && entry.reports.at(-1)?.unavailable !== true);
		assert.is(rowOf(table)?.number, settledRow.number);
		assert.is(await order(entry, first), 'settled');
		assert.is(await order(entry, first - 1), 'ignored');
		table.isDown = false;
		await until(() => rowOf(table)?.number === first);
		assert.equal([rowOf(table)?.epoch, rowOf(table)?.role, rowOf(table)?.state], [epoch, 'decode', 'settled']);
		assert.is(engine.orders.length, 1);
	}));

	// Guards against an order of a planner that has lost its authority (I3).
	it('are dropped without a confirmation, also when they come again', async () => inOutage(async ({entry, engine}) => {
		entry.confirm = () => ({confirmed: false, validForMs: 0});
		for (let times = 1; times <= 2; times += 1) {
			assert.is(await order(entry, first), 'started');
			await until(() => entry.questions.length === times && entry.reports.at(-1)?.unavailable !== true);
		}

		await entry.start('r1');
		await until(() => entry.hasEnd('r1'));
		assert.equal(engine.orders, []);
		assert.is(engine.state.role, 'mixed');
	}));

	// Guards against a confirmation that was valid when it was given and no longer when it arrives.
	it('are dropped when the confirmation arrives after its time', async () => inOutage(async ({entry, engine}) => {
		const validForMs = 50;
		entry.confirm = async () => {
			await delay(2 * validForMs);
			return {confirmed: true, validForMs};
		};

		assert.is(await order(entry, first), 'started');
		await until(() => entry.questions.length === 1);
		await delay(4 * validForMs);
		assert.equal(engine.orders, []);
	}));

	// Guards against two orders at the same time.
	it('wait for their turn', async () => inOutage(async ({entry, engine}) => {
		assert.is(await order(entry, first), 'started');
		await until(() => engine.orders.length === 1);
		assert.is(await order(entry, first + 1), 'ignored');
		assert.is(await order(entry, first), 'started');
		engine.state = {...engine.state, changing: false};
		await until(() => entry.reports.at(-1)?.unavailable !== true && entry.reports.at(-1)?.role === 'decode');
		assert.is(await order(entry, first + 1), 'started');
		await until(() => engine.orders.length === 2);
	}));

	// Guards against an order beside those that the rows show, and against one of an earlier holder of the lease.
	it('are ignored while the table answers, and from an epoch before that of the row', async () => inOutage(async ({entry, engine, table}) => {
		assert.is(await order(entry, first, settledRow.epoch - 1), 'ignored');
		assert.is(await order(entry, first), 'started');
		await until(() => engine.orders.length === 1);
		engine.state = {...engine.state, changing: false};
		table.isDown = false;
		await until(() => rowOf(table)?.number === first);
		assert.is(await order(entry, first + 1), 'ignored');
		assert.is(engine.orders.length, 1);
	}));

	// Guards against a row that is written late by the planner of the outage and would be executed after a later order.
	it('supersede a row with a lower number', async () => inOutage(async ({entry, engine, table}) => {
		assert.is(await order(entry, first + 1), 'started');
		await until(() => engine.orders.length === 1);
		engine.state = {...engine.state, changing: false, lastOrder: first + 1};
		await until(() => entry.reports.at(-1)?.unavailable !== true && entry.reports.at(-1)?.role === 'decode');
		table.put(key, {
			...settledRow, number: first, epoch, state: 'written',
		});
		table.isDown = false;
		assert.equal(await entry.peer.call('engine.order', {orderNumber: first}), {state: 'ignored'});
		await until(() => rowOf(table)?.number === first + 1);
		assert.is(engine.orders.length, 1);
	}));

	describe('at an agent that starts', () => {
		// Guards against an agent that does not know what its predecessor did.
		it('are refused until the row has been read', async () => withAgent({}, async ({entry, engine, table}) => {
			await delay(100);
			assert.is(await codeOf(order(entry, first)), 'orders-unavailable');
			table.isDown = false;
			await until(() => table.reads > 0);
			await delay(50);
			table.isDown = true;
			assert.is(await order(entry, first), 'started');
			await until(() => engine.orders.length === 1);
		}, (_engine, table) => {
			table.put(key, settledRow);
			table.isDown = true;
		}));

		// Guards against an order that overlaps with the one of an outage that the predecessor sent before it was killed.
		it('wait until the engine changes nothing, although the row is settled', async () => withAgent({}, async ({entry, engine, table}) => {
			await delay(200);
			table.put(key, {...settledRow, number: 4, state: 'written'});
			assert.is(await codeOf(entry.peer.call('engine.order', {orderNumber: 4})), 'orders-unavailable');
			assert.equal(engine.orders, []);
			engine.state = {
				...engine.state, changing: false, lastOrder: first, role: 'decode',
			};
			// The row shows what only the engine knew, and the order that was written late is never sent.
			await until(() => rowOf(table)?.number === first);
			assert.equal([rowOf(table)?.epoch, rowOf(table)?.role, rowOf(table)?.state], [epoch, 'decode', 'settled']);
			assert.equal(engine.orders, []);
		}, (engine, table) => {
			engine.state = {...engine.state, changing: true};
			table.put(key, settledRow);
		}, {mustBeReady: false}));
	});
});
