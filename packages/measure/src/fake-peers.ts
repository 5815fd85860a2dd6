/**
 * Agents and entries of which only the connections are real, so that a daemon meets hundreds of them on one machine.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {HelloResult, HostRecord} from '@hawthorncleat/schema';
import {dial, listen, type Peer} from '@hawthorncleat/wire';
import {measuredPlace} from './example-fleet-config.js';
import {exampleReport} from './message-slopes.js';

const loopback = '127.0.0.1';
const clock = {nowMs: () => performance.now()};

/** Bytes on a set of connections, in both directions. */
export const sumPeerBytes = (peers: Iterable<Peer>): number => {
	let bytes = 0;
	for (const peer of peers) {
		bytes += peer.bytesSent + peer.bytesReceived;
	}

	return bytes;
};

/** Fake agents with the connections that entries opened to them. */
export type FakeAgents = {readonly hosts: readonly HostRecord[]; readonly peers: Set<Peer>};

const helloOf = (endpoint: string): HelloResult => ({
	id: `agent-${endpoint}`, role: 'agent', incarnation: endpoint, dataCentre: measuredPlace.dataCentre, endpoint, configVersion: 0,
});

const startFakeAgent = async (index: number, serves: string, peers: Set<Peer>, signal: AbortSignal): Promise<HostRecord> => {
	const endpoint = `fake-${index}`;
	const {port} = await listen({
		address: loopback, port: 0, clock, heartbeat: () => ({configVersion: 0, leaving: false}), handlers: {hello: () => helloOf(endpoint)}, onPeer(peer) {
			peers.add(peer);
			void peer.closed.then(() => {
				peers.delete(peer);
			});
		},
	}, signal);
	return {
		hostId: endpoint, dataCentre: measuredPlace.dataCentre, kind: 'endpoint', address: loopback, port, endpoint, serves, state: 'live',
	};
};

// An entry connects to at most 32 agents of a service.
const agentsPerService = 32;

/** Starts agents that report their load at an interval; 0 means never. */
export const startFakeAgents = async (
	range: {readonly from: number; readonly to: number},
	reportIntervalMs: number,
	signal: AbortSignal,
): Promise<FakeAgents> => {
	const peers = new Set<Peer>();
	const hosts: HostRecord[] = [];
	for (let index = range.from; index < range.to; index++) {
		hosts.push(await startFakeAgent(index, `fake-service-${Math.floor(index / agentsPerService)}`, peers, signal));
	}

	if (reportIntervalMs > 0) {
		const timer = setInterval(() => {
			for (const peer of peers) {
				peer.notify('load.report', exampleReport);
			}
		}, reportIntervalMs);
		signal.addEventListener('abort', () => {
			clearInterval(timer);
		}, {once: true});
	}

	return {hosts, peers};
};

const askUntilAborted = async (peer: Peer, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted && peer.isOpen) {
		await peer.call('freshness.ask', {version: 1, view: 'entry-1'}).catch(() => {/* Counted by its bytes only. */});
		await sleep(1000, undefined, {signal}).catch(() => {/* The loop ends. */});
	}
};

/** Connects fake entries to a daemon; to an entry they also ask for evidence each second, as non-witnesses do. */
export const connectFakeEntries = async (
	port: number,
	range: {readonly from: number; readonly to: number},
	isAsking: boolean,
	signal: AbortSignal,
): Promise<readonly Peer[]> => {
	const peers: Peer[] = [];
	for (let index = range.from; index < range.to; index++) {
		const peer = await dial({
			address: loopback, port, clock, heartbeat: () => ({configVersion: 0, leaving: false}), handlers: {},
		}, signal);
		await peer.call('hello', {
			protocol: 1, role: 'entry', id: `fake-entry-${index}`, dataCentre: measuredPlace.dataCentre, configVersion: 0,
		});
		peers.push(peer);
		if (isAsking) {
			void askUntilAborted(peer, signal);
		}
	}

	return peers;
};
