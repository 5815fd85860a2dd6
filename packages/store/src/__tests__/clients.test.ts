import {describe, it} from '@hawthorncleat/test-kit';
import type {EndpointOrder, HostRecord, Transaction} from '@hawthorncleat/schema';
import * as assert from 'uvu/assert';
import {
	createEndpointOrders, createHostList, createHttpClient, createObjectStore, createTable, createUsageReports, isStoreError, transactOnce,
} from '../index.js';
import {withPlatform} from './with-platform.js';

const put = (writeId: string, version: number | null): Transaction => ({
	writeId, checks: [{key: 'k', version}], puts: [{key: 'k', value: {writeId}}], deletes: [],
});

const settle = (writeId: string) => ({key: 'k', isOurs: (value: unknown) => (value as {writeId: string}).writeId === writeId});

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

		it('promises not-written only for a refused connection', async () => withPlatform(async ({platform, table, signal}) => {
			const closedPort = createTable(createHttpClient({url: 'http://127.0.0.1:9'}, signal));
			const outcomes = [await outcomeOf(closedPort.transact(put('w', null)))];
			// The slow write comes last, because it reaches the table after its client has given up.
			for (const faults of [{tableDown: true}, {loseTableAnswers: 1}, {tableSlowMs: 400}]) {
				platform.setFaults(faults);
				outcomes.push(await outcomeOf(table.transact(put('w', null))));
			}

			assert.equal(outcomes, ['not-written', 'unknown', 'unknown', 'unknown']);
		}, {}, 150));

		it('promises nothing for an answer with status 503', async () => withPlatform(async ({table}) => {
			assert.is(await outcomeOf(table.transact(put('w', null))), 'unknown');
		}, {faults: {tableDown: true}, tableDownResponse: 'unavailable'}));
	});

	describe('lost answers', () => {
		it('recognises its own write', async () => withPlatform(async ({table}) => {
			assert.equal(await transactOnce(table, put('w1', null), settle('w1')), {kind: 'written', version: 1});
		}, {faults: {loseTableAnswers: 1}}));

		it('recognises that another write came first', async () => withPlatform(async ({platform, table}) => {
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
			const result = await transactOnce(failing, put('w1', null), settle('w1'));
			assert.equal(result, {kind: 'refused', failed: ['k']});
		}));

		it('leaves a write open that may still arrive', async () => withPlatform(async ({platform, table}) => {
			platform.setFaults({tableSlowMs: 300});
			const write = transactOnce(table, put('w1', null), settle('w1'));
			const result = await write;
			assert.is(result.kind, 'unknown');
		}, {}, 100));
	});

	it('writes, reads and lists objects', async () => withPlatform(async ({platform, http}) => {
		const objects = createObjectStore(http);
		await objects.write('usage/w 1/e', {tokens: 3});
		assert.equal(await objects.read('usage/w 1/e'), {tokens: 3});
		assert.equal(await objects.list('usage/'), ['usage/w 1/e']);
		assert.is(await objects.read('absent'), undefined);
		platform.setFaults({objectsDown: true});
		assert.is(await outcomeOf(objects.read('absent')), 'unknown');
	}));

	it('reads the host list only if it has changed', async () => withPlatform(async ({platform, http}) => {
		const hosts = createHostList(http);
		const list = await hosts.read('d1');
		assert.equal(list?.hosts, [host]);
		assert.is(await hosts.read('d1', list?.version), undefined);
		platform.putHost({...host, state: 'leaving'});
		const changed = await hosts.read('d1', list?.version);
		assert.is(changed?.hosts[0]?.state, 'leaving');
	}, {hosts: [host]}));

	it('sends endpoint orders and usage reports', async () => withPlatform(async ({platform, http}) => {
		await createEndpointOrders(http).send(order);
		assert.equal(await createEndpointOrders(http).list('d1'), [order]);
		await createUsageReports(http).send({
			window: 'w', shard: 0, epoch: 1, figures: [],
		});
		assert.equal(platform.history.map(record => record.kind), ['endpoint-order', 'usage-report']);
	}));

	it('does not send an order after the sender has lost its authority', async () => withPlatform(async ({platform, http}) => {
		const outcome = await outcomeOf(createEndpointOrders(http).send(order, {maySend: () => false}));
		assert.equal([outcome, platform.history.length], ['not-written', 0]);
		await createEndpointOrders(http).send(order, {maySend: () => true});
		assert.is(platform.history.length, 1);
	}));

	it('asks for the authority only when the connection is open', async () => withPlatform(async ({signal}) => {
		let asked = 0;
		const maySend = (): boolean => {
			asked += 1;
			return true;
		};

		const closedPort = createHttpClient({url: 'http://127.0.0.1:9'}, signal);
		const outcome = await outcomeOf(createEndpointOrders(closedPort).send(order, {maySend}));
		assert.equal([outcome, asked], ['not-written', 0]);
	}));
});
