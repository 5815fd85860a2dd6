import {once} from 'node:events';
import {createServer, type IncomingHttpHeaders, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs, type EndpointId, type EndpointRole, type LeaseEpoch, type RegisteredEndpoint, type SoftwareVersion,
} from '@hawthorncleat/core';
import type {Lease} from '@hawthorncleat/store';
import {
	describe, it, loopback, waitUntil,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EndpointPool} from '../../endpoints/endpoint-pool.js';
import {LoadTracker} from '../../endpoints/load-tracker.js';
import type {RoleOrder, WireFormat} from '../../ports.js';
import type {RoleChange} from '../role-changes.js';
import {RoleDuty, type RoleOrderReport} from '../role-duty.js';

const clock = {nowMs: () => performance.now()};

const damagedReport = '{"isBusy":fal';

/** A wire format of plain JSON. */
const wire = {
	readAnswer: (status: number, {leaving}: IncomingHttpHeaders) => ({status, isEndpointLeaving: leaving !== undefined}),
	writeReportCall: () => ({method: 'GET', path: '/report', headers: {}}),
	readReport: (body: string) => body === damagedReport ? undefined : JSON.parse(body) as {isBusy: boolean; ordersAccepted: number},
	writeRoleOrder: ({epoch, afterOrders, role, holder}: RoleOrder) => ({
		method: 'POST', path: '/order', headers: {}, body: JSON.stringify({
			epoch, afterOrders, role, holder,
		}),
	}),
} as unknown as WireFormat;

type Engine = {
	readonly orders: Array<Record<string, unknown>>;
	isBusy: boolean;
	isLeaving: boolean;
	isReportDamaged: boolean;
	status: number;
	readonly server: Server;
	readonly endpoint: RegisteredEndpoint;
};

