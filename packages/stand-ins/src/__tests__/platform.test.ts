import {setTimeout as delay} from 'node:timers/promises';
import type {EndpointOrder, HostList, HostRecord} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {startPlatform, type PlatformOptions, type PlatformStandIn} from '../index.js';

const withPlatform = async (options: PlatformOptions, body: (platform: PlatformStandIn) => Promise<void>): Promise<void> => {
	const controller = new AbortController();
	const platform = await startPlatform(options, controller.signal);
	try {
		await body(platform);
	} finally {
		controller.abort();
		await platform.closed;
	}
};

const send = async (platform: PlatformStandIn, path: string, value: unknown, method = 'POST'): Promise<Response> =>
	fetch(`${platform.url}${path}`, {method, body: JSON.stringify(value), headers: {'content-type': 'application/json'}});

const put = async (platform: PlatformStandIn, key: string, version: number | null): Promise<Response> =>
	send(platform, '/table/transact', {
		writeId: `write ${key}`, checks: [{key, version}], puts: [{key, value: {key}}], deletes: [],
	});

const host: HostRecord = {
	hostId: 'h1', dataCentre: 'd1', kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
};

const listHosts = async (platform: PlatformStandIn): Promise<HostList> => {
	const response = await fetch(`${platform.url}/hosts?dataCentre=d1`);
	return await response.json() as HostList;
};

describe('platform stand-in', () => {
	describe('table', () => {
		it('applies a transaction only if every check holds', async () => withPlatform({}, async platform => {
			const first = await put(platform, 'a', null);
			assert.equal(await first.json(), {versions: {a: 1}});
			const second = await put(platform, 'a', null);
			assert.is(second.status, 409);
			assert.equal(await second.json(), {failed: ['a']});
			assert.is(platform.history.length, 1);
		}));

		it('gives a row that is created again a higher version than the deleted row', async () => withPlatform({}, async platform => {
			await put(platform, 'a', null);
			const removal = {
				writeId: 'w', checks: [], puts: [], deletes: ['a'],
			};
			await send(platform, '/table/transact', removal);
			const again = await put(platform, 'a', null);
			assert.equal(await again.json(), {versions: {a: 2}});
		}));

		it('scans rows by prefix in key order', async () => withPlatform({}, async platform => {
			for (const key of ['p/b', 'p/a', 'q/c', 'p/c']) {
				await put(platform, key, null);
			}

			const response = await fetch(`${platform.url}/table/scan?prefix=p/&limit=1&after=p/a`);
			assert.equal(await response.json(), {rows: [{key: 'p/b', version: 1, value: {key: 'p/b'}}]});
		}));

		it('rejects a body that does not match the schema', async () => withPlatform({}, async platform => {
			const response = await send(platform, '/table/transact', {writeId: 'w'});
			assert.is(response.status, 400);
		}));

		it('loses the answers of as many writes as the fault says, after they have taken effect', async () => withPlatform({}, async platform => {
			await send(platform, '/faults', {loseTableAnswers: 1}, 'PUT');
			const lost = await put(platform, 'a', null).catch(() => 'lost');
			assert.is(lost, 'lost');
			const row = await fetch(`${platform.url}/table/row?key=a`);
			assert.is(row.status, 200);
			const next = await put(platform, 'b', null);
			assert.is(next.status, 200);
		}));

		it('resets the connection or answers status 503 during an outage', async () => {
			await withPlatform({faults: {tableDown: true}}, async platform => {
				assert.is(await put(platform, 'a', null).catch(() => 'reset'), 'reset');
			});
			await withPlatform({faults: {tableDown: true}, tableDownResponse: 'unavailable'}, async platform => {
				const response = await put(platform, 'a', null);
				assert.is(response.status, 503);
			});
		});
	});

	it('shows a change of the host list only after the lag', async () => withPlatform({hosts: [host], faults: {hostListLagMs: 60}}, async platform => {
		platform.putHost({...host, hostId: 'h2'});
		const early = await listHosts(platform);
		await delay(80);
		const late = await listHosts(platform);
		assert.equal([early.hosts.length, late.hosts.length], [1, 2]);
		const unchanged = await fetch(`${platform.url}/hosts?dataCentre=d1&sinceVersion=${late.version}`);
		assert.is(unchanged.status, 304);
		platform.removeHost('h2');
		await delay(80);
		const afterwards = await listHosts(platform);
		assert.equal(afterwards.hosts.map(({hostId}) => hostId), ['h1']);
	}));

	it('stores objects and lists them by prefix', async () => withPlatform({}, async platform => {
		await send(platform, '/objects/usage/w1/e1', {tokens: 1}, 'PUT');
		const value = await fetch(`${platform.url}/objects/usage/w1/e1`);
		assert.equal(await value.json(), {tokens: 1});
		const list = await fetch(`${platform.url}/objects?prefix=usage/`);
		assert.equal(await list.json(), {keys: ['usage/w1/e1']});
		platform.setFaults({objectsDown: true});
		const refused = await fetch(`${platform.url}/objects/usage/w1/e1`);
		assert.is(refused.status, 503);
	}));

	it('records every endpoint order and calls onEndpointOrder once for each id', async () => {
		const received: EndpointOrder[] = [];
		const options = {
			onEndpointOrder(order: EndpointOrder) {
				received.push(order);
			},
		};
		await withPlatform(options, async platform => {
			const order = {
				orderId: 'o1', dataCentre: 'd1', serves: 's', kind: 'add',
			};
			await send(platform, '/endpoint-orders', order);
			await send(platform, '/endpoint-orders', order);
			assert.equal(received, [order]);
			assert.equal(platform.history.map(record => record.kind === 'endpoint-order' && record.repeated), [false, true]);
		});
	});

	it('marks a second report of the same usage window as repeated', async () => withPlatform({}, async platform => {
		const report = {
			window: 'w1', shard: 0, epoch: 1, figures: [],
		};
		await send(platform, '/usage-reports', report);
		await send(platform, '/usage-reports', {...report, epoch: 2});
		assert.equal(platform.history.map(record => record.kind === 'usage-report' && record.repeated), [false, true]);
	}));
});
