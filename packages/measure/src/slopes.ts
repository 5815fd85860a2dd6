/**
 * Slopes of the pure parts, each measured in a process of its own so that one does not leave garbage to the next.
 */
import process from 'node:process';
import {
	checkChange, createConfigView, createActiveConfig, FairQueue,
} from '@hawthorncleat/core';
import type {ConfigObject, Snapshot} from '@hawthorncleat/schema';
import {
	baseObjects, createAccounts, createKeys, createWithdrawal,
} from './example-fleet-config.js';
import {measureMessages} from './message-slopes.js';

/** Figures of one slope at one size, by name with unit. */
export type Figures = Readonly<Record<string, number>>;

const usPerMs = 1000;

/** Live heap after a full collection. */
export const readLiveBytes = (): number => {
	if (!globalThis.gc) {
		throw new Error('run with --expose-gc');
	}

	globalThis.gc();
	globalThis.gc();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

/** Processor time of this process that a function takes, in milliseconds. */
export const measureCpuMs = async (run: () => Promise<void> | void): Promise<number> => {
	const before = process.cpuUsage();
	await run();
	const {user, system} = process.cpuUsage(before);
	return (user + system) / usPerMs;
};

/** A parsed copy, as a daemon that received the objects holds them: with no strings shared with a generator. */
const parseSnapshot = (objects: readonly ConfigObject[]): Snapshot => {
	const text = JSON.stringify({version: 1, objects});
	return JSON.parse(text) as Snapshot;
};

const measureViewMemory = (objects: readonly ConfigObject[]): number => {
	const before = readLiveBytes();
	const view = createConfigView(parseSnapshot([...baseObjects(), ...objects]));
	const bytes = readLiveBytes() - before;
	return view.version === 1 ? bytes : Number.NaN;
};

const measureAccounts = (size: number): Figures => ({
	bytesPerAccount: measureViewMemory(createAccounts(0, size)) / size,
});

const measureAccountsWithKeys = (size: number): Figures => ({
	bytesPerAccountWithKey: measureViewMemory([...createAccounts(0, size), ...createKeys(0, size)]) / size,
});

const measureHosts = (size: number): Figures => {
	const text = JSON.stringify(Array.from({length: size}, (_, index) => ({
		hostId: `host-${index}`, dataCentre: 'dc-1', kind: 'endpoint', address: '10.0.0.1', port: 9000, endpoint: `engine-${index}`, serves: 'model-service', state: 'live',
	})));
	const before = readLiveBytes();
	const hosts = JSON.parse(text) as unknown[];
	return {bytesPerHost: (readLiveBytes() - before) / hosts.length, wireBytesPerHost: text.length / size};
};

const createSnapshot = (size: number): Snapshot =>
	parseSnapshot([...baseObjects(), ...createAccounts(0, size), ...createKeys(0, size)]);

/** Enough to include several merges of the layered map. */
const deltaCount = 2000;

const measureDeltas = async (size: number): Promise<Figures> => {
	const inForce = createActiveConfig(createSnapshot(size));
	const deltas = Array.from({length: deltaCount}, (_, index) => ({version: index + 2, change: createWithdrawal(index % size)}));
	const cpuMs = await measureCpuMs(() => {
		for (const delta of deltas) {
			inForce.install({deltas: [delta]});
		}
	});
	return {cpuMsPerDelta: cpuMs / deltaCount, bytesPerDelta: JSON.stringify(deltas[0]).length};
};

const checkCount = 5;

const measureCheckChange = async (size: number): Promise<Figures> => {
	const snapshot = createSnapshot(size);
	const view = createConfigView(snapshot);
	const cpuMs = await measureCpuMs(() => {
		for (let index = 0; index < checkCount; index++) {
			checkChange(view, createWithdrawal(index));
		}
	});
	const buildCpuMs = await measureCpuMs(() => {
		createConfigView(snapshot);
	});
	return {cpuMsPerCheck: cpuMs / checkCount, cpuMsPerFullView: buildCpuMs, snapshotBytes: JSON.stringify(snapshot).length};
};

const fillQueue = (accounts: number, requests: number): FairQueue<{readonly id: string}> => {
	const queue = new FairQueue<{readonly id: string}>();
	for (let index = 0; index < requests; index++) {
		queue.push({
			account: `account-${index % accounts}`, weight: 1, tokens: 100, item: {id: `request-${index}`},
		});
	}

	return queue;
};

const measureQueueMemory = (size: number): Figures => {
	const start = readLiveBytes();
	const one = fillQueue(1, size);
	const oneAccountBytes = readLiveBytes() - start;
	const middle = readLiveBytes();
	const many = fillQueue(size, size);
	const manyAccountsBytes = readLiveBytes() - middle;
	return one.size + many.size === 2 * size
		? {bytesPerQueuedRequest: oneAccountBytes / size, bytesPerActiveAccount: (manyAccountsBytes - oneAccountBytes) / size}
		: {};
};

const popCount = 2000;

const measureQueueCpu = async (accounts: number): Promise<Figures> => {
	const queue = fillQueue(accounts, accounts * 2);
	const cpuMs = await measureCpuMs(() => {
		for (let index = 0; index < popCount; index++) {
			queue.pop();
			queue.push({
				account: `account-${index % accounts}`, weight: 1, tokens: 100, item: {id: `later-${index}`},
			});
		}
	});
	return {cpuUsPerRequest: cpuMs * usPerMs / popCount};
};

/** Every slope by name. */
export const slopes: Readonly<Record<string, (size: number) => Figures | Promise<Figures>>> = {
	accounts: measureAccounts,
	'accounts-with-keys': measureAccountsWithKeys,
	hosts: measureHosts,
	deltas: measureDeltas,
	'check-change': measureCheckChange,
	'queue-memory': measureQueueMemory,
	'queue-cpu': measureQueueCpu,
	messages: measureMessages,
};

/** The sizes at which each slope is measured. */
export const slopeSizes: Readonly<Record<keyof typeof slopes, readonly number[]>> = {
	accounts: [4800, 48_000],
	'accounts-with-keys': [4800, 48_000],
	hosts: [980, 9800],
	deltas: [4800, 48_000],
	'check-change': [4800, 48_000],
	'queue-memory': [1000, 10_000],
	'queue-cpu': [10, 100, 1000],
	messages: [10, 100],
};
