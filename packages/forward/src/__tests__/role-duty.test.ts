import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs, type EndpointId, type EndpointRole, type LeaseEpoch, type RegisteredEndpoint,
} from '@hawthorncleat/core';
import type {Lease} from '@hawthorncleat/store';
import {
	describe, it, loopback, waitUntil,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EndpointPool} from '../endpoint-pool.js';
import {ModelLoad} from '../model-load.js';
import type {RoleOrder, WireFormat} from '../ports.js';
import {runRoleDuty, type RoleOrderReport} from '../role-duty.js';

const clock = {nowMs: () => performance.now()};

/** Calls as a test can read them. */
const wire = {
	writeReportCall: () => ({method: 'GET', path: '/report', headers: {}}),
	readReport: (body: string) => JSON.parse(body) as {isBusy: boolean; ordersAccepted: number},
	writeRoleOrder: ({epoch, afterOrders, role, holder}: RoleOrder) => ({
		method: 'POST', path: '/order', headers: {}, body: JSON.stringify({
			epoch, afterOrders, role, holder,
		}),
	}),
} as unknown as WireFormat;

type Engine = {readonly orders: Array<Record<string, unknown>>; isBusy: boolean; status: number; readonly server: Server; readonly endpoint: RegisteredEndpoint};

const startEngine = async (id: string, role: EndpointRole): Promise<Engine> => {
	const server = createServer((req, res) => {
		if (req.url === '/report') {
			res.end(JSON.stringify({isBusy: engine.isBusy, ordersAccepted: 7}));
			return;
		}

		let body = '';
		req.on('data', chunk => {
			body += String(chunk);
		});
		req.on('end', () => {
			engine.orders.push(JSON.parse(body) as Record<string, unknown>);
			res.writeHead(engine.status).end();
		});
	});
	server.listen(0, loopback);
	await once(server, 'listening');
	const engine: Engine = {
		orders: [],
		isBusy: false,
		status: 202,
		server,
		endpoint: {
			id: brandAs<EndpointId>(id),
			service: 'models',
			address: loopback,
			port: (server.address() as AddressInfo).port,
			dataCentre: 'a',
			places: 10,
			isLeaving: false,
			role,
			startedAt: 1,
			heartbeat: 1,
		},
	};
	return engine;
};

type World = {readonly engines: readonly Engine[]; readonly pool: EndpointPool; readonly reports: RoleOrderReport[]; lease: Lease | undefined};

const lease = {epoch: brandAs<LeaseEpoch>(41), isHeld: () => true} as unknown as Lease;

/** Runs the duty over idle engines of one role. */
const withDuty = async (engineCount: number, body: (world: World) => Promise<void>, role: EndpointRole = 'decode'): Promise<void> => {
	const engines = await Promise.all(Array.from({length: engineCount}, async (_, index) => startEngine(`i-${index}`, role)));
	const pool = new EndpointPool({clock, entries: () => 1, serviceOf: () => ({maxConnections: 10, engine: {kvTokens: 1000}})});
	for (const {endpoint} of engines) {
		pool.put(endpoint);
	}

	const world: World = {
		engines, pool, reports: [], lease: undefined,
	};
	const stop = new AbortController();
	const running = runRoleDuty({
		clock,
		wire,
		pool,
		load: new ModelLoad(clock, pool),
		holder: 'e1',
		lease: () => world.lease,
		services: () => [{name: 'models', maxConnections: 10, engine: {kvTokens: 1000}}],
		onOrder(order) {
			world.reports.push(order);
		},
		onPendingChanges: () => undefined,
	}, stop.signal);
	try {
		await body(world);
	} finally {
		stop.abort();
		await running;
		await pool.destroy();
		for (const {server} of engines) {
			server.close();
			server.closeAllConnections();
		}
	}
};

const ordersOf = ({engines}: World): Array<Record<string, unknown>> => engines.flatMap(({orders}) => orders);

