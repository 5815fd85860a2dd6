import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	describe, it, loopback, waitUntil,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {ListeningQueue, queueLength, startLength} from '../listening-queue.js';
import {closeListener} from '../servers.js';

const callers = 50;

type Fixture = {
	readonly server: Server;
	readonly accepts: {waitingRate: number | undefined};
	readonly queue: ListeningQueue;
	/** Opens all connections in one turn and counts those that have been opened. */
	openAll(): () => number;
};

const withServer = async (body: (fixture: Fixture) => Promise<void>): Promise<void> => {
	const server = createServer((_req, res) => {
		res.end('ok');
	});
	server.listen({port: 0, host: loopback, backlog: startLength});
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const accepts: Fixture['accepts'] = {waitingRate: undefined};
	const sockets: Socket[] = [];
	try {
		await body({
			server,
			accepts,
			queue: new ListeningQueue(server, accepts),
			openAll() {
				const opened = new Set<Socket>();
				for (let caller = 0; caller < callers; caller += 1) {
					const socket = connect(port, loopback);
					socket.once('connect', () => {
						opened.add(socket);
					});
					socket.on('error', () => undefined);
					sockets.push(socket);
				}

				return () => opened.size;
			},
		});
	} finally {
		for (const socket of sockets) {
			socket.destroy();
		}

		closeListener(server);
		server.closeAllConnections();
	}
};

describe('the listening queue', () => {
	it('is as long as what is accepted in 0.4 s; guards against connections that are accepted when their callers have given up', () => {
		assert.equal([undefined, 0, 20, 50, 200, 10_000].map(rate => queueLength(rate)), [32, 8, 8, 20, 80, 511]);
	});

	it('takes no more connections than its length, and more once more are accepted; guards against a length without effect', async () => withServer(async ({accepts, queue, openAll}) => {
		accepts.waitingRate = 20;
		queue.adjust();
		const countFirst = openAll();
		await sleep(400);
		assert.ok(countFirst() < callers / 2, `${countFirst()} of ${callers} connections were opened at once`);
		accepts.waitingRate = 1000;
		queue.adjust();
		const countSecond = openAll();
		await waitUntil(() => countSecond() === callers, {what: 'the connections', limitMs: 900});
	}));

	it('serves connections after each change, also kept ones; guards against a listening socket that nobody reads', async () => withServer(async ({server, accepts, queue}) => {
		const {port} = server.address() as AddressInfo;
		for (const rate of [20, 100, undefined, 30]) {
			accepts.waitingRate = rate;
			queue.adjust();
			const res = await fetch(`http://${loopback}:${port}/`);
			assert.is(await res.text(), 'ok');
		}
	}));

	it('leaves a closed server alone; guards against a stop that listens again', async () => withServer(async ({server, accepts, queue}) => {
		const {port} = server.address() as AddressInfo;
		accepts.waitingRate = 20;
		queue.adjust();
		closeListener(server);
		accepts.waitingRate = 500;
		queue.adjust();
		const socket = connect(port, loopback);
		const [error] = await once(socket, 'error') as [NodeJS.ErrnoException];
		assert.is(error.code, 'ECONNREFUSED');
	}));
});
