import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs, type EndpointId, type Fingerprint, type SegmentKey,
} from '@hawthorncleat/core';
import {
	createManualClock, describe, findFreePort, it, loopback,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {Gossip, sendIntervalMs, type GossipOptions} from '../gossip.js';
import type {Peer} from '../peer-group.js';
import type {Departure} from '../../endpoints/departures.js';
import {ForwardMetrics} from '../../telemetry/metrics.js';
import type {SegmentNews} from '../../quarantines/segment-quarantines.js';

const quarantines = [{
	segment: brandAs<SegmentKey>('models/dead'), companions: [], refutedAgeMs: 1000, remainingMs: 10_000,
}];

/** An entry without requests, and with a clock that stands still, so that no keep-alive is due after the first message. */
const createOptions = (port: number, peers: readonly Peer[]): GossipOptions => ({
	clock: createManualClock(100_000),
	ownName: 'e1',
	dataCentre: 'a',
	address: loopback,
	port,
	metrics: new ForwardMetrics(),
	supervise: async (_name, task, signal) => task(signal),
	load: {
		dropStalePeers: () => undefined, ownRunningCounts: () => [], ownPendingPrefills: () => [], drainSent: () => [], speeds: {drain: () => []}, applyPeerMessage: () => undefined,
	} as unknown as GossipOptions['load'],
	peers: () => peers,
	configVersion: () => 1,
	ownPhase: () => ({phase: 'ready', stoppingMs: 0}),
	onPhase: () => undefined,
	roleChanges: () => [],
	usageNotice: () => ({owner: 'e1', windows: []}),
	crashReports: () => [],
	onCrashReports: () => undefined,
	departures: () => [],
	onDepartures: () => undefined,
	limitNews: () => ({limits: [], demands: []}),
	onLimitNews: () => undefined,
	accountNews: () => undefined,
	onAccountNews: () => undefined,
	segmentNews: () => ({crashes: [], completed: [], quarantines: []}),
	onSegmentNews: () => undefined,
	requestNews: () => ({quarantines: [], completed: []}),
	onRequestNews: () => undefined,
	streamNews: () => [],
	onStreamNews: () => undefined,
	onUsage: () => undefined,
	onRoleChanges: () => undefined,
	onConfigVersion: () => undefined,
	onError: () => undefined,
	onPortFailure: () => undefined,
});

const createIdleGossip = (port: number, peerPort: number, segmentNews: () => SegmentNews): Gossip => new Gossip({
	...createOptions(port, [{name: 'e2', address: loopback, port: peerPort}]), segmentNews,
});

type SentMessage = {readonly sent: ReadonlyArray<readonly [endpoint: string]>};

/** Receives the messages that are sent to a port. */
const listenFor = async (port: number): Promise<{readonly socket: Socket; readonly messages: SentMessage[]}> => {
	const socket = createSocket('udp4');
	const messages: SentMessage[] = [];
	socket.on('message', bytes => {
		messages.push(JSON.parse(String(bytes)) as SentMessage);
	});
	socket.bind(port, loopback);
	await once(socket, 'listening');
	return {socket, messages};
};

const endpointsIn = (messages: readonly SentMessage[]): string[] => messages.flatMap(({sent}) => sent.map(([endpoint]) => endpoint));

describe('gossip between entries', () => {
	it('sends about as many datagrams a second to a hundred peers as to ten; guards against the smallest hosts kept busy by reading datagrams', () => {
		const perSecond = (peers: number): number => peers * 1000 / sendIntervalMs(peers);
		assert.ok(perSecond(10) <= 130 && perSecond(100) <= 130, `${perSecond(10)} and ${perSecond(100)} a second`);
	});

	it('sends often among few entries, and at least once a second among many', () => {
		assert.is(sendIntervalMs(3), 60);
		assert.is(sendIntervalMs(2300), 1000);
	});

	it('tells peers of its data centre sooner than the many elsewhere, and both of all work once; guards against choices by load that is half a second old', async () => {
		const [port, localPort, remotePort] = [await findFreePort(), await findFreePort(), await findFreePort()];
		const [local, remote] = await Promise.all([listenFor(localPort), listenFor(remotePort)]);
		const others = Array.from({length: 60}, (_, index) => ({
			name: `r${index}`, address: loopback, port: remotePort, dataCentre: 'b',
		}));
		const work = Array.from({length: 6}, (_, index) => ({
			endpoint: `i-${index}`, level: 0, tokens: 1000, cachedTokens: 500, outputTokens: 10, segments: [],
		}));
		const gossip = new Gossip({
			...createOptions(port, [{
				name: 'e2', address: loopback, port: localPort, dataCentre: 'a',
			}, ...others]),
			load: {
				dropStalePeers: () => undefined, ownRunningCounts: () => [], ownPendingPrefills: () => [], drainSent: () => work.splice(0, 1), speeds: {drain: () => []},
			} as unknown as GossipOptions['load'],
		});
		const ending = new AbortController();
		const running = gossip.run(ending.signal);
		await sleep(800);
		ending.abort();
		await running;
		local.socket.close();
		remote.socket.close();
		assert.equal(endpointsIn(local.messages), ['i-0', 'i-1', 'i-2', 'i-3', 'i-4', 'i-5']);
		assert.equal([...new Set(endpointsIn(remote.messages))], ['i-0', 'i-1', 'i-2', 'i-3', 'i-4', 'i-5']);
		assert.is(endpointsIn(remote.messages).length, 6 * others.length);
		assert.ok(local.messages.length >= 4 && remote.messages.length <= 2 * others.length, `${local.messages.length} and ${remote.messages.length} messages`);
	});

	it('sends departures at once, and in a datagram of their own beside much other news; guards against datagrams that are cut into fragments', async () => {
		const [port, peerPort] = [await findFreePort(), await findFreePort()];
		const peer = createSocket('udp4');
		const messages: Array<{length: number; departures: unknown[]; crashes: number}> = [];
		peer.on('message', bytes => {
			const {departures = [], crashes = []} = JSON.parse(String(bytes)) as {departures?: unknown[]; crashes?: unknown[]};
			messages.push({length: bytes.length, departures, crashes: crashes.length});
		});
		peer.bind(peerPort, loopback);
		await once(peer, 'listening');
		const departures = Array.from({length: 8}, (_, index): Departure => ({
			id: brandAs<EndpointId>(`i-9c41d07be2${index}`), startedAt: 1_700_000_000_000, kind: 'registered', heartbeat: 100, ageMs: 1000,
		}));
		let asked = 0;
		const gossip = new Gossip({
			...createOptions(port, [{name: 'e2', address: loopback, port: peerPort}]),
			crashReports: () => Array.from({length: 20}, (_, index) => ({
				fingerprint: brandAs<Fingerprint>('9c41d07be2a35f68'), endpoint: `i-5a07e2c9b1${index}`, ageMs: 1000, crashes: 1,
			})),
			departures() {
				asked += 1;
				return asked === 3 ? departures : [];
			},
		});
		const ending = new AbortController();
		const running = gossip.run(ending.signal);
		await sleep(600);
		ending.abort();
		await running;
		peer.close();
		assert.equal(messages.filter(message => message.departures.length > 0).map(message => [message.departures.length, message.crashes]), [[8, 0]]);
		assert.ok(messages.every(({length}) => length <= 1400), messages.map(({length}) => length).join(' '));
	});

	// The exception reached the socket, where it ended the process.
	it('goes on after a message whose content cannot be applied; guards against a datagram that ends the process', async () => {
		const [port, peerPort] = [await findFreePort(), await findFreePort()];
		const errors: unknown[] = [];
		const versions: number[] = [];
		const gossip = new Gossip({
			...createOptions(port, [{name: 'e2', address: loopback, port: peerPort}]),
			onConfigVersion(_peer, version) {
				versions.push(version);
				if (version === 1) {
					throw new Error('cannot be applied');
				}
			},
			onError(error) {
				errors.push(error);
			},
		});
		const ending = new AbortController();
		const running = gossip.run(ending.signal);
		const peer = createSocket('udp4');
		for (const config of [1, 2]) {
			// The socket of the entry is bound by then.
			await sleep(50);
			peer.send(JSON.stringify({
				from: 'e2', config, changing: [], running: [], sent: [],
			}), port, loopback);
		}

		await sleep(50);
		ending.abort();
		await running;
		peer.close();
		assert.equal(versions, [1, 2]);
		assert.is(errors.length, 1);
	});

	it('sends quarantines of prompt segments although nothing else is new; guards against an entry that has just started and does not learn of them', async () => {
		const [port, peerPort] = [await findFreePort(), await findFreePort()];
		const peer = createSocket('udp4');
		const messages: Array<{segments?: SegmentNews}> = [];
		peer.on('message', bytes => {
			messages.push(JSON.parse(String(bytes)) as {segments?: SegmentNews});
		});
		peer.bind(peerPort, loopback);
		await once(peer, 'listening');
		let asked = 0;
		const gossip = createIdleGossip(port, peerPort, () => {
			asked += 1;
			return {crashes: [], completed: [], quarantines: asked === 3 ? quarantines : []};
		});
		const ending = new AbortController();
		const running = gossip.run(ending.signal);
		await sleep(600);
		ending.abort();
		await running;
		peer.close();
		assert.equal(messages.flatMap(({segments}) => segments?.quarantines ?? []), quarantines);
	});
});
