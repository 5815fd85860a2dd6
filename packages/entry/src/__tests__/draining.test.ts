import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, request} from 'node:http';
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout} from 'node:timers/promises';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	addAgent, complete, goodKey, sendEnd, sendTokens, until, withEntry, type World,
} from './fixtures.js';

/** Calls on the one connection of the agent, with the status and the `Connection` header of the answer. */
const callOnKeptConnection = async (world: World, agent: Agent): Promise<string> => new Promise((resolve, reject) => {
	const req = request({
		agent, host: '127.0.0.1', port: world.entry.callerPort, path: '/stock', headers: {authorization: `Bearer ${goodKey}`},
	}, res => {
		res.resume().once('end', () => {
			resolve(`${res.statusCode} ${res.headers.connection}`);
		});
	});
	req.once('error', reject).end();
});

/** Writes a long body to its end before it reads the answer, as blocking HTTP clients do. */
const sendBeforeReading = async (world: World, chunks: number): Promise<string> => {
	const chunk = 'x'.repeat(500_000);
	const socket = connect({host: '127.0.0.1', port: world.entry.callerPort});
	socket.on('error', () => {/* The write that failed rejects. */});
	await once(socket, 'connect');
	socket.write(`POST /stock HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${goodKey}\r\ncontent-length: ${chunks * chunk.length}\r\n\r\n`);
	for (let sent = 0; sent < chunks; sent += 1) {
		await new Promise<void>((resolve, reject) => {
			socket.write(chunk, err => {
				if (err) {
					reject(err);
				} else {
					resolve();
				}
			});
		});
	}

	return text(socket);
};

/** Keeps the drain waiting for a request until `body` has ended. */
const withRunningRequest = async (world: World, body: () => Promise<void>): Promise<void> => {
	let finish = (): void => {/* Set when the request has arrived. */};
	const agent = await addAgent(world, 'planner-engines', {
		'request.start'(params, peer) {
			finish = () => {
				sendTokens(peer, params, 0, ['one']);
				sendEnd(peer, params, 1);
			};

			return {accepted: true, queuedTokens: 0};
		},
	});
	const running = complete(world);
	await until(() => agent.starts.length > 0, 'the request');
	const drained = world.entry.drain();
	try {
		await body();
	} finally {
		finish();
		const res = await running;
		await res.text();
		await drained;
	}
};

describe('callers of an entry that is draining', () => {
	it('get their refusal although the body is still arriving, which a reset would lose', async () => withEntry(async world => {
		await withRunningRequest(world, async () => {
			assert.match(await sendBeforeReading(world, 8), /^HTTP\/1.1 503 [^]*"code":"draining"[^]*"ran":"not-run"/);
		});
	}, {}, {maxBodyBytes: 8_000_000}));

	it('are refused on their open connection after the entry stopped listening, and not reset', async () => withEntry(async world => {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		const first = await callOnKeptConnection(world, agent);
		assert.is(first, '503 keep-alive');
		const state = {isDrained: false};
		const drained = world.entry.drain().then(() => {
			state.isDrained = true;
		});
		// A running request does not hold this drain up, so the listening socket closes as soon as nothing connects.
		const answers = new Set<string>();
		while (!state.isDrained) {
			answers.add(await callOnKeptConnection(world, agent));
		}

		await drained;
		assert.equal([...answers].toSorted(), ['503 close', '503 keep-alive']);
		await callOnKeptConnection(world, agent).then(assert.unreachable, (error: unknown) => {
			assert.is((error as NodeJS.ErrnoException).code, 'ECONNREFUSED');
		});
		agent.destroy();
	}));

	// Guards against server.close() and closeIdleConnections(), which close a connection whose answer has been written but not sent.
	it('get the whole answer although they read it slowly; guards against an answer that is cut when the entry ends', async () => {
		const answerBytes = 500_000;
		const answerCount = 24;
		let received: Promise<string> | undefined;
		await withEntry(async world => {
			const bodyBase64 = Buffer.from('b'.repeat(answerBytes)).toString('base64');
			const agent = await addAgent(world, 'desk', {'service.call': () => ({status: 200, headers: {}, bodyBase64})});
			const socket = connect({host: '127.0.0.1', port: world.entry.callerPort});
			await once(socket, 'connect');
			socket.pause();
			socket.write(`GET /stock HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${goodKey}\r\n\r\n`.repeat(answerCount));
			await until(() => agent.calls.length === answerCount, 'the calls');
			// A drain would announce the close with answers that have not begun.
			await setTimeout(300);
			await world.entry.drain();
			received = setTimeout(100).then(async () => text(socket));
		});
		const answers = await received;
		assert.is(answers?.match(/HTTP\/1.1 200/g)?.length, answerCount);
		assert.ok(answers!.length > answerBytes * answerCount, `${answers!.length} bytes`);
	});

	// Guards against the close that was announced with the first answer, after which Node.js drops the later ones.
	it('get all answers to requests that they sent in a row; guards against a running request whose connection ends with an earlier answer', async () => withEntry(async world => {
		const agent = await addAgent(world, 'desk', {
			async 'service.call'() {
				await setTimeout(300);
				return {status: 200, headers: {}, bodyBase64: ''};
			},
		});
		const socket = connect({host: '127.0.0.1', port: world.entry.callerPort});
		await once(socket, 'connect');
		socket.write(`GET /stock HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ${goodKey}\r\n\r\n`.repeat(3));
		await until(() => agent.calls.length === 3, 'the calls');
		const drained = world.entry.drain();
		const answers = await text(socket);
		assert.is(answers.match(/HTTP\/1.1 200/g)?.length, 3);
		await drained;
	}));
});
