import {createServer, type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {createStoreError} from '@hawthorncleat/store';
import {silentLog} from '@hawthorncleat/telemetry';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {startAgent} from '../index.js';
import {
	clock, createSettings, FakeEngine, FakeTable, isReady, makeId, until, untilReady, withAgent, writeEnd, writeToken,
} from './fakes.js';

const key = 'engine-order/endpoint-1';
const written = {
	number: 3, epoch: 1, role: 'decode', state: 'written', startedBy: '', writeId: 'w',
};

const readStates = (table: FakeTable): string[] => table.history.map(value => (value as {state: string}).state);

describe('lifecycle of an agent', () => {
	describe('engine orders', () => {
		// Guards against a role change that cuts off streams, and against an order that the row does not show.
		it('finishes running work, marks the row and settles it', async () => withAgent({}, async ({entry, engine, table}) => {
			engine.generate = (_params, res) => {
				writeToken(res, 0);
			};

			await entry.start('r1');
			await until(() => entry.frames.length > 0);
			table.put(key, written);
			assert.equal(await entry.peer.call('engine.order', {orderNumber: 3}), {state: 'started'});
			assert.equal(readStates(table), ['written', 'started']);
			assert.equal(await entry.start('r2').catch((error: unknown) => (error as {code: string}).code), 'engine-changing');
			await delay(50);
			assert.equal(engine.orders, []);
			// Planners elsewhere have to count the engine as what it will be, however long the running work takes.
			await until(() => entry.reports.some(report => report.role === 'mixed' && report.nextRole === 'decode'));
			writeEnd(engine.open.get('r1/1')!, 1);
			await until(() => engine.orders.length === 1);
			assert.ok(entry.hasEnd('r1'));
			await delay(150);
			assert.equal(readStates(table), ['written', 'started']);
			engine.state = {...engine.state, changing: false};
			await until(() => readStates(table).at(-1) === 'settled');
			await until(() => entry.reports.some(report => report.role === 'decode' && report.nextRole === undefined));
			assert.equal(await entry.peer.call('engine.order', {orderNumber: 3}), {state: 'settled'});
			assert.equal(await entry.peer.call('engine.order', {orderNumber: 2}), {state: 'ignored'});
			assert.is(engine.orders.length, 1);
		}));

		// Guards against an entry that uses up its retries on an engine that changes its role.
		it('reports at once that the engine takes no work, until the order is settled', async () => withAgent({}, async ({entry, engine, table}) => {
			const isUnavailable = (): boolean => entry.reports.at(-1)?.unavailable === true;
			await until(() => entry.reports.length > 0 && !isUnavailable());
			table.put(key, written);
			await entry.peer.call('engine.order', {orderNumber: 3});
			// The report comes before the answer, on the same connection.
			assert.ok(isUnavailable(), 'the entry learnt of the order by the next regular report');
			await until(() => engine.orders.length === 1);
			const before = entry.reports.length;
			engine.state = {...engine.state, changing: false};
			await until(() => entry.reports.length > before && !isUnavailable());
			assert.is(readStates(table).at(-1), 'settled');
		}));

		// Guards against an order that runs twice after its agent was killed in the middle.
		it('settles the order of its predecessor without sending it', async () => {
			const prepare = (engine: FakeEngine, table: FakeTable): void => {
				engine.state = {...engine.state, changing: true};
				table.put(key, {...written, state: 'started'});
				setTimeout(() => {
					engine.state = {...engine.state, changing: false};
				}, 200);
			};

			await withAgent({}, async ({engine, table}) => {
				await until(() => readStates(table).at(-1) === 'settled');
				assert.equal(engine.orders, []);
			}, prepare);
		});

		// Guards against an order that stays unfinished when the answer to the write is lost.
		it('recognises its own write whose answer was lost', async () => withAgent({}, async ({entry, engine, table}) => {
			table.put(key, written);
			const {transact} = table;
			table.transact = async transaction => {
				table.transact = transact;
				await table.transact(transaction);
				throw createStoreError('no answer', 'unknown');
			};

			assert.equal(await entry.peer.call('engine.order', {orderNumber: 3}), {state: 'started'});
			await until(() => engine.orders.length === 1);
		}));

		// Guards against a former planner whose row was superseded in the meantime.
		it('ignores an order whose row changed before it was marked', async () => withAgent({}, async ({entry, engine, table}) => {
			table.put(key, written);
			const {transact} = table;
			table.transact = async transaction => {
				table.transact = transact;
				table.put(key, {...written, number: 4, writeId: 'w2'});
				return table.transact(transaction);
			};

			assert.equal(await entry.peer.call('engine.order', {orderNumber: 3}), {state: 'ignored'});
			assert.equal(engine.orders, []);
		}));
	});

	describe('slot', () => {
		// Guards against two agents that send to the same engine.
		it('sends nothing to the engine while another process holds the port', async () => {
			const holder = createServer().listen(0, '127.0.0.1');
			await once(holder, 'listening');
			const engine = new FakeEngine();
			await engine.start();
			const controller = new AbortController();
			const settings = createSettings({slotPort: (holder.address() as AddressInfo).port, endpointUrl: engine.url});
			const agent = await startAgent(settings, {
				clock, random: () => 0.5, makeId, log: silentLog, table: new FakeTable(),
			}, controller.signal);
			try {
				await delay(700);
				assert.not(await isReady(agent));
				assert.is(engine.requests, 0);
				holder.close();
				await untilReady(agent);
			} finally {
				holder.close();
				controller.abort();
				engine.crash();
				await agent.closed;
			}
		});
	});

	describe('drain', () => {
		// Guards against a planned stop that cuts off requests or takes new ones.
		it('announces leaving, refuses new work and finishes what runs', async () => withAgent({}, async ({agent, entry, engine}) => {
			engine.generate = (_params, res) => {
				writeToken(res, 0);
			};

			await entry.start('r1');
			await until(() => entry.frames.length > 0);
			let isDrained = false;
			const drained = agent.drain().then(() => {
				isDrained = true;
			});
			await until(() => entry.reports.at(-1)?.leaving === true);
			assert.not(await isReady(agent));
			assert.equal(await entry.start('r2').catch((error: unknown) => (error as {code: string}).code), 'draining');
			assert.not(isDrained);
			writeEnd(engine.open.get('r1/1')!, 1);
			await drained;
			await until(() => entry.hasEnd('r1'));
		}));

		// Guards against a planned stop that never ends because of one stream, and against a limit of 0 that cuts off at once.
		it('waits for running work at most for the limit, and without end if it is 0', async () => {
			const drainLimitMs = 200;
			for (const limitMs of [drainLimitMs, 0]) {
				await withAgent({drainLimitMs: limitMs}, async ({agent, entry, engine}) => {
					engine.generate = (_params, res) => {
						writeToken(res, 0);
					};

					await entry.start('r1');
					await until(() => entry.frames.length > 0);
					const startMs = clock.nowMs();
					const isDrained = await Promise.race([agent.drain().then(() => true), delay(10 * drainLimitMs, false)]);
					assert.is(isDrained, limitMs > 0);
					// A timer of Node may fire a millisecond early.
					assert.ok(clock.nowMs() - startMs >= drainLimitMs - 1, 'the drain ended before its limit');
					assert.not(entry.hasEnd('r1'));
				});
			}
		});
	});

	// Guards against a metric without unit or with a name that dashboards do not find.
	it('serves metrics', async () => withAgent({}, async ({agent}) => {
		const response = await fetch(`http://127.0.0.1:${agent.adminPort}/metrics`);
		assert.match(await response.text(), /^hawthorncleat_agent_ready 1$/m);
	}));
});
