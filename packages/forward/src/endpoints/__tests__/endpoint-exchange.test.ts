import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {brandAs, type EndpointId} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {startEndpointExchange, type ExchangeEnd} from '../endpoint-exchange.js';
import {EndpointPool} from '../endpoint-pool.js';

/** Runs an exchange with an endpoint that answers with raw bytes. */
const exchangeWith = async (sendAnswer: (socket: Socket) => void): Promise<{end: ExchangeEnd; text: string}> => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			sendAnswer(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const pool = new EndpointPool({clock: createManualClock(), entries: () => 1, serviceOf: () => undefined});
	pool.put({
		id: brandAs<EndpointId>('e1'),
		service: 's',
		address: '127.0.0.1',
		port: (server.address() as AddressInfo).port,
		dataCentre: 'd',
		slots: 1,
		isLeaving: false,
		startedAt: 1,
		heartbeat: 1,
	});
	const chunks: Uint8Array[] = [];
	const end = await startEndpointExchange(pool.get('e1')!.connections, {method: 'GET', path: '/', headers: {}}, {
		onHead: () => true,
		onData(chunk) {
			chunks.push(chunk);
			return true;
		},
	}, {signal: AbortSignal.timeout(3000)}).ended;
	await pool.destroy();
	server.close();
	return {end, text: chunks.map(String).join('')};
};

const headWithoutLength = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

describe('an exchange with an endpoint', () => {
	it('is complete when an answer without length ends with its connection', async () => {
		const {end, text} = await exchangeWith(socket => {
			socket.end(`${headWithoutLength}whole`);
		});
		assert.is(end.kind, 'complete');
		assert.is(text, 'whole');
	});

	it('is broken when the connection of an answer without length is reset; guards against a truncated answer that looks complete', async () => {
		const {end} = await exchangeWith(socket => {
			socket.write(`${headWithoutLength}part`);
			void sleep(50).then(() => socket.resetAndDestroy());
		});
		assert.is(end.kind, 'broken');
	});

	it('is broken when the reset arrives together with the last bytes, which Node reports as an ordinary end', async () => {
		for (let round = 0; round < 20; round += 1) {
			const {end} = await exchangeWith(socket => {
				socket.write(`${headWithoutLength}part`);
				socket.resetAndDestroy();
			});
			assert.is(end.kind, 'broken');
		}
	});

	it('is broken when an answer with a length ends early', async () => {
		const {end} = await exchangeWith(socket => {
			socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart');
		});
		assert.is(end.kind, 'broken');
	});

	it('reports that nothing was sent when no connection is made; guards against an action that cannot be retried elsewhere', async () => {
		const pool = new EndpointPool({clock: createManualClock(), entries: () => 1, serviceOf: () => undefined});
		pool.put({
			id: brandAs<EndpointId>('gone'), service: 's', address: '127.0.0.1', port: 1, dataCentre: 'd', slots: 1, isLeaving: false, startedAt: 1, heartbeat: 1,
		});
		const {ended} = startEndpointExchange(pool.get('gone')!.connections, {
			method: 'POST', path: '/', headers: {}, body: 'x',
		}, {onHead: () => true, onData: () => true}, {signal: AbortSignal.timeout(3000)});
		const {kind} = await ended;
		assert.is(kind, 'not-sent');
		await pool.destroy();
	});
});
