import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {
	brandAs, RatePlace, type EndpointId, type RegisteredEndpoint,
} from '@hawthorncleat/core';
import {
	createManualClock, describe, it, waitUntil,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {createRequestLimits} from '../../requests/attempt-helpers.js';
import {startEndpointExchange, type EndpointExchange, type ExchangeLimits} from '../endpoint-exchange.js';
import {EndpointPool, type PooledEndpoint} from '../endpoint-pool.js';

/** The least number of connections that a pool has. */
const connectionCount = 4;

type Fixture = {
	readonly pool: EndpointPool;
	readonly registration: RegisteredEndpoint;
	readonly target: PooledEndpoint;
	/** Paths of the requests that the endpoint has read. */
	readonly paths: string[];
	/** Requests that wait for their answer. */
	readonly held: ServerResponse[];
	readonly connectionCount: () => number;
	start(path: string, limits?: Partial<ExchangeLimits>): EndpointExchange;
};

/** Runs `body` with an endpoint that answers nothing by itself, and a pool of few connections to it. */
const withEndpoint = async (body: (fixture: Fixture) => Promise<void>): Promise<void> => {
	const paths: string[] = [];
	const held: ServerResponse[] = [];
	let connections = 0;
	const server = createServer((req, res) => {
		paths.push(req.url!);
		held.push(res);
	});
	server.on('connection', () => {
		connections += 1;
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const clock = createManualClock();
	const pool = new EndpointPool({clock, entries: () => 1, serviceOf: () => ({maxConnections: connectionCount})});
	const registration: RegisteredEndpoint = {
		id: brandAs<EndpointId>('e1'), service: 's', address: '127.0.0.1', port: (server.address() as AddressInfo).port, dataCentre: 'd', slots: 9, isLeaving: false, startedAt: 1, heartbeat: 1,
	};
	pool.put(registration);
	const target = pool.get('e1')!;
	try {
		await body({
			pool, registration, target, paths, held,
			connectionCount: () => connections,
			start: (path, limits) => startEndpointExchange(target.connections, {method: 'GET', path, headers: {}}, {onHead: () => true, onData: () => true}, {
				...createRequestLimits({pool, clock}, {target, place: new RatePlace(target.rateLimit, 0)}, new AbortController().signal), ...limits,
			}),
		});
	} finally {
		await target.connections.dispatcher.destroy();
		await pool.destroy();
		server.close();
		server.closeAllConnections();
	}
};

const fillConnections = async ({start, held}: Fixture): Promise<EndpointExchange[]> => {
	const running = Array.from({length: connectionCount}, (_, index) => start(`/running-${index}`));
	await waitUntil(() => held.length === connectionCount, {what: 'requests on all connections'});
	return running;
};

const endAll = ({held}: Fixture): void => {
	for (const res of held) {
		res.end();
	}
};

const isRunning = (path: string): boolean => path.startsWith('/running');

const endKinds = async (exchanges: readonly EndpointExchange[]): Promise<string[]> => {
	const ends = await Promise.all(exchanges.map(async ({ended}) => ended));
	return ends.map(end => `${end.kind}${end.kind === 'not-sent' && end.isWithdrawn ? ', withdrawn' : ''}`);
};

const departures: ReadonlyArray<{readonly name: string; depart(fixture: Fixture): void}> = [
	{
		name: 'begins to leave',
		depart({pool, registration}) {
			pool.put({...registration, heartbeat: 2, isLeaving: true});
		},
	},
	{
		name: 'is removed',
		depart({pool, registration}) {
			pool.remove(registration.id);
		},
	},
	{
		name: 'is replaced by another process',
		depart({pool, registration}) {
			pool.put({...registration, startedAt: 2});
		},
	},
	{
		name: 'takes another role',
		depart({pool, registration}) {
			pool.put({...registration, role: 'decode'});
		},
	},
];

describe('an exchange that waits for a connection', () => {
	for (const {name, depart} of departures) {
		// The users' rule DRAIN: the HTTP client writes a request that has waited in its queue whatever has become of the endpoint.
		it(`ends at once without being written when its endpoint ${name}; guards against requests at an endpoint that leaves`, async () => withEndpoint(async fixture => {
			const running = await fillConnections(fixture);
			const waiting = [fixture.start('/waiting-1'), fixture.start('/waiting-2')];
			depart(fixture);
			assert.equal(await endKinds(waiting), ['not-sent, withdrawn', 'not-sent, withdrawn']);
			endAll(fixture);
			assert.equal(await endKinds(running), running.map(() => 'complete'));
			await nextTurn();
			assert.ok(fixture.paths.every(path => isRunning(path)), fixture.paths.join(' '));
		}));
	}

	it('is not written when it may not be sent any more, without a signal; guards against a signal that comes too late', async () => withEndpoint(async fixture => {
		const running = await fillConnections(fixture);
		let maySend = true;
		const waiting = [fixture.start('/waiting-1', {maySend: () => maySend}), fixture.start('/waiting-2', {maySend: () => maySend})];
		await nextTurn();
		maySend = false;
		endAll(fixture);
		assert.equal(await endKinds(waiting), ['not-sent, withdrawn', 'not-sent, withdrawn']);
		assert.equal(await endKinds(running), running.map(() => 'complete'));
		assert.ok(fixture.paths.every(path => isRunning(path)));
	}));

	// Ending a request with `abort` of the HTTP client closes the connection that has just become free.
	it('leaves the connection to the next one when it is not written; guards against a new connection for each withdrawn request', async () => withEndpoint(async fixture => {
		await fillConnections(fixture);
		const abandoned = new AbortController();
		let maySend = true;
		const limits = [{maySend: () => maySend}, {signal: abandoned.signal}];
		for (let index = 0; index < limits.length * connectionCount; index += 1) {
			fixture.start(`/waiting-${index}`, limits[index % limits.length]);
		}

		const last = fixture.start('/running-last');
		await nextTurn();
		maySend = false;
		abandoned.abort();
		endAll(fixture);
		await waitUntil(() => fixture.paths.includes('/running-last'), {what: 'the request after the withdrawn ones'});
		endAll(fixture);
		assert.equal(await endKinds([last]), ['complete']);
		assert.is(fixture.connectionCount(), connectionCount);
	}));

	it('is written after a withdrawal if it has no such limit; guards against KV caches that stay at a leaving engine', async () => withEndpoint(async fixture => {
		await fillConnections(fixture);
		const release = startEndpointExchange(fixture.target.connections, {method: 'DELETE', path: '/handle', headers: {}}, {onHead: () => true, onData: () => true}, {
			signal: new AbortController().signal,
		});
		fixture.pool.put({...fixture.registration, heartbeat: 2, isLeaving: true});
		endAll(fixture);
		await waitUntil(() => fixture.paths.includes('/handle'), {what: 'the release'});
		endAll(fixture);
		assert.equal(await endKinds([release]), ['complete']);
	}));
});

describe('an endpoint that comes back', () => {
	it('takes requests again; guards against a withdrawal that lasts', async () => withEndpoint(async fixture => {
		const {pool, registration} = fixture;
		pool.put({...registration, heartbeat: 2, isLeaving: true});
		assert.equal(await endKinds([fixture.start('/early')]), ['not-sent, withdrawn']);
		pool.put({...registration, heartbeat: 3});
		const exchange = fixture.start('/running');
		await waitUntil(() => fixture.held.length === 1, {what: 'the request'});
		endAll(fixture);
		assert.equal(await endKinds([exchange]), ['complete']);
	}));
});
