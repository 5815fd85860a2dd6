import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import type {RequestError} from '@hawthorncleat/core';
import type {
	ActionMessage, ActionRef, ServiceCallParams, ServiceCallResult,
} from '@hawthorncleat/schema';
import {silentLog} from '@hawthorncleat/telemetry';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {startAgent, type Agent} from '../index.js';
import {
	clock, createSettings, FakeEntry, makeId, traceparent, until, untilReady,
} from './fakes.js';

type Changes = Partial<Omit<ServiceCallParams, 'action'>> & {readonly action?: ActionRef | ActionMessage};

type Setting = {
	readonly agent: Agent;
	readonly received: IncomingMessage[];
	readonly server: Server;
	readonly stop: () => void;
	readonly call: (changes?: Changes) => Promise<ServiceCallResult>;
	readonly fail: (changes?: Changes) => Promise<[string, string]>;
};

const withService = async (
	answer: (req: IncomingMessage, res: ServerResponse) => void,
	body: (setting: Setting) => Promise<void>,
): Promise<void> => {
	const controller = new AbortController();
	const received: IncomingMessage[] = [];
	const server = createServer((req, res) => {
		received.push(req);
		answer(req, res);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const settings = createSettings({endpointKind: 'service', endpointUrl: `http://127.0.0.1:${port}`});
	const agent = await startAgent(settings, {
		clock, random: () => 0.5, makeId, log: silentLog,
	}, controller.signal);
	const entry = await new FakeEntry().connect(agent.internalPort, controller.signal);
	await untilReady(agent);
	const call: Setting['call'] = async ({action: given, ...changes} = {}) => entry.peer.call('service.call', {
		requestId: 'r1',
		attempt: 1,
		incarnation: entry.incarnation,
		clientAccount: 'account-1',
		service: 'orders',
		method: 'POST',
		path: '/orders?x=1',
		headers: {'content-type': 'text/plain', 'x-client-account': 'forged', authorization: 'Bearer secret'},
		bodyBase64: 'aGVsbG8=',
		timeoutMs: 2000,
		traceparent,
		...changes,
		...(given && {action: entry.addressAction(given)}),
	});
	const fail: Setting['fail'] = async changes => {
		const error: unknown = await call(changes).catch((error: unknown) => error);
		const {code, ran} = error as RequestError;
		return [code, ran];
	};

	const stop = (): void => {
		controller.abort();
	};

	try {
		await body({
			agent, received, server, call, fail, stop,
		});
	} finally {
		controller.abort();
		server.close();
		server.closeAllConnections();
		await agent.closed;
	}
};

const action = {actionId: 'a1', claimId: 'c1'};
const answerOk = (req: IncomingMessage, res: ServerResponse): void => {
	req.resume();
	res.setHeader('x-answer', 'yes');
	res.end('done');
};

describe('service calls', () => {
	// Guards against forged accounts and against keys that reach an endpoint.
	it('sets the account and action headers and drops what an endpoint must not see', async () => withService(answerOk, async ({call, received}) => {
		const result = await call({action});
		assert.equal([result.status, result.headers['x-answer'], result.bodyBase64], [200, 'yes', 'ZG9uZQ==']);
		const {headers, url} = received[0]!;
		assert.is(url, '/orders?x=1');
		assert.equal([headers['x-client-account'], headers['x-action-id'], headers.authorization], ['account-1', 'a1', undefined]);
	}));

	// Guards against an action that runs twice.
	it('gives a duplicate message no second run', async () => withService(answerOk, async ({agent, call, fail, received}) => {
		await call({action});
		assert.equal(await fail({action}), ['duplicate-action', 'unknown']);
		assert.equal(await fail({action: {...action, claimId: 'c2'}}), ['duplicate-action', 'unknown']);
		await agent.drain();
		assert.equal(await fail({action}), ['duplicate-action', 'unknown']);
		assert.is(received.length, 1);
	}));

	// Guards against an action that runs although its caller was told that it did not.
	it('refuses a message that comes again after it was refused', async () => withService((req, res) => {
		setTimeout(() => {
			answerOk(req, res);
		}, 200);
	}, async ({call, fail, received}) => {
		const slow = [call(), call()];
		const message = {action: {...action, connection: 1, number: 1}};
		assert.equal(await fail(message), ['overloaded', 'not-run']);
		await Promise.all(slow);
		assert.equal(await fail(message), ['duplicate-action', 'unknown']);
		assert.is(received.length, 2);
	}));

	// Guards against a copy of a message that arrives over the connection that replaced its own.
	it('refuses an action that was sent over another connection', async () => withService(answerOk, async ({call, fail, received}) => {
		await call({action});
		const other = {
			actionId: 'a2', claimId: 'c2', connection: 2, number: 9,
		};
		assert.equal(await fail({action: other}), ['other-connection', 'unknown']);
		assert.is(received.length, 1);
	}));

	// Guards against messages that overtake one another between the connection and the check of their numbers.
	it('takes actions that are sent one right after the other for no duplicates', async () => withService(answerOk, async ({fail}) => {
		const codes = await Promise.all(Array.from({length: 200}, async (_, index) => {
			const [code] = await fail({action: {actionId: `a${index}`, claimId: 'c'}});
			return code;
		}));
		assert.equal(new Set(codes), new Set([undefined, 'overloaded']));
	}));

	// Guards against a message that outlived the agent that it was meant for.
	it('refuses a message for another incarnation', async () => withService(answerOk, async ({fail, received}) => {
		assert.equal(await fail({incarnation: 'old', action}), ['other-incarnation', 'unknown']);
		assert.equal(await fail({incarnation: 'old'}), ['other-incarnation', 'not-run']);
		assert.is(received.length, 0);
	}));

	// Guards against a path that sends the call to another host.
	it('keeps a path with two slashes at the service', async () => withService(answerOk, async ({call, received}) => {
		await call({path: '//127.0.0.1:1/x'});
		assert.is(received[0]?.url, '//127.0.0.1:1/x');
	}));

	// Guards against "not run" for a call that the service may have executed.
	it('says unknown once the service may have got the call', async () => {
		const breakOff = (_req: IncomingMessage, res: ServerResponse): void => {
			res.destroy();
		};

		await withService(breakOff, async ({fail}) => {
			assert.equal(await fail({action}), ['endpoint-failed', 'unknown']);
		});
		await withService(() => undefined, async ({fail}) => {
			assert.equal(await fail({action, timeoutMs: 100}), ['endpoint-timeout', 'unknown']);
		});
	});

	// Guards against an action that stays in doubt although nothing was sent, and against its refusal with a new claim.
	it('says not run when the connection was refused', async () => withService(answerOk, async ({fail, server}) => {
		server.close();
		await once(server, 'close');
		assert.equal(await fail({action}), ['endpoint-failed', 'not-run']);
		assert.equal(await fail({action: {...action, claimId: 'c2'}}), ['endpoint-failed', 'not-run']);
	}));

	// Guards against a planned stop that loses the answer of a call which was under way.
	it('delivers the answer of a running call before the drain ends', async () => {
		let finish!: () => void;
		const hold = (_req: IncomingMessage, res: ServerResponse): void => {
			finish = () => {
				res.end('done');
			};
		};

		await withService(hold, async ({agent, call, received, stop}) => {
			const answer = call({action});
			await until(() => received.length === 1);
			const drained = agent.drain();
			finish();
			await drained;
			stop();
			const {status} = await answer;
			assert.is(status, 200);
		});
	});

	// Guards against more calls at the service than it is configured for.
	it('refuses calls beyond the bound', async () => withService(() => undefined, async ({fail}) => {
		const slow = [fail({timeoutMs: 300}), fail({timeoutMs: 300})];
		assert.equal(await fail(), ['overloaded', 'not-run']);
		await Promise.all(slow);
	}));
});
