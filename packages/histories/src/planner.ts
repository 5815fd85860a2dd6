/**
 * A planner of engine orders as the design describes it: it writes order rows under the check of its lease epoch and
 * tells the agents only the number. A former lease holder keeps trying with its old epoch.
 */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {loopback} from '@hawthorncleat/test-kit';
import {
	engineOrderKey, leaseEpochKey, parseOrderRow, type EngineOrderRow,
} from '@hawthorncleat/core';
import {
	createHttpClient, createTableClient, isStoreError, type Table,
} from '@hawthorncleat/store';
import {dial, type Peer} from '@hawthorncleat/wire';
import type {Fleet} from './fleet.js';
import type {SeededRandom} from './random.js';

const duty = 'roles/restock/dc-1';
const roles = ['mixed', 'decode', 'mixed'] as const;
const orderGapMs = [20, 150] as const;
const maxStaleNumbers = 3;
const staleChance = 0.2;
const takeoverChance = 0.05;

/** The lease that a planner holds or once held. */
type Authority = {readonly epoch: number; readonly version: number};

const ignoreStoreErrors = async <Result>(work: () => Promise<Result>): Promise<Result | undefined> => {
	try {
		return await work();
	} catch (error) {
		if (!isStoreError(error)) {
			throw error;
		}

		return undefined;
	}
};

const takeLease = async (table: Table): Promise<Authority | undefined> => {
	const key = leaseEpochKey(duty);
	const row = await table.read(key);
	const epoch = ((row?.value as {epoch?: number} | undefined)?.epoch ?? 0) + 1;
	const result = await table.transact({
		writeId: randomUUID(), checks: [{key, version: row?.version ?? null}], puts: [{key, value: {epoch}}], deletes: [],
	});
	return result.ok ? {epoch, version: result.versions[key]!} : undefined;
};

/** Writes the next order if the previous one is settled or not yet started. Returns the newest number. */
const writeOrder = async (table: Table, endpoint: string, authority: Authority, role: EngineOrderRow['role']): Promise<number> => {
	const key = engineOrderKey(endpoint);
	const found = await table.read(key);
	const previous = parseOrderRow(found?.value);
	const highest = previous?.number ?? 0;
	if (previous?.state === 'started') {
		return highest;
	}

	const value: EngineOrderRow = {
		number: highest + 1, epoch: authority.epoch, role, state: 'written', startedBy: '', writeId: randomUUID(),
	};
	await table.transact({
		writeId: value.writeId,
		checks: [{key: leaseEpochKey(duty), version: authority.version}, {key, version: found?.version ?? null}],
		puts: [{key, value}],
		deletes: [],
	});
	return value.number;
};

/** Tells every agent of the fleet; one that is away or paused misses the message or gets it late. */
const announce = async (fleet: Fleet, orderNumber: number, connections: Map<string, Peer>, signal: AbortSignal): Promise<void> => {
	await Promise.all(fleet.agentNames.map(async name => {
		const {internalPort} = fleet.daemon(name).plan;
		const known = connections.get(name);
		try {
			const peer = known?.isOpen
				? known
				: await dial({
					address: loopback,
					port: internalPort,
					clock: {nowMs: () => performance.now()},
					handlers: {},
					heartbeat: () => ({configVersion: 0, leaving: false}),
				}, signal);
			connections.set(name, peer);
			await peer.call('engine.order', {orderNumber}, {timeoutMs: 200});
		} catch {
			// An agent that is down, paused, without its slot or busy with another order refuses or does not answer.
		}
	}));
};

/** Orders role changes of all engines until `signal` aborts, and takes the lease over again now and then. */
export const runPlanner = async (fleet: Fleet, random: SeededRandom, signal: AbortSignal): Promise<void> => {
	const table = createTableClient(createHttpClient({url: fleet.standIns.platform.url}, signal));
	const connections = new Map<string, Peer>();
	let authority: Authority | undefined;
	let isTaking = true;
	while (!signal.aborted) {
		if (isTaking || random.chance(takeoverChance)) {
			const taken = await ignoreStoreErrors(async () => takeLease(table));
			authority = taken ?? authority;
			// Without an answer the epoch may have risen, which would end this planner's own authority.
			isTaking = !taken;
		}

		const endpoint = random.pick(fleet.plan.engines).name;
		const holder = authority;
		const number = holder && await ignoreStoreErrors(async () => writeOrder(table, endpoint, holder, random.pick(roles)));
		if (number !== undefined) {
			// A number that is too low stands for a message of a former holder that comes late.
			const stale = random.chance(staleChance) ? random.integer(1, maxStaleNumbers) : 0;
			await announce(fleet, Math.max(1, number - stale), connections, signal);
		}

		await delay(random.integer(...orderGapMs), undefined, {signal}).catch(() => undefined);
	}

	for (const peer of connections.values()) {
		peer.close();
	}
};
