/**
 * What daemons cost at rest, and how that grows with connections, hosts and accounts.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {HostRecord} from '@hawthorncleat/schema';
import type {Peer} from '@hawthorncleat/wire';
import {
	createAccounts, createKeys, createWithdrawal, farPlace,
} from './example-fleet-config.js';
import {connectFakeEntries, startFakeAgents, sumPeerBytes} from './fake-peers.js';
import {withFleet, type Fleet, type MeasuredDaemon} from './fleet.js';
import {fitLine} from './line-fit.js';
import {measureOperatorTool} from './operator-tool.js';
import type {Report} from './path-measurements.js';
import {subtractCounts} from './platform-traffic.js';
import {readCpuMs, readResidentBytes} from './process-usage.js';
import {startNode} from './child-process.js';
import type {Figures} from './slopes.js';

const windowMs = 10_000;
const settleMs = 6000;
const msPerSecond = 1000;
const bytesPerMegabyte = 1e6;
const idleShape = {stepMs: 5, maxRunning: 16};

/** One window of a daemon; the connections are those whose bytes are counted. */
const measureWindow = async (daemon: MeasuredDaemon, connections: () => Iterable<Peer>): Promise<Figures> => {
	await sleep(settleMs);
	const cpuBefore = await readCpuMs(daemon.pid);
	const platformBefore = daemon.relay.totals();
	const bytesBefore = sumPeerBytes(connections());
	const startedAt = performance.now();
	await sleep(windowMs);
	const seconds = (performance.now() - startedAt) / msPerSecond;
	const platformAfter = daemon.relay.totals();
	const counts = subtractCounts(platformAfter.counts, platformBefore.counts);
	return {
		cpuMsPerSecond: (await readCpuMs(daemon.pid) - cpuBefore) / seconds,
		residentMegabytes: await readResidentBytes(daemon.pid) / bytesPerMegabyte,
		peerBytesPerSecond: (sumPeerBytes(connections()) - bytesBefore) / seconds,
		platformBytesPerSecond: (platformAfter.bytes - platformBefore.bytes) / seconds,
		tableReadsPerSecond: counts.tableReads / seconds,
		tableWritesPerSecond: counts.tableWrites / seconds,
		hostReadsPerSecond: counts.hostReads / seconds,
		objectWritesPerSecond: counts.objectWrites / seconds,
	};
};

const slopesOf = (runs: ReadonlyArray<{readonly size: number; readonly figures: Figures}>): Figures =>
	Object.fromEntries(Object.keys(runs[0]!.figures).map(name =>
		[name, fitLine(runs.map(({size, figures}) => ({size, value: figures[name]!}))).slope]));

/** Measures at growing sizes and adds the slopes. */
const measureGrowth = async (name: string, sizes: readonly number[], measureAt: (size: number, previous: number) => Promise<Figures>): Promise<Report> => {
	const runs: Array<{size: number; figures: Figures}> = [];
	for (const [index, size] of sizes.entries()) {
		runs.push({size, figures: await measureAt(size, sizes[index - 1] ?? 0)});
	}

	return {
		...Object.fromEntries(runs.map(({size, figures}) => [`${name}: ${size}`, figures])),
		[`${name}: slope per one`]: slopesOf(runs),
	};
};

const growAgents = async (reportIntervalMs: number, sizes: readonly number[]): Promise<Report> => withFleet(idleShape, async (fleet, signal) => {
	const peers: Array<Set<Peer>> = [];
	const name = reportIntervalMs === 0 ? 'entry with silent agents' : 'entry with reporting agents';
	return measureGrowth(name, sizes, async (size, previous) => {
		const agents = await startFakeAgents({from: previous, to: size}, reportIntervalMs, signal);
		peers.push(agents.peers);
		await Promise.all(agents.hosts.map(async host => fleet.putHost(host)));
		return measureWindow(fleet.entry, () => peers.flatMap(set => [...set]));
	});
});

const growEntries = async (fleet: Fleet, signal: AbortSignal, part: 'agent' | 'entry', sizes: readonly number[]): Promise<Report> => {
	const peers: Peer[] = [];
	const name = part === 'agent' ? 'agent with entries' : 'entry that is asked by entries';
	return measureGrowth(name, sizes, async (size, previous) => {
		peers.push(...await connectFakeEntries(fleet[part].port, {from: previous, to: size}, part === 'entry', signal));
		return measureWindow(fleet[part], () => peers);
	});
};

const createFarHost = (index: number): HostRecord => ({
	hostId: `far-${index}`, dataCentre: farPlace.dataCentre, kind: 'endpoint', address: '10.0.0.1', port: 9000, endpoint: `far-engine-${index}`, serves: 'model-service', state: 'live',
});

/** Hosts of another region, to which the entry does not connect. */
const growHostList = async (fleet: Fleet, sizes: readonly number[]): Promise<Report> =>
	measureGrowth('entry with hosts in the list', sizes, async (size, previous) => {
		for (let index = previous; index < size; index++) {
			await fleet.putHost(createFarHost(index));
		}

		return measureWindow(fleet.entry, () => []);
	});

const accountsPerChange = 2400;

const growAccounts = async (fleet: Fleet, sizes: readonly number[]): Promise<Report> =>
	measureGrowth('entry with accounts and keys', sizes, async (size, previous) => {
		for (let from = previous; from < size; from += accountsPerChange) {
			const to = Math.min(size, from + accountsPerChange);
			await fleet.apply({put: [...createAccounts(from, to), ...createKeys(from, to)]});
		}

		const cpuBefore = await readCpuMs(fleet.entry.pid);
		const answerMs = await fleet.apply(createWithdrawal(0));
		const publicationCpuMs = await readCpuMs(fleet.entry.pid) - cpuBefore;
		const rest = await measureWindow(fleet.entry, () => []);
		return {
			...rest, publicationCpuMs, publicationAnswerMs: answerMs, ...await measureOperatorTool(fleet),
		};
	});

/** A Node process that does nothing, to tell Node's share from ours. */
const measureEmptyNode = async (): Promise<Report> => {
	const controller = new AbortController();
	const {pid} = startNode(['-e', 'setInterval(() => {}, 1000)'], controller.signal);
	await sleep(settleMs);
	const residentMegabytes = await readResidentBytes(pid) / bytesPerMegabyte;
	controller.abort();
	return {'node without a program': {residentMegabytes}};
};

/** Publication and rest at growing numbers of accounts. */
export const measureAccounts = async (): Promise<Report> =>
	withFleet(idleShape, async fleet => growAccounts(fleet, [480, 4800, 48_000]));

/** Everything at rest. */
export const measureRest = async (): Promise<Report> => {
	const agents = await growAgents(1000, [4, 64, 256]);
	const silentAgents = await growAgents(0, [4, 64, 256]);
	const entries = await withFleet(idleShape, async (fleet, signal) => ({
		...await growEntries(fleet, signal, 'agent', [1, 64, 256]),
		...await growEntries(fleet, signal, 'entry', [1, 64, 256]),
	}));
	const fleetState = await withFleet(idleShape, async fleet => ({
		...await growHostList(fleet, [1, 980, 9800]),
	}));
	const accounts = await measureAccounts();
	return {
		...await measureEmptyNode(), ...agents, ...silentAgents, ...entries, ...fleetState, ...accounts,
	};
};
