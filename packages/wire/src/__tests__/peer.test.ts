import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import {createRequestError, isRequestError, type RequestError} from '@hawthorncleat/core';
import {describe, findFreePort, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {dial, listen, type Peer} from '../index.js';

const clock = {nowMs: () => performance.now()};
const heartbeat = () => ({configVersion: 0, leaving: false});
const commonOptions = {address: '127.0.0.1', clock, heartbeat};

const withAbort = async (body: (signal: AbortSignal) => Promise<void>): Promise<void> => {
	const controller = new AbortController();
	try {
		await body(controller.signal);
	} finally {
		controller.abort();
	}
};

const refuse = (): never => {
	const details = {
		code: 'overloaded', ran: 'not-run', retryAfterMs: 70, status: 429, queuedTokens: 9,
	} as const;
	throw createRequestError('full', details);
};

describe('peer', () => {
	describe('calls', () => {
		it('returns the result of the other side', async () => withAbort(async signal => {
			const handlers = {'config.since': ({version}: {version: number}) => ({version: version + 1})};
			const listener = await listen({...commonOptions, port: 0, handlers}, signal);
			const peer = await dial({...commonOptions, port: listener.port, handlers: {}}, signal);
			assert.equal(await peer.call('config.since', {version: 4}), {version: 5});
		}));

		it('returns the code, ran, retry time and queue length of a refusal to the caller', async () => withAbort(async signal => {
			const listener = await listen({...commonOptions, port: 0, handlers: {'config.since': refuse}}, signal);
			const peer = await dial({...commonOptions, port: listener.port, handlers: {}}, signal);
			const error = await peer.call('config.since', {version: 1}).catch((error: unknown) => error);
			assert.ok(isRequestError(error));
			const {code, ran, retryAfterMs, status, queuedTokens} = error;
			assert.equal([code, ran, retryAfterMs, status, queuedTokens], ['overloaded', 'not-run', 70, 429, 9]);
		}));

		it('reports a call without a response as timed out; guards against a slow response that counts as an error of the other side', async () => withAbort(async signal => {
			const handlers = {'config.since': async () => new Promise<never>(() => {/* Never responds. */})};
			const listener = await listen({...commonOptions, port: 0, handlers}, signal);
			const peer = await dial({...commonOptions, port: listener.port, handlers: {}}, signal);
			const error = await peer.call('config.since', {version: 1}, {timeoutMs: 20}).catch((error: unknown) => error);
			assert.ok(isRequestError(error), String(error));
			assert.equal([error.code, error.ran, error.status], ['call-timeout', 'unknown', 504]);
		}));

		it('rejects parameters that do not match the schema', async () => withAbort(async signal => {
			const handlers = {'config.since': () => ({version: 0})};
			const listener = await listen({...commonOptions, port: 0, handlers}, signal);
			const peer = await dial({...commonOptions, port: listener.port, handlers: {}}, signal);
			const error = await peer.call('config.since', {version: -1}).catch((error: unknown) => error);
			assert.match(String(error), /\/version must be >= 0/);
		}));
	});

	it('frees the port when it is aborted before it listens; guards against a restart that fails because its port is in use', async () => {
		const controller = new AbortController();
		const port = await findFreePort();
		const listening = listen({...commonOptions, port, handlers: {}}, controller.signal);
		controller.abort();
		await listening.catch(() => {/* Aborted on purpose. */});
		await withAbort(async signal => {
			const listener = await listen({...commonOptions, port, handlers: {}}, signal);
			assert.is(listener.port, port);
		});
	});

	describe('lost connections', () => {
		it('reports unknown for a call that was in progress', async () => withAbort(async signal => {
			const handlers = {
				'config.since'(_params: unknown, peer: Peer) {
					peer.close();
					return {version: 0};
				},
			};
			const listener = await listen({...commonOptions, port: 0, handlers}, signal);
			const peer = await dial({...commonOptions, port: listener.port, handlers: {}}, signal);
			const error = await peer.call('config.since', {version: 1}).catch((error: unknown) => error);
			assert.is((error as RequestError).ran, 'unknown');
		}));

		it('reports not-run when the connection cannot be opened', async () => withAbort(async signal => {
			const controller = new AbortController();
			const listener = await listen({...commonOptions, port: 0, handlers: {}}, controller.signal);
			controller.abort();
			await listener.closed;
			const error = await dial({...commonOptions, port: listener.port, handlers: {}}, signal).catch((error: unknown) => error);
			assert.is((error as RequestError).ran, 'not-run');
		}));

		it('closes a connection on which no bytes arrive', async () => withAbort(async signal => {
			const peers: Peer[] = [];
			const onPeer = (peer: Peer) => {
				peers.push(peer);
			};

			const limits = {heartbeatIntervalMs: 10, stallLimitMs: 40};
			const listener = await listen({
				...commonOptions, ...limits, port: 0, handlers: {}, onPeer,
			}, signal);
			const socket = connect(listener.port, '127.0.0.1');
			await new Promise(resolve => {
				socket.once('data', resolve);
			});
			assert.is(await peers[0]!.closed, 'silent');
			socket.destroy();
		}));

		it('closes a connection that sends a line of over 1 MiB', async () => withAbort(async signal => {
			const peers: Peer[] = [];
			const onPeer = (peer: Peer) => {
				peers.push(peer);
			};

			const listener = await listen({
				...commonOptions, port: 0, handlers: {}, onPeer,
			}, signal);
			const socket = connect(listener.port, '127.0.0.1');
			socket.on('error', () => {/* The other side resets the connection. */});
			socket.write('x'.repeat((1024 * 1024) + 2));
			await new Promise(resolve => {
				socket.once('close', resolve);
			});
			assert.is(await peers[0]!.closed, 'protocol-error');
		}));
	});
});
