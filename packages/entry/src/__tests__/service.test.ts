import {Buffer} from 'node:buffer';
import {createRequestError} from '@hawthorncleat/core';
import type {ServiceCallResult} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import type {Peer} from '@hawthorncleat/wire';
import * as assert from 'uvu/assert';
import {
	addAgent, describeError, goodKey, send, withEntry, type FakeAgent, type World,
} from './fixtures.js';

const answer = (status: number, body = ''): ServiceCallResult =>
	({status, headers: {'content-type': 'text/plain', 'set-cookie': 'a=b'}, bodyBase64: Buffer.from(body).toString('base64')});

const nonsense: unknown = {status: 'fine'};

const refuse = (): never => {
	throw createRequestError('refused', {code: 'connection-refused', ran: 'not-run', status: 503});
};

const disconnect = (_params: unknown, peer: Peer): never => {
	peer.close();
	throw new Error('the connection is gone');
};

const addDesk = async (world: World, handler: (params: unknown, peer: Peer) => ServiceCallResult): Promise<FakeAgent> =>
	addAgent(world, 'desk', {'service.call': handler});

const order = async (world: World, headers: Record<string, string> = {}): Promise<Response> =>
	send(world, '/orders', {method: 'POST', body: '{"pallets":2}', headers: {'idempotency-key': 'order-1', ...headers}});

const inOrder = {chooseEndpoint: <Candidate>(candidates: readonly Candidate[]) => candidates[0]};

