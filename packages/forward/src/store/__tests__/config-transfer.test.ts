import {once} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	describe, it, loopback, waitUntil,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {Client} from 'undici';
import {ConfigServer, fetchConfig} from '../config-transfer.js';
import type {Address} from '../../ports.js';

describe('serving the configuration to other entries', () => {
	const withServer = async (text: string, body: (address: Address) => Promise<void>): Promise<void> => {
		const configServer = new ConfigServer(() => text, () => undefined);
		const server = createServer((req, res) => {
			void configServer.answer(req, res);
		});
		server.listen(0, loopback);
		await once(server, 'listening');
		try {
			await body({address: loopback, port: (server.address() as AddressInfo).port});
		} finally {
			server.close();
			server.closeAllConnections();
		}
	};

	const largeText = JSON.stringify(Array.from({length: 4000}, (_, index) => ({
		name: `r${index}`, hostname: `h${index}.example`, kind: 'idempotent', timeoutMs: 1500,
	})));

	it('sends it compressed and whole; guards against transfers as long as those of the store', async () => withServer(largeText, async ({address, port}) => {
		const {text, bytes} = await fetchConfig({address, port});
		assert.is(text, largeText);
		assert.ok(bytes * 4 < largeText.length);
	}));

	it('sends it as it is to an entry that asks for no compression; guards against an earlier version that cannot read it', async () => withServer(largeText, async ({address, port}) => {
		const client = new Client(`http://${address}:${port}`);
		const {headers, body} = await client.request({method: 'GET', path: '/config'});
		assert.is(headers['content-encoding'], undefined);
		assert.is(await body.text(), largeText);
		await client.destroy();
	}));

	it('serves few at a time and tells the others to come later; guards against a link that is full of copies', async () => withServer(largeText.repeat(40), async ({address, port}) => {
		const clients = Array.from({length: 8}, () => new Client(`http://${address}:${port}`));
		// Nobody reads, so that no transfer ends.
		const answers = await Promise.all(clients.map(async client => client.request({method: 'GET', path: '/config'})));
		const busy = answers.filter(({statusCode}) => statusCode === 503);
		assert.is(busy.length, 5);
		assert.ok(busy.every(({headers}) => headers['retry-after'] === '1'));
		await Promise.all(clients.map(async client => client.destroy()));
		await waitUntil(async () => fetchConfig({address, port}).then(() => true, () => false));
	}));

	it('has none to send before its first version; guards against an empty text that is taken for one', async () => withServer('', async address => {
		const problem = await fetchConfig(address).then(() => undefined, (error: unknown) => error);
		assert.instance(problem, Error);
	}));
});
