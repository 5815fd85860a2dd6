import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {
	describe, findFreePort, it, loopback,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {closeHttpServer, startHttpServer} from '../servers.js';

describe('a server that listens', () => {
	it('reports a connection that it cannot accept; guards against an error event that ends the process', async () => {
		const failures: string[] = [];
		const server = await startHttpServer({address: loopback, port: await findFreePort()}, () => undefined, {
			name: 'callers',
			signal: new AbortController().signal,
			onFailure(port, error) {
				failures.push(`${port}: ${(error as Error).message}`);
			},
		});
		server.emit('error', new Error('accept EMFILE'));
		closeHttpServer(server);
		assert.equal(failures, ['callers: accept EMFILE']);
	});
});

describe('a request head', () => {
	it('is read with all its headers, however many; guards against headers that are dropped, and a body that is not read without them', async () => {
		const port = await findFreePort();
		const read: IncomingMessage[] = [];
		const server = await startHttpServer({address: loopback, port}, (req, res) => {
			read.push(req);
			res.end();
		}, {name: 'peers', signal: new AbortController().signal, onFailure() {/* Nothing fails here. */}});
		const headers = Array.from({length: 5000}, (_, index) => `x${index}: 1`);
		const socket = connect(port, loopback);
		socket.end(['POST / HTTP/1.1', 'host: h.example', ...headers, 'connection: close', 'content-length: 0', '', ''].join('\r\n'));
		await once(socket.resume(), 'close');
		closeHttpServer(server);
		assert.is(Object.keys(read[0]?.headers ?? {}).length, headers.length + 3);
		assert.is(read[0]?.headers['content-length'], '0');
	});
});