const startEngine = async (id: string, role: EndpointRole): Promise<Engine> => {
	const server = createServer((req, res) => {
		if (req.url === '/report') {
			res.writeHead(200, engine.isLeaving ? {leaving: '1'} : {});
			res.end(engine.isReportDamaged ? damagedReport : JSON.stringify({isBusy: engine.isBusy, ordersAccepted: 7}));
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
		isLeaving: false,
		isReportDamaged: false,
		status: 202,
		server,
		endpoint: {
			id: brandAs<EndpointId>(id),
			service: 'models',
			address: loopback,
			port: (server.address() as AddressInfo).port,
			dataCentre: 'a',
			slots: 10,
			isLeaving: false,
			role,
			startedAt: 1,
			heartbeat: 1,
		},
	};
	return engine;
};

type Fixture = {
	readonly engines: readonly Engine[];
	readonly pool: EndpointPool;
	readonly reports: RoleOrderReport[];
	/** Engines whose report could not be read. */
	readonly damaged: string[];
	lease: Lease | undefined;
	/** Changes in progress, as the duty has published them last. */
	pendingChanges: readonly RoleChange[];
	/** Ends the duty and waits until it has ended. */
	stop(): Promise<void>;
};

const lease = {epoch: brandAs<LeaseEpoch>(41), isHeld: () => true} as unknown as Lease;

/** Runs the duty with idle engines that all have the same role. */
const withDuty = async (engineCount: number, body: (fixture: Fixture) => Promise<void>, role: EndpointRole = 'decode'): Promise<void> => {
	const engines = await Promise.all(Array.from({length: engineCount}, async (_, index) => startEngine(`i-${index}`, role)));
	const pool = new EndpointPool({clock, entries: () => 1, serviceOf: () => ({maxConnections: 10, engine: {kvTokens: 1000}})});
	for (const {endpoint} of engines) {
		pool.put(endpoint);
	}

	const stop = new AbortController();
	const fixture: Fixture = {
		engines,
		pool,
		reports: [],
		damaged: [],
		lease: undefined,
		pendingChanges: [],
		async stop() {
			stop.abort();
			await running;
		},
	};
	const running = new RoleDuty({
		clock,
		wire,
		answerListener: {
			onRetryAfter: () => undefined,
			onRateLimit: () => undefined,
			onLeaving({id}) {
				pool.put({...pool.get(id)!.endpoint, isLeaving: true});
			},
			onDamagedLeaving: () => undefined,
		},
		pool,
		load: new LoadTracker(clock, pool),
		holder: 'e1',
		lease: () => fixture.lease,
		services: () => [{name: 'models', maxConnections: 10, engine: {kvTokens: 1000}}],
		onOrder(order) {
			fixture.reports.push(order);
		},
		onDamagedReport({id}) {
			fixture.damaged.push(id);
		},
		onPendingChanges(changes) {
			fixture.pendingChanges = changes;
		},
	}).run(stop.signal);
	try {
		await body(fixture);
	} finally {
		await fixture.stop();
		await pool.destroy();
		for (const {server} of engines) {
			server.close();
			server.closeAllConnections();
		}
	}
};

const orderedOf = ({reports}: Fixture): string | undefined => reports[0]?.endpoint;

const ordersOf = ({engines}: Fixture): Array<Record<string, unknown>> => engines.flatMap(({orders}) => orders);

describe('the role duty', () => {
	it('orders with the epoch of the lease and the number of orders that the engine has accepted; guards against orders of a former lease holder', async () => withDuty(2, async fixture => {
		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order'});
		assert.equal(ordersOf(fixture), [{
			epoch: 41, afterOrders: 7, role: 'prefill', holder: 'e1',
		}]);
		assert.is(fixture.reports[0]!.status, 202);
	}));

	it('orders nothing without the lease, and at once when it acquires the lease', async () => withDuty(2, async fixture => {
		await sleep(3500);
		assert.equal(ordersOf(fixture), []);
		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order', limitMs: 1500});
	}));

	it('orders nothing if the lease expires while the engine reports its state; guards against orders of two holders', async () => withDuty(2, async fixture => {
		fixture.lease = {...lease, isHeld: () => false};
		await sleep(3500);
		assert.equal(ordersOf(fixture), []);
	}));

	// Role plans count an engine that leaves as gone.
	it('does not order an engine that says in its report that it leaves, and plans without it; guards against a role that only a leaving engine has', async () => withDuty(3, async fixture => {
		const [leaving, ...others] = fixture.engines;
		leaving!.isLeaving = true;
		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order'});
		assert.equal(leaving!.orders, []);
		assert.is(others.flatMap(({orders}) => orders).length, 1);
		assert.ok(fixture.pool.get(leaving!.endpoint.id)!.endpoint.isLeaving, 'the report was not read');
		const {prefill, decode, candidates} = fixture.reports[0]!;
		assert.is(prefill + decode, 2);
		assert.not(candidates.some(({endpoint}) => endpoint === leaving!.endpoint.id));
	}));

	it('does not order an engine that is carrying out an order, and retries after a rejected order', async () => withDuty(2, async fixture => {
		for (const engine of fixture.engines) {
			engine.isBusy = true;
			engine.status = 409;
		}

		fixture.lease = lease;
		await sleep(3000);
		assert.equal(ordersOf(fixture), []);
		for (const engine of fixture.engines) {
			engine.isBusy = false;
		}

		await waitUntil(() => fixture.reports.length > 1, {what: 'a second order'});
		assert.is(fixture.reports[0]!.status, 409);
	}));

	it('does not order an engine whose report cannot be read, tells of it, and asks again; guards against a damaged answer that ends the duties', async () => withDuty(2, async fixture => {
		for (const engine of fixture.engines) {
			engine.isReportDamaged = true;
		}

		fixture.lease = lease;
		await waitUntil(() => fixture.damaged.length > 1, {what: 'two damaged reports'});
		assert.equal(ordersOf(fixture), []);
		for (const engine of fixture.engines) {
			engine.isReportDamaged = false;
		}

		await waitUntil(() => fixture.reports.length > 0, {what: 'an order'});
	}));

	it('counts a change that the former holder has announced; guards against a successor that orders the same change of another engine', async () => withDuty(2, async fixture => {
		Object.assign(fixture.pool.get('i-0')!, {roleChangeUntilMs: clock.nowMs() + 60_000, newRole: 'prefill'});
		fixture.lease = lease;
		await sleep(3500);
		assert.equal(ordersOf(fixture), []);
	}));

	it('keeps its unfinished changes published when it ends; guards against requests sent to an engine that changes its role', async () => withDuty(2, async fixture => {
		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order'});
		await fixture.stop();
		assert.equal(fixture.pendingChanges, [{endpoint: orderedOf(fixture), role: 'prefill'}]);
	}));
});

const promptTokens = 10_000;

/** Multiplies the measured latencies of the engines, in the order of their ids, by the factors; each measured by that many streams. */
const setLatencies = ({engines, pool}: Fixture, factors: readonly number[], streams: readonly number[] = []): void => {
	for (const [index, {endpoint}] of engines.entries()) {
		const {decodeLatency: decode, prefillLatency: pace} = pool.get(endpoint.id)!;
		const factor = factors[index]!;
		for (let stream = 0; stream < (streams[index] ?? 200); stream += 1) {
			const load = [0.2, 0.5, 0.8][stream % 3]!;
			decode.observe({tookMs: 300 * factor * (3 + (9 * load)), tokens: 300, load});
			const size = {uncachedTokens: promptTokens, cachedTokens: 0};
			const expectedMs = pace.prefillMs(size);
			pace.observe({
				expectedMs, ownMs: expectedMs, tookMs: pace.firstTokenDelayMs + (promptTokens * 0.016 * factor), size,
			});
		}
	}
};

// Guards against unfinished answers (SHORT): the longest answers missed their deadline because the fastest engine had stopped decoding.
describe('the engine that changes its role', () => {
	it('is the slowest engine if it stops decoding; guards against long answers left to slow engines', async () => withDuty(3, async fixture => {
		setLatencies(fixture, [1, 1.5, 1.1]);
		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order'});
		assert.is(orderedOf(fixture), 'i-1');
	}));

	it('is the fastest engine if it starts to decode; guards against long answers at slow engines', async () => withDuty(3, async fixture => {
		setLatencies(fixture, [1.3, 1.25, 1]);
		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order'});
		assert.is(orderedOf(fixture), 'i-2');
	}, 'prefill'));

	it('is not chosen by the latency of a few streams; guards against an entry that stops the fastest engine from decoding because it has hardly used it', async () => withDuty(3, async fixture => {
		setLatencies(fixture, [2, 1, 1.3], [2, 0, 200]);
		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order'});
		assert.is(orderedOf(fixture), 'i-2');
	}));

	it('runs the fewest requests among engines of similar speed; guards against requests delayed for no gain', async () => withDuty(3, async fixture => {
		setLatencies(fixture, [1, 1.02, 1.01]);
		for (const [index, running] of [2, 2, 1].entries()) {
			fixture.pool.get(`i-${index}`)!.running = running;
		}

		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order', limitMs: 12_000});
		assert.is(orderedOf(fixture), 'i-2');
	}, 'prefill'));
});

const [oldVersion, newVersion] = ['v1', 'v2'].map(version => brandAs<SoftwareVersion>(version));

describe('role changes while two software versions serve', () => {
	it('go on while the new version has only an engine that takes no order; guards against one engine that holds back the changes of all others', async () => withDuty(4, async fixture => {
		const [broken, ...others] = fixture.engines;
		broken!.isReportDamaged = true;
		fixture.pool.put({...broken!.endpoint, role: 'prefill', softwareVersion: newVersion});
		for (const {endpoint} of others) {
			fixture.pool.put({...endpoint, softwareVersion: oldVersion});
		}

		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order'});
		assert.ok(fixture.damaged.length > 0, 'the engine of the new version was not asked');
		assert.is(fixture.reports[0]!.role, 'prefill');
		assert.ok(others.some(({endpoint}) => endpoint.id === orderedOf(fixture)));
	}));

	it('ask another engine of the version if the best suited one takes no order; guards against a version without decode engines', async () => withDuty(5, async fixture => {
		setLatencies(fixture, [1, 2, 2, 2, 2]);
		const [broken, healthy, ...others] = fixture.engines;
		broken!.status = 409;
		for (const {endpoint} of [broken!, healthy!]) {
			fixture.pool.put({...endpoint, softwareVersion: newVersion});
		}

		for (const {endpoint} of others) {
			fixture.pool.put({...endpoint, role: 'decode', softwareVersion: oldVersion});
		}

		fixture.lease = lease;
		await waitUntil(() => healthy!.orders.length > 0, {what: 'an order to the other engine'});
		assert.is(healthy!.orders[0]!.role, 'decode');
	}, 'prefill'));
});

describe('a role change during the backoff of an engine', () => {
	// Guards against calls that count against the engine, and an order that is delayed for as long as one engine wants no calls.
	it('is ordered from another engine; guards against a role that stays short of engines', async () => withDuty(3, async fixture => {
		setLatencies(fixture, [1, 2, 1.5]);
		const calls: string[] = [];
		for (const {server, endpoint: {id}} of fixture.engines) {
			server.on('request', () => {
				calls.push(id);
			});
		}

		fixture.pool.get('i-1')!.backoff.record(60_000, clock.nowMs(), () => 0);
		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order'});
		assert.is(orderedOf(fixture), 'i-2');
		assert.not(calls.includes('i-1'));
	}));

	it('waits if no other engine is left; guards against reports and orders that the engine does not want', async () => withDuty(2, async fixture => {
		const calls: number[] = [];
		for (const {server, endpoint: {id}} of fixture.engines) {
			server.on('request', () => {
				calls.push(clock.nowMs());
			});
			fixture.pool.get(id)!.backoff.record(4000, clock.nowMs(), () => 0);
		}

		const endMs = clock.nowMs() + 4000;
		fixture.lease = lease;
		await waitUntil(() => fixture.reports.length > 0, {what: 'an order', limitMs: 8000});
		assert.ok(calls.every(atMs => atMs >= endMs), 'a call during the backoff');
	}));
});
