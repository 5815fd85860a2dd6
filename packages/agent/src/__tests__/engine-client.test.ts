import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	createManualClock, describe, it, loopback,
} from '@hawthorncleat/test-kit';
import {errors} from 'undici';
import * as assert from 'uvu/assert';
import {isEngineFailure} from '../engine-answer.js';
import {createEngineClient, isEngineGone} from '../engine-client.js';

const createRefusal = (): Error => Object.assign(new Error('connect ECONNREFUSED'), {code: 'ECONNREFUSED'});

describe('a failed question for the state of an engine', () => {
	it('shows that the engine is gone when its port refuses connections; guards against requests that wait for a crashed engine', () => {
		assert.ok(isEngineGone(createRefusal()));
	});

	it('does not show it when a connection only takes too long; guards against answers that are cut at an engine too busy to accept one', () => {
		assert.not(isEngineGone(new errors.ConnectTimeoutError()));
		assert.not(isEngineGone(new DOMException('no answer', 'TimeoutError')));
	});
});

describe('a request to an engine', () => {
	const pauseMs = 5000;

	it('is not sent on a connection that was opened before a pause of this process; guards against work for an endpoint that began to leave meanwhile', async () => {
		const clock = createManualClock();
		let received = 0;
		const server = createServer((_req, res) => {
			received += 1;
			res.end();
		});
		// The engine accepts while the agent is paused, so the agent finds the connection open when it goes on.
		server.once('connection', () => {
			clock.advance(pauseMs);
		});
		server.listen(0, loopback);
		await once(server, 'listening');
		const engine = createEngineClient(`http://${loopback}:${(server.address() as AddressInfo).port}`, 1, clock);
		try {
			const answer = engine.generate({
				requestId: 'r-1/1', clientAccount: 'planning', prompt: 'leave', maxTokens: 2, priority: 0, delivered: [],
			}, '', new AbortController().signal);
			const error: unknown = await answer.next().catch((error: unknown) => error);
			assert.is(received, 0);
			assert.ok(isEngineFailure(error));
			assert.is(error.ran, 'not-run');
		} finally {
			server.closeAllConnections();
			server.close();
			await engine.close();
		}
	});
});
