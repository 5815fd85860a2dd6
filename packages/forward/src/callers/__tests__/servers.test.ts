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