describe('the duty of dividing engines', () => {
	it('orders with the epoch of the lease and the number of orders that the engine has accepted; guards against orders that a newer holder has overtaken', async () => withDuty(2, async world => {
		world.lease = lease;
		await waitUntil(() => world.reports.length > 0, {what: 'an order'});
		assert.equal(ordersOf(world), [{
			epoch: 41, afterOrders: 7, role: 'prefill', holder: 'e1',
		}]);
		assert.is(world.reports[0]!.status, 202);
	}));

	it('orders nothing without the lease, and at once when it is taken over', async () => withDuty(2, async world => {
		await sleep(3500);
		assert.equal(ordersOf(world), []);
		world.lease = lease;
		await waitUntil(() => world.reports.length > 0, {what: 'an order', limitMs: 1500});
	}));

	it('orders nothing after the lease has lapsed while the engine was asked; guards against two holders in turns', async () => withDuty(2, async world => {
		world.lease = {...lease, isHeld: () => false};
		await sleep(3500);
		assert.equal(ordersOf(world), []);
	}));

	it('does not order an engine that carries out an order, and tries again after a refusal', async () => withDuty(2, async world => {
		for (const engine of world.engines) {
			engine.isBusy = true;
			engine.status = 409;
		}

		world.lease = lease;
		await sleep(3000);
		assert.equal(ordersOf(world), []);
		for (const engine of world.engines) {
			engine.isBusy = false;
		}

		await waitUntil(() => world.reports.length > 1, {what: 'a second order'});
		assert.is(world.reports[0]!.status, 409);
	}));
});

const promptTokens = 10_000;

/** Lets the engines seem this many times as slow as usual, in the order of their ids, by so many streams each. */
const setPaces = ({engines, pool}: World, factors: readonly number[], streams: readonly number[] = []): void => {
	for (const [index, {endpoint}] of engines.entries()) {
		const {decode, pace} = pool.get(endpoint.id)!;
		const factor = factors[index]!;
		for (let stream = 0; stream < (streams[index] ?? 200); stream += 1) {
			const load = [0.2, 0.5, 0.8][stream % 3]!;
			decode.observe({tookMs: 300 * factor * (3 + (9 * load)), tokens: 300, load});
			const expectedMs = pace.workMs(promptTokens);
			pace.observe({expectedMs, ownMs: expectedMs, tookMs: pace.latencyMs + (promptTokens * 0.016 * factor)});
		}
	}
};

const orderedOf = ({reports}: World): string | undefined => reports[0]?.endpoint;

// Guards against SHORT: the largest answers could not end because the quickest engine had been taken from decoding.
describe('the engine that changes its role', () => {
	it('is the slowest one if it stops decoding; guards against long answers left to slow engines', async () => withDuty(3, async world => {
		setPaces(world, [1, 1.5, 1.1]);
		world.lease = lease;
		await waitUntil(() => world.reports.length > 0, {what: 'an order'});
		assert.is(orderedOf(world), 'i-1');
	}));

	it('is the quickest one if it begins to decode; guards against long answers given to slow engines', async () => withDuty(3, async world => {
		setPaces(world, [1.3, 1.25, 1]);
		world.lease = lease;
		await waitUntil(() => world.reports.length > 0, {what: 'an order'});
		assert.is(orderedOf(world), 'i-2');
	}, 'prefill'));

	it('is not chosen by the pace of a few streams; guards against the quickest engine given away by an entry that has hardly used it', async () => withDuty(3, async world => {
		setPaces(world, [2, 1, 1.3], [2, 0, 200]);
		world.lease = lease;
		await waitUntil(() => world.reports.length > 0, {what: 'an order'});
		assert.is(orderedOf(world), 'i-2');
	}));

	it('has the least to finish among engines that are about as fast; guards against requests held up for a gain that is none', async () => withDuty(3, async world => {
		setPaces(world, [1, 1.02, 1.01]);
		for (const [index, running] of [2, 2, 1].entries()) {
			world.pool.get(`i-${index}`)!.running = running;
		}

		world.lease = lease;
		await waitUntil(() => world.reports.length > 0, {what: 'an order', limitMs: 12_000});
		assert.is(orderedOf(world), 'i-2');
	}, 'prefill'));
});
