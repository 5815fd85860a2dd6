/**
 * Processor time and bytes of heartbeats and load reports, with both ends of each connection in one process.
 */
import {setMaxListeners} from 'node:events';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import type {LoadReport} from '@hawthorncleat/schema';
import {loopback} from '@hawthorncleat/test-kit';
import {dial, listen, type Peer} from '@hawthorncleat/wire';

const neverMs = 1_000_000;
const fastHeartbeatMs = 10;
const runMs = 3000;
const usPerMs = 1000;

/** A report of a busy engine, as agents send it. */
export const exampleReport: LoadReport = {
	sequence: 100_000, role: 'mixed', running: 48, waiting: 12, waitingTokens: 24_000, freeTokens: 120_000, prefixes: [], leaving: false,
};

type Run = {readonly cpuMs: number; readonly bytes: number; readonly messages: number};

const openPairs = async (count: number, heartbeatMs: number, signal: AbortSignal): Promise<Peer[]> => {
	const common = {
		address: loopback,
		clock: {nowMs: () => performance.now()},
		heartbeat: () => ({configVersion: 37_000, leaving: false}),
		heartbeatIntervalMs: heartbeatMs,
		stallLimitMs: neverMs,
	};
	const listener = await listen({...common, port: 0, handlers: {'load.report'() {/* Only its cost matters. */}}}, signal);
	return Promise.all(Array.from({length: count}, async () => dial({...common, port: listener.port, handlers: {}}, signal)));
};

const sumBytes = (peers: readonly Peer[]): number =>
	peers.reduce((sum, peer) => sum + peer.bytesSent + peer.bytesReceived, 0);

const measure = async (peers: readonly Peer[], work: () => Promise<number>): Promise<Run> => {
	const bytesBefore = sumBytes(peers);
	const before = process.cpuUsage();
	const messages = await work();
	const {user, system} = process.cpuUsage(before);
	return {cpuMs: (user + system) / usPerMs, bytes: sumBytes(peers) - bytesBefore, messages};
};

const withPairs = async (count: number, heartbeatMs: number, work: (peers: readonly Peer[]) => Promise<number>): Promise<Run> => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	const peers = await openPairs(count, heartbeatMs, controller.signal);
	try {
		return await measure(peers, async () => work(peers));
	} finally {
		controller.abort();
	}
};

const reportRounds = 200;

const sendReports = async (peers: readonly Peer[]): Promise<number> => {
	for (let round = 0; round < reportRounds; round++) {
		for (const peer of peers) {
			peer.notify('load.report', exampleReport);
		}

		await sleep(fastHeartbeatMs);
	}

	return reportRounds * peers.length;
};

/** Messages are counted by their bytes, since the timers of a busy process fall behind. */
export const measureMessages = async (connections: number): Promise<Record<string, number>> => {
	const heartbeatBytes = JSON.stringify({jsonrpc: '2.0', method: 'heartbeat', params: {configVersion: 37_000, leaving: false}}).length + 1;
	const beats = await withPairs(connections, fastHeartbeatMs, async () => {
		await sleep(runMs);
		return 0;
	});
	const reports = await withPairs(connections, neverMs, sendReports);
	return {
		cpuUsPerHeartbeatSentAndReceived: beats.cpuMs * usPerMs / (beats.bytes / heartbeatBytes),
		bytesPerHeartbeat: heartbeatBytes,
		cpuUsPerReportSentAndReceived: reports.cpuMs * usPerMs / reports.messages,
		bytesPerReport: reports.bytes / reports.messages,
	};
};
