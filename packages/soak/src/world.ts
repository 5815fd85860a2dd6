/**
 * The parts of one run: stand-ins of the platform, endpoints behind relays, and entries as processes of their own.
 */
import {setMaxListeners} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {startRelay, type Relay} from '@hawthorncleat/histories';
import {
	EndpointStandIn, startStoreStandIn, startUsageStandIn, writeOperatorConfig, type OperatorConfig, type StoreStandIn, type UsageStandIn,
} from '@hawthorncleat/platform/stand-ins';
import {findFreePort} from '@hawthorncleat/test-kit';
import {createEntryProcess, type EntryProcess} from './entry-process.js';
import type {Disturbance, PublishedConfig, SoakRecord} from './record.js';

/** An endpoint and the relay that entries reach it through. */
export type RelayedEndpoint = {readonly endpoint: EndpointStandIn; readonly relay: Relay};

const entryNames = ['e1', 'e2', 'e3'];
const endpointPlan = [
	{service: 'desk', count: 4}, {service: 'spare', count: 2}, {service: 'models', stage: 'decode', count: 2}, {service: 'models', stage: 'prefill', count: 2},
] as const;

/** The configuration that a run begins with. */
export const initialConfig: OperatorConfig = {
	version: 1,
	services: {
		read: 'desk', order: 'desk', stream: 'desk', plan: 'models',
	},
	keys: {acme: ['k1', 'k2'], bolt: ['k3']},
};

export class World {
	readonly store: StoreStandIn;
	readonly usage: UsageStandIn;
	readonly endpoints: readonly RelayedEndpoint[];
	readonly entries: readonly EntryProcess[];
	readonly configs: PublishedConfig[] = [];
	readonly stops: Array<SoakRecord['stops'][number]> = [];
	readonly logLines: string[];
	readonly #disturbances: Array<Disturbance & {untilMs: number}> = [];

	constructor(parts: Pick<World, 'endpoints' | 'entries' | 'logLines' | 'store' | 'usage'>) {
		this.store = parts.store;
		this.usage = parts.usage;
		this.endpoints = parts.endpoints;
		this.entries = parts.entries;
		this.logLines = parts.logLines;
	}

	get disturbances(): readonly Disturbance[] {
		return this.#disturbances;
	}

	/** The newest configuration that was published. */
	get newestConfig(): PublishedConfig {
		return this.configs.at(-1)!;
	}

	publish(changes: Partial<OperatorConfig>): void {
		const {services, keys, version} = this.configs.at(-1) ?? {...initialConfig, version: 0};
		const config = {
			services, keys, version: version + 1, ...changes,
		};
		this.store.put('op', 'config', writeOperatorConfig(config));
		this.configs.push({...config, atMs: performance.now()});
	}

	/** Notes that a fault touches an entry, or all when none is given, while `body` runs. */
	async recordDisturbance(fault: string, entry: string | undefined, body: () => Promise<void>): Promise<void> {
		const disturbance = {
			fault, entry, fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY,
		};
		this.#disturbances.push(disturbance);
		try {
			await body();
		} finally {
			disturbance.untilMs = performance.now();
		}
	}

	async start(): Promise<void> {
		this.publish({});
		await Promise.all(this.endpoints.map(async ({endpoint}) => endpoint.start()));
		await Promise.all(this.entries.map(async entry => entry.start()));
		await Promise.all(this.entries.map(async entry => entry.waitUntilReady()));
	}
}

const createEndpoints = async (store: StoreStandIn, signal: AbortSignal): Promise<RelayedEndpoint[]> => {
	const endpoints: RelayedEndpoint[] = [];
	for (const {count, ...plan} of endpointPlan) {
		for (let number = 1; number <= count; number += 1) {
			const port = await findFreePort();
			const relay = await startRelay({targetPort: port}, signal);
			const id = ['i', plan.service, 'stage' in plan ? plan.stage : 'plain', number].join('-');
			endpoints.push({
				relay, endpoint: new EndpointStandIn({
					...plan, id, store, port, registeredPort: relay.port,
				}, signal),
			});
		}
	}

	return endpoints;
};

/** Runs `body` in a world that has started, and ends all of its parts afterwards. */
export const withWorld = async <Result>(body: (world: World, signal: AbortSignal) => Promise<Result>): Promise<Result> => {
	const controller = new AbortController();
	const {signal} = controller;
	// All processes and relays of a run listen to it.
	setMaxListeners(0, signal);
	const folder = await mkdtemp(path.join(tmpdir(), 'soak-'));
	const store = await startStoreStandIn(signal);
	const usage = await startUsageStandIn(signal);
	const endpoints = await createEndpoints(store, signal);
	const logLines: string[] = [];
	const onLine = (line: string): void => {
		logLines.push(line);
	};

	const entries = await Promise.all(entryNames.map(async name => createEntryProcess({
		name, storePort: store.port, usagePort: usage.port, folder, onLine,
	}, signal)));
	const world = new World({
		store, usage, endpoints, entries, logLines,
	});
	try {
		await world.start();
		return await body(world, signal);
	} finally {
		await Promise.all(entries.map(async entry => entry.kill()));
		for (const {endpoint} of endpoints) {
			endpoint.end();
		}

		controller.abort();
		await rm(folder, {recursive: true});
	}
};
