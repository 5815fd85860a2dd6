import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {brandAs, type SegmentKey} from '@hawthorncleat/core';
import {
	createManualClock, describe, findFreePort, it, loopback,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {Gossip, sendIntervalMs, type GossipOptions} from '../gossip.js';
import type {SegmentNews} from '../segment-quarantines.js';

const quarantines = [{
	segment: brandAs<SegmentKey>('models/dead'), companions: [], refutedAgeMs: 1000, remainingMs: 10_000,
}];

/** An entry without requests, and with a clock that stands still, so that no keep-alive is due after the first message. */
const createIdleGossip = (port: number, peerPort: number, segmentNews: () => SegmentNews): Gossip => new Gossip({
	clock: createManualClock(100_000),
	ownName: 'e1',
	address: loopback,
	port,
	load: {
		dropStalePeers: () => undefined, ownRunningCounts: () => [], ownPendingPrefills: () => [], drainSent: () => [],
	} as unknown as GossipOptions['load'],
	peers: () => [{name: 'e2', address: loopback, port: peerPort}],
	configVersion: () => 1,
	ownPhase: () => ({phase: 'ready', stoppingMs: 0}),
	onPhase: () => undefined,
	roleChanges: () => [],
	usageNotice: () => ({owner: 'e1', windows: []}),
	crashReports: () => [],
	onCrashReports: () => undefined,
	segmentNews,
	onSegmentNews: () => undefined,
	onUsage: () => undefined,
	onRoleChanges: () => undefined,
	onConfigVersion: () => undefined,
});

describe('gossip between entries', () => {
	it('sends about as many datagrams a second to a hundred peers as to ten; guards against the smallest hosts kept busy by reading datagrams', () => {
		const perSecond = (peers: number): number => peers * 1000 / sendIntervalMs(peers);
		assert.ok(perSecond(10) <= 130 && perSecond(100) <= 130, `${perSecond(10)} and ${perSecond(100)} a second`);
	});

	it('sends often among few entries, and at least once a second among many', () => {
		assert.is(sendIntervalMs(3), 60);
		assert.is(sendIntervalMs(2300), 1000);
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
