
import {request} from 'node:http';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	addAgent, adminToken, complete, describeError, goodKey, send, until, withdrawnKey, withEntry, type FakeAgent, type World,
} from './fixtures.js';

const post = async (world: World, body: string): Promise<string> =>
	describeError(await send(world, '/v1/chat/completions', {method: 'POST', body}));

const admin = async (world: World, path: string, init: RequestInit = {}): Promise<Response> =>
	fetch(`http://127.0.0.1:${world.entry.adminPort}${path}`, init);

const statusOf = async (answer: Promise<Response>): Promise<number> => {
	const {status} = await answer;
	return status;
};

const asAdmin = {headers: {authorization: `Bearer ${adminToken}`}};

describe('callers', () => {
	describe('keys', () => {
		it('refuses requests whose key is missing, unknown or withdrawn', async () => withEntry(async world => {
			assert.is(await describeError(await send(world, '/stock', {}, '')), '401 key-missing not-run');
			assert.is(await describeError(await send(world, '/stock', {}, 'guessed')), '401 key-unknown not-run');
			assert.is(await describeError(await send(world, '/stock', {}, withdrawnKey)), '401 key-withdrawn not-run');
		}));

		it('refuses a key that is withdrawn while its connection stays open', async () => withEntry(async world => {
			assert.is(await statusOf(send(world, '/v1/models')), 200);
			world.keys.set(goodKey, 'withdrawn');
			assert.is(await describeError(await send(world, '/v1/models')), '401 key-withdrawn not-run');
		}));

		it('serves no keyed request without evidence of freshness, but open routes', async () => withEntry(async world => {
			await addAgent(world, 'desk', {'service.call': () => ({status: 204, headers: {}, bodyBase64: ''})});
			world.isFresh = false;
			assert.is(await describeError(await send(world, '/stock')), '503 freshness-lost not-run retry');
			assert.is(await statusOf(send(world, '/open')), 204);
		}));

		it('hides a route from other accounts', async () => withEntry(async world => {
			assert.is(await describeError(await send(world, '/other')), '404 route-unknown not-run');
		}));

		it('refuses a key in the URL, which would reach the endpoint', async () => withEntry(async world => {
			for (const path of ['/stock?api_key=x', '/stock?x=1&access-token=y', `/stock/${goodKey}`, `/stock?q=${goodKey}`]) {
				assert.is(await describeError(await send(world, path)), '400 bad-request not-run');
			}
		}));
	});

	describe('requests', () => {
		it('refuses unknown routes and models', async () => withEntry(async world => {
			assert.is(await describeError(await send(world, '/nowhere')), '404 route-unknown not-run');
			assert.is(await describeError(await complete(world, {model: 'nothing'})), '404 model-unknown not-run');
		}));

		it('refuses malformed bodies', async () => withEntry(async world => {
			const bodies = [
				'',
				'{',
				'[]',
				'null',
				'"text"',
				'{}',
				'{"model":"planner","messages":[]}',
				'{"model":"planner","messages":[null]}',
				'{"model":"planner","messages":[{"role":"user","content":7}]}',
				'{"model":"planner","messages":[{"role":"user","content":"a"}],"max_tokens":-1}',
				'{"model":"planner","messages":[{"role":"user","content":"a"}],"stream":"yes"}',
			];
			for (const body of bodies) {
				assert.is(await post(world, body), '400 bad-request not-run', body);
			}
		}));

		it('refuses an oversized body, with and without a stated length', async () => withEntry(async world => {
			const body = 'x'.repeat(70_000);
			assert.is(await describeError(await send(world, '/stock', {method: 'POST', body})), '413 body-too-large not-run');
			const stream = new Blob([body]).stream();
			const init: RequestInit & {duplex: 'half'} = {method: 'POST', body: stream, duplex: 'half'};
			assert.is(await describeError(await send(world, '/stock', init)), '413 body-too-large not-run');
		}));

		it('does not wait for ever for a body that stops halfway', async () => withEntry(async world => {
			const status = await new Promise(resolve => {
				const headers = {authorization: `Bearer ${goodKey}`, 'content-length': '100'};
				const req = request({
					port: world.entry.callerPort, path: '/stock', method: 'POST', headers,
				}, res => {
					resolve(res.statusCode);
					req.destroy();
				});
				req.on('error', () => {/* The entry closes the connection. */});
				req.write('half');
			});
			assert.is(status, 400);
		}));
	});

	describe('other ways for a key or a route', () => {
		it('refuses a key in the body, which the endpoint would see', async () => withEntry(async world => {
			assert.is(await describeError(await complete(world, {prompt: `say ${goodKey}`})), '400 bad-request not-run');
			const res = await send(world, '/stock', {method: 'POST', body: `key=${goodKey}`});
			assert.is(await describeError(res), '400 bad-request not-run');
		}));

		it('refuses a path that a service could read as the path of an action', async () => withEntry(async world => {
			for (const path of ['/stock/..%2Forders', '/stock/..%5corders', '/stock//orders']) {
				assert.is(await describeError(await send(world, path)), '400 bad-request not-run');
			}
		}));
	});

	describe('limits', () => {
		const addSlowDesk = async (world: World): Promise<FakeAgent> => addAgent(world, 'desk', {
			async 'service.call'() {
				await new Promise(resolve => {
					setTimeout(resolve, 50);
				});
				return {status: 204, headers: {}, bodyBase64: ''};
			},
		});

		it('refuses an account that exceeds its tokens per second', async () => withEntry(async world => {
			await addSlowDesk(world);
			world.account = {...world.account, tokensPerSecond: 10};
			assert.is(await statusOf(send(world, '/stock', {method: 'POST', body: 'x'.repeat(400)})), 204);
			const refused = await send(world, '/stock');
			assert.ok(Number(refused.headers.get('retry-after')) >= 8);
			assert.is(await describeError(refused), '429 account-rate-limited not-run retry');
		}));

		it('refuses an account that has too many requests running, until one ends', async () => withEntry(async world => {
			const desk = await addSlowDesk(world);
			world.account = {...world.account, maxConcurrent: 1};
			const first = send(world, '/stock');
			await until(() => desk.calls.length > 0, 'the first call');
			assert.is(await describeError(await send(world, '/stock')), '429 account-rate-limited not-run retry');
			assert.is(await statusOf(first), 204);
			assert.is(await statusOf(send(world, '/stock')), 204);
		}));
	});

	describe('admin API', () => {
		it('is ready until it drains, and shows metrics without a token', async () => withEntry(async world => {
			assert.is(await statusOf(admin(world, '/readyz')), 200);
			const metrics = await admin(world, '/metrics');
			assert.match(await metrics.text(), 'hawthorncleat_entry_running_requests');
			await world.entry.drain();
			assert.is(await statusOf(admin(world, '/readyz')), 503);
			assert.is(await statusOf(admin(world, '/livez')), 200);
		}));

		it('keeps operators without the token out', async () => withEntry(async world => {
			assert.is(await statusOf(admin(world, '/admin/status')), 401);
			assert.is(await statusOf(admin(world, '/admin/drain', {method: 'POST', headers: {authorization: 'Bearer wrong'}})), 401);
			assert.is(await statusOf(admin(world, '/readyz')), 200);
			assert.is(await statusOf(admin(world, '/admin/status', asAdmin)), 200);
		}));

		it('reports conflicts of a change and refuses one that is no JSON', async () => withEntry(async world => {
			const res = await admin(world, '/admin/config/apply', {...asAdmin, method: 'POST', body: '{}'});
			assert.equal([res.status, await res.json()], [409, {conflicts: ['route planner'], version: 7}]);
			const malformed = await admin(world, '/admin/config/apply', {...asAdmin, method: 'POST', body: '{'});
			assert.is(malformed.status, 400);
		}));
	});
});
