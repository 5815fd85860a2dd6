import {createServer} from 'node:net';
import {once} from 'node:events';
import type {HostRecord} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import {listen, type Peer} from '@hawthorncleat/wire';
import * as assert from 'uvu/assert';
import {chooseSubset} from '../endpoint-pool.js';
import {
	addAgent, complete, describeError, startAgain, until, withEntry,
} from './fixtures.js';

const createHost = (index: number, dataCentre: string): HostRecord => ({
	hostId: `host-${dataCentre}-${index}`,
	dataCentre,
	kind: 'endpoint',
	address: '127.0.0.1',
	port: 1,
	serves: 'desk',
	state: 'live',
});

describe('endpoints', () => {
	it('bounds the connections per service and data centre', () => {
		const hosts = ['dc-1', 'dc-2'].flatMap(dataCentre =>
			Array.from({length: 50}, (_, index) => createHost(index, dataCentre)));
		const chosen = chooseSubset(hosts, {entryId: 'e', dataCentre: 'dc-1'});
		const local = chosen.filter(host => host.dataCentre === 'dc-1');
		assert.equal([local.length, chosen.length], [32, 36]);
	});

	it('passes a crash of an engine on to the other entries', async () => withEntry(async world => {
		const heard: string[] = [];
		const other = await listen({
			address: '127.0.0.1',
			port: 0,
			clock: {nowMs: () => Date.now()},
			heartbeat: () => ({configVersion: 1, leaving: false}),
			handlers: {
				hello: () => ({
					id: 'entry-2', role: 'entry', incarnation: 'i', dataCentre: 'dc-1', configVersion: 1,
				}),
				'crash.suspect'({fingerprints}) {
					heard.push(...fingerprints);
				},
			},
		}, world.signal);
		world.hosts.push({
			...createHost(1, 'dc-1'), hostId: 'entry-2', kind: 'entry', serves: undefined, port: other.port,
		});
		await until(() => other.peers.size > 0, 'the other entry');
		const agent = await addAgent(world, 'planner-engines', {});
		const notify = (peers: ReadonlySet<Peer>): void => {
			for (const peer of peers) {
				peer.notify('crash.suspect', {fingerprints: ['f1']});
			}
		};

		notify(agent.peers);
		notify(agent.peers);
		await until(() => heard.length > 0, 'the mark');
		assert.equal(heard, ['f1']);
	}));

	it('ignores a host that is not an agent', async () => withEntry(async world => {
		let connections = 0;
		const impostor = createServer(socket => {
			connections += 1;
			socket.on('error', () => {/* The entry closes the connection. */});
			socket.end('HTTP/1.1 400 Bad Request\r\n\r\n');
		}).listen(0, '127.0.0.1');
		await once(impostor, 'listening');
		const {port} = impostor.address() as {port: number};
		world.hosts.push({...createHost(1, 'dc-1'), serves: 'planner-engines', port});
		await until(() => connections > 1, 'a second try');
		assert.is(await describeError(await complete(world)), '503 no-endpoint not-run retry');
		impostor.close();
	}));

	it('releases its ports when the start fails halfway', async () => withEntry(async world => {
		const probe = createServer().listen(0, '127.0.0.1');
		await once(probe, 'listening');
		const {port: internalPort} = probe.address() as {port: number};
		probe.close();
		await once(probe, 'close');
		const start = async (): Promise<unknown> =>
			startAgain(world, {internalPort, adminPort: world.entry.adminPort}).catch((error: unknown) => error);
		assert.match(String(await start()), `EADDRINUSE: address already in use 127.0.0.1:${world.entry.adminPort}`);
		// A port that was not released would now be reported instead.
		assert.match(String(await start()), `EADDRINUSE: address already in use 127.0.0.1:${world.entry.adminPort}`);
	}));
});
