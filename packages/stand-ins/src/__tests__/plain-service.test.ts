import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {startPlainService, type PlainServiceStandIn, type ServiceBehaviour} from '../index.js';

const withService = async (behaviours: readonly ServiceBehaviour[], body: (service: PlainServiceStandIn) => Promise<void>): Promise<void> => {
	const controller = new AbortController();
	const chooseBehaviour = (_call: unknown, callNumber: number) => behaviours[callNumber - 1] ?? {};
	const service = await startPlainService({chooseBehaviour}, controller.signal);
	try {
		await body(service);
	} finally {
		controller.abort();
		await service.closed;
	}
};

const placeOrder = async (service: PlainServiceStandIn, key: string): Promise<number | string> => {
	const options = {method: 'POST', body: 'two pallets', headers: {'idempotency-key': key}};
	return fetch(`${service.url}/orders`, options).then(response => response.status, () => 'lost');
};

const getOrderedActionIds = (service: PlainServiceStandIn): Array<string | undefined> =>
	service.history.flatMap(record => record.kind === 'order' ? [record.call.actionId] : []);

describe('plain service stand-in', () => {
	it('answers GET as a lookup and records POST as an order', async () => withService([], async service => {
		const lookup = await fetch(`${service.url}/stock?item=4`);
		assert.equal(await lookup.json(), {found: '/stock?item=4'});
		assert.is(await placeOrder(service, 'k1'), 200);
		assert.equal(getOrderedActionIds(service), ['k1']);
		const order = service.history.find(record => record.kind === 'order');
		assert.is(order?.call.body, 'two pallets');
	}));

	it('resets the connection before or after the order takes effect', async () => withService([{drop: 'before-effect'}, {drop: 'after-effect'}], async service => {
		assert.is(await placeOrder(service, 'k1'), 'lost');
		assert.is(await placeOrder(service, 'k2'), 'lost');
		assert.equal(getOrderedActionIds(service), ['k2']);
	}));

	it('answers status 500 with or without an effect', async () => withService([{status: 500}, {status: 500, effect: true}], async service => {
		assert.is(await placeOrder(service, 'k1'), 500);
		assert.is(await placeOrder(service, 'k2'), 500);
		assert.equal(getOrderedActionIds(service), ['k2']);
	}));

	it('refuses connections between stop and restart', async () => withService([], async service => {
		service.stop();
		assert.is(await placeOrder(service, 'k1'), 'lost');
		await service.restart();
		assert.is(await placeOrder(service, 'k2'), 200);
	}));
});