describe('service calls', () => {
	it('forwards only allowed headers and no part of the key', async () => withEntry(async world => {
		const desk = await addDesk(world, () => answer(200, 'four'));
		const res = await send(world, '/stock/7?unit=pallet', {
			headers: {
				'x-warehouse': 'w1', 'x-api-key': goodKey, 'x-client-account': 'mavuno', cookie: 'k=1', accept: `text/${goodKey}`,
			},
		});
		assert.equal([res.status, await res.text(), res.headers.get('set-cookie')], [200, 'four', null]);
		const [call] = desk.calls;
		assert.equal([call!.path, call!.clientAccount, call!.headers], ['/stock/7?unit=pallet', 'haugland', {
			'accept-language': '*', 'x-warehouse': 'w1',
		}]);
		assert.not.match(JSON.stringify(desk.calls), goodKey);
	}));

	it('forwards what comes behind a thousand headers; guards against an order without its body and the headers that describe it', async () => withEntry(async world => {
		const desk = await addDesk(world, () => answer(200));
		const many = Object.fromEntries(Array.from({length: 1200}, (_, index) => [`a${index}`, '1']));
		const res = await order(world, {...many, 'accept-language': 'nb'});
		assert.is(res.status, 200);
		const [call] = desk.calls;
		assert.is(Buffer.from(call!.bodyBase64, 'base64').toString(), '{"pallets":2}');
		assert.is(call!.headers['accept-language'], 'nb');
	}));

	it('continues the trace of the caller', async () => withEntry(async world => {
		const desk = await addDesk(world, () => answer(200));
		const traceId = '0af7651916cd43dd8448eb211c80319c';
		await send(world, '/stock', {headers: {traceparent: `00-${traceId}-b7ad6b7169203331-01`}});
		assert.match(desk.calls[0]!.traceparent, traceId);
		assert.not.match(desk.calls[0]!.traceparent, 'b7ad6b7169203331');
	}));

	it('tries a lookup again once after a server error and passes the second one on', async () => withEntry(async world => {
		const desks = [];
		for (let count = 0; count < 3; count++) {
			desks.push(await addDesk(world, () => answer(500, 'broken')));
		}

		const res = await send(world, '/stock');
		assert.equal([res.status, await res.text()], [500, 'broken']);
		assert.is(desks.flatMap(desk => desk.calls).length, 2);
	}));

	it('passes on a server error when the second try fails; guards against an answer of the service that is replaced by a failure of the entry', async () => withEntry(async world => {
		const first = await addDesk(world, () => answer(500, 'broken'));
		const second = await addDesk(world, refuse);
		const res = await send(world, '/stock');
		assert.equal([res.status, await res.text()], [500, 'broken']);
		assert.equal([first.calls.length, second.calls.length], [1, 1]);
	}, inOrder));

	it('leaves the retry budget as it is when nobody else can take the call; guards against sound calls without a retry after an outage', async () => withEntry(async world => {
		await addDesk(world, refuse);
		// More than the budget holds.
		for (let calls = 0; calls < 14; calls++) {
			await send(world, '/stock');
		}

		await addDesk(world, () => answer(200, 'four'));
		const res = await send(world, '/stock');
		assert.equal([res.status, await res.text()], [200, 'four']);
	}, inOrder));

	it('tries a lookup elsewhere after a lost connection', async () => withEntry(async world => {
		await addDesk(world, disconnect);
		await addDesk(world, () => answer(200, 'four'));
		const res = await send(world, '/stock');
		assert.is(await res.text(), 'four');
	}, inOrder));

	it('does not pass on an answer that is nonsense', async () => withEntry(async world => {
		await addDesk(world, () => nonsense as never);
		assert.is(await describeError(await send(world, '/stock')), '502 endpoint-failed unknown retry');
	}));

	describe('actions', () => {
		it('claims before the dispatch and records the answer', async () => withEntry(async world => {
			const desk = await addDesk(world, () => {
				world.events.push('dispatch');
				return answer(201, 'ordered');
			});
			const res = await order(world);
			assert.equal([res.status, await res.text()], [201, 'ordered']);
			assert.equal(world.events, ['claim', 'dispatch', 'complete 201']);
			assert.is(desk.calls[0]!.action!.claimId, 'claim-1');
		}));

		it('numbers the actions on each connection; guards against an agent that takes a new action for a copy', async () => withEntry(async world => {
			const desk = await addDesk(world, (_params, peer) => desk.calls.length === 2 ? disconnect(_params, peer) : answer(201));
			// While the entry connects again it refuses.
			for (let tries = 0; tries < 200 && desk.calls.length < 4; tries++) {
				await order(world);
				await new Promise(resolve => {
					setTimeout(resolve, 5);
				});
			}

			const numbers = desk.calls.map(({action}) => [action!.connection, action!.number]);
			assert.equal(numbers, [[1, 1], [1, 2], [2, 1], [2, 2]]);
		}));

		it('refuses an action without a key, which could not be recognised when it is repeated', async () => withEntry(async world => {
			const res = await send(world, '/orders', {method: 'POST'});
			assert.is(await describeError(res), '400 idempotency-key-missing not-run');
			assert.equal(world.events, []);
		}));

		it('does not send an action a second time after a lost connection', async () => withEntry(async world => {
			const first = await addDesk(world, disconnect);
			const second = await addDesk(world, () => answer(201));
			assert.is(await describeError(await order(world)), '502 endpoint-failed unknown');
			assert.equal([first.calls.length, second.calls.length, world.events], [1, 0, ['claim']]);
		}, inOrder));

		it('does not repeat an action that a service answered with an error', async () => withEntry(async world => {
			const desks = [await addDesk(world, () => answer(500)), await addDesk(world, () => answer(500))];
			const res = await order(world);
			assert.is(res.status, 500);
			assert.is(desks.flatMap(desk => desk.calls).length, 1);
			assert.equal(world.events, ['claim', 'complete 500']);
		}));

		it('sends an action on after a refusal, and releases the claim when all have refused', async () => withEntry(async world => {
			await addDesk(world, refuse);
			const second = await addDesk(world, refuse);
			assert.is(await describeError(await order(world)), '503 no-endpoint not-run retry');
			assert.is(second.calls.length, 1);
			assert.equal(world.events, ['claim', 'release']);
		}, inOrder));

		it('releases the claim if the key was withdrawn while the claim was written', async () => withEntry(async world => {
			const desk = await addDesk(world, () => answer(201));
			Object.defineProperty(world, 'claim', {
				get() {
					world.keys.set(goodKey, 'withdrawn');
					return {kind: 'granted', claimId: 'claim-1'};
				},
			});
			assert.is(await describeError(await order(world)), '401 key-withdrawn not-run');
			assert.equal([desk.calls.length, world.events], [0, ['claim', 'release']]);
		}));

		it('answers from the claim without a dispatch', async () => withEntry(async world => {
			const desk = await addDesk(world, () => answer(201));
			world.claim = {kind: 'done', answer: answer(201, 'ordered')};
			const repeated = await order(world);
			assert.is(await repeated.text(), 'ordered');
			const expected = [
				[{kind: 'in-doubt'}, '409 action-in-doubt unknown'],
				[{kind: 'already-ran'}, '409 action-already-ran ran'],
				[{kind: 'key-reused'}, '422 idempotency-key-reused not-run'],
				[{kind: 'unavailable', retryAfterMs: 500}, '503 claims-unavailable not-run retry'],
			] as const;
			for (const [claim, text] of expected) {
				world.claim = claim;
				assert.is(await describeError(await order(world)), text);
			}

			assert.is(desk.calls.length, 0);
		}));
	});
});
