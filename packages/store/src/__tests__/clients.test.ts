import {describe, it} from '@hawthorncleat/test-kit';
import type {EndpointOrder, HostRecord, Transaction} from '@hawthorncleat/schema';
import * as assert from 'uvu/assert';
import {
	createEndpointOrdersClient, createHostListClient, createHttpClient, createObjectStoreClient, createTableClient, createUsageReportsClient, isStoreError, transactWithReadBack,
} from '../index.js';
import {withPlatform} from './with-platform.js';

const put = (writeId: string, version: number | null): Transaction => ({
	writeId, checks: [{key: 'k', version}], puts: [{key: 'k', value: {writeId}}], deletes: [],
});

const identifyWrite = (writeId: string) => ({key: 'k', isOwnWrite: (value: unknown) => (value as {writeId: string}).writeId === writeId});

const outcomeOf = async (promise: Promise<unknown>): Promise<string> =>
	promise.then(() => 'answered', (error: unknown) => isStoreError(error) ? error.outcome : 'other error');

const host: HostRecord = {
	hostId: 'h1', dataCentre: 'd1', kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
};

const order: EndpointOrder = {
	orderId: 'o1', dataCentre: 'd1', serves: 's', kind: 'add',
};

describe('platform clients', () => {
	describe('table', () => {
		it('reads, scans and writes under checks', async () => withPlatform(async ({table}) => {
			assert.is(await table.read('k'), undefined);
			assert.equal(await table.transact(put('w1', null)), {ok: true, versions: {k: 1}});
			assert.equal(await table.transact(put('w2', null)), {ok: false, failed: ['k']});
			const row = {key: 'k', version: 1, value: {writeId: 'w1'}};
			assert.equal(await table.read('k'), row);
			assert.equal(await table.scan('', {limit: 5}), [row]);
		}));

		it('reports not-written only for a refused connection', async () => withPlatform(async ({platform, table, signal}) => {
			const closedPortTable = createTableClient(createHttpClient({url: 'http://127.0.0.1:9'}, signal));
			const outcomes = [await outcomeOf(closedPortTable.transact(put('w', null)))];
			// The slow write is the last one, because it reaches the table after the client's timeout.
			for (const faults of [{tableDown: true}, {loseTableAnswers: 1}, {tableSlowMs: 400}]) {
				platform.setFaults(faults);
				outcomes.push(await outcomeOf(table.transact(put('w', null))));
			}

			assert.equal(outcomes, ['not-written', 'unknown', 'unknown', 'unknown']);
		}, {}, 150));

		it('reports an unknown outcome for a response with status 503', async () => withPlatform(async ({table}) => {
			assert.is(await outcomeOf(table.transact(put('w', null))), 'unknown');
		}, {faults: {tableDown: true}, tableDownResponse: 'unavailable'}));
	});

	describe('lost responses', () => {
		it('recognises its own write', async () => withPlatform(async ({table}) => {
			assert.equal(await transactWithReadBack(table, put('w1', null), identifyWrite('w1')), {kind: 'written', version: 1});
		}, {faults: {loseTableAnswers: 1}}));

		it('recognises that another write took effect first', async () => withPlatform(async ({platform, table}) => {
			await table.transact(put('other', null));
			const failing = {
				...table,
				async transact() {
					platform.setFaults({tableDown: true});
					const failure = table.transact(put('w1', null));
					await failure.catch(() => undefined);
					platform.setFaults({});
					return failure;
				},
			};
			const result = await transactWithReadBack(failing, put('w1', null), identifyWrite('w1'));
			assert.equal(result, {kind: 'refused', failed: ['k']});
		}));

		it('reports an unknown outcome for a write that may still arrive', async () => withPlatform(async ({platform, table}) => {
			platform.setFaults({tableSlowMs: 300});
			const write = transactWithReadBack(table, put('w1', null), identifyWrite('w1'));
			const result = await write;
			assert.is(result.kind, 'unknown');
		}, {}, 100));
	});

	it('writes, reads and lists objects', async () => withPlatform(async ({platform, http}) => {
		const objects = createObjectStoreClient(http);
		await objects.write('usage/w 1/e', {tokens: 3});
		assert.equal(await objects.read('usage/w 1/e'), {tokens: 3});
		assert.equal(await objects.list('usage/'), ['usage/w 1/e']);
		assert.is(await objects.read('absent'), undefined);
		platform.setFaults({objectsDown: true});
		assert.is(await outcomeOf(objects.read('absent')), 'unknown');
	}));

	it('reads the host list only if it has changed', async () => withPlatform(async ({platform, http}) => {
		const hosts = createHostListClient(http);
		const list = await hosts.read('d1');
		assert.equal(list?.hosts, [host]);
		assert.is(await hosts.read('d1', list?.version), undefined);
		platform.putHost({...host, state: 'leaving'});
		const changed = await hosts.read('d1', list?.version);
		assert.is(changed?.hosts[0]?.state, 'leaving');
	}, {hosts: [host]}));

	it('sends endpoint orders and usage reports', async () => withPlatform(async ({platform, http}) => {
		await createEndpointOrdersClient(http).send(order);
		assert.equal(await createEndpointOrdersClient(http).list('d1'), [order]);
		await createUsageReportsClient(http).send({
			window: 'w', shard: 0, epoch: 1, figures: [],
		});
		assert.equal(platform.history.map(record => record.kind), ['endpoint-order', 'usage-report']);
	}));

	it('does not send an order if the sender has lost its authority', async () => withPlatform(async ({platform, http}) => {
		const outcome = await outcomeOf(createEndpointOrdersClient(http).send(order, {maySend: () => false}));
		assert.equal([outcome, platform.history.length], ['not-written', 0]);
		await createEndpointOrdersClient(http).send(order, {maySend: () => true});
		assert.is(platform.history.length, 1);
	}));

	it('checks the authority only when the connection is open', async () => withPlatform(async ({signal}) => {
		let callCount = 0;
		const maySend = (): boolean => {
			callCount += 1;
			return true;
		};

		const closedPort = createHttpClient({url: 'http://127.0.0.1:9'}, signal);
		const outcome = await outcomeOf(createEndpointOrdersClient(closedPort).send(order, {maySend}));
		assert.equal([outcome, callCount], ['not-written', 0]);
	}));
});
