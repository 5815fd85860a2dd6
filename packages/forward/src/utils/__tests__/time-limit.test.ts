import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it, loopback} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {createProgressLimit, createTimeLimit, withTimeLimit} from '../time-limit.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

describe('a time limit', () => {
	it('ends a call despite garbage collection; guards against calls to the store that never end', async () => {
		const call = withTimeLimit(100, new AbortController().signal, async signal => new Promise((resolve, reject) => {
			signal.addEventListener('abort', () => {
				reject(new Error('ended'));
			}, {once: true});
		}));
		const outcome = call.catch((error: unknown) => error);
		for (let round = 0; round < 10; round += 1) {
			collectGarbage();
			await sleep(20);
		}

		const firstResult = await Promise.race([outcome, sleep(500, 'waits')]);
		assert.instance(firstResult, Error);
	});

	it('aborts with its parent signal and is not expired then; guards against an endpoint blamed when the caller disconnects', () => {
		const parent = new AbortController();
		const limit = createTimeLimit(10_000, parent.signal);
		parent.abort(new Error('parent'));
		assert.ok(limit.signal.aborted);
		assert.not(limit.isExpired);
		limit.clear();
	});
});

describe('a limit that follows the progress of a call', () => {
	const limits = {firstMs: 100, stallMs: 100, totalMs: 600};

	it('lets an answer go on while parts of it arrive; guards against large answers that are given up on a narrow link', async () => {
		const limit = createProgressLimit(limits);
		for (let part = 0; part < 8; part += 1) {
			await sleep(50);
			limit.recordProgress();
		}

		assert.not(limit.signal.aborted);
		limit.clear();
	});

	it('expires when the answer does not begin, and when it stops; guards against connections that have gone silent', async () => {
		const [unanswered, stalled] = [createProgressLimit(limits), createProgressLimit(limits)];
		await sleep(60);
		stalled.recordProgress();
		await sleep(80);
		assert.equal([unanswered.isExpired, stalled.isExpired], [true, false]);
		await sleep(60);
		assert.ok(stalled.isExpired && stalled.signal.aborted);
		for (const limit of [unanswered, stalled]) {
			limit.clear();
		}
	});

	it('ends an answer that goes on for too long; guards against one that is sent byte by byte', async () => {
		const limit = createProgressLimit(limits);
		const startMs = performance.now();
		while (!limit.isExpired && performance.now() - startMs < 2000) {
			limit.recordProgress();
			await sleep(20);
		}

		assert.ok(limit.isExpired);
		assert.ok(performance.now() - startMs >= 600);
		limit.clear();
	});

	// Timers run before sockets are read, so a call whose answer had arrived was given up after each pause of the process.
	it('counts what arrived while the process did not run; guards against answers that are given up after a pause', async () => {
		const server = createServer(socket => {
			socket.write('x');
		});
		server.listen(0, loopback);
		await once(server, 'listening');
		const socket = connect((server.address() as AddressInfo).port, loopback);
		await once(socket, 'connect');
		const limit = createProgressLimit({...limits, firstMs: 40});
		socket.on('data', () => {
			limit.recordProgress();
		});
		const busyUntilMs = performance.now() + 200;
		while (performance.now() < busyUntilMs) {
			// Holds up the event loop.
		}

		await sleep(30);
		assert.not(limit.isExpired);
		limit.clear();
		socket.destroy();
		server.close();
	});

	it('aborts with its parent signal and is not expired then; guards against a sound connection that is left at the end', () => {
		const parent = new AbortController();
		const limit = createProgressLimit(limits, parent.signal);
		parent.abort(new Error('parent'));
		assert.ok(limit.signal.aborted);
		assert.not(limit.isExpired);
		limit.clear();
	});
});
