/**
 * Everything that one run needs: the stand-ins of the store and of the usage service, endpoints behind relays, and the
 * entries, each a process. It also records the published configurations, the disturbances and the planned stops.
 */
import {setMaxListeners} from 'node:events';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import {startRelay, type Relay} from '@hawthorncleat/histories';
import {
	EndpointStandIn, startStoreStandIn, startUsageStandIn, buildOperatorConfig, type OperatorConfig, type RetryLimits, type StoreStandIn, type UsageStandIn,
} from '@hawthorncleat/platform/stand-ins';
import {findFreePort} from '@hawthorncleat/test-kit';
import {createEntryProcess, type EntryProcess} from './entry-process.js';
import {StoreCopies} from './store-copies.js';
import type {
	Disturbance, EndpointFault, NamedLimit, PublishedConfig, SoakRecord,
} from './record.js';

/** An endpoint and the relay through which entries reach it. */
export type RelayedEndpoint = {readonly endpoint: EndpointStandIn; readonly relay: Relay};

const entryNames = ['e1', 'e2', 'e3'];
const endpointGroups = [
	{service: 'desk', count: 4}, {service: 'spare', count: 2}, {service: 'models', stage: 'decode', count: 2}, {service: 'models', stage: 'prefill', count: 2},
] as const;

/** The configuration at the start of a run. */
export const initialConfig: OperatorConfig = {
	version: 1,
	services: {
		read: 'desk', order: 'desk', stream: 'desk', plan: 'models',
	},
	keys: {acme: ['k1', 'k2'], bolt: ['k3']},
};

/** The last entry reads the store over a link of 7 Mbit/s, the narrowest of the users. */
const narrowBytesPerSecond = 875_000;

/** A period that may not have ended yet. */
type Period<Fault extends Disturbance | EndpointFault | NamedLimit> = Fault & {untilMs: number};

/** Records a fault for as long as `body` runs. */
const recordPeriod = async <Fault extends Disturbance | EndpointFault | NamedLimit>(periods: Array<Period<Fault>>, period: Period<Fault>, body: () => Promise<void>): Promise<void> => {
	periods.push(period);
	try {
		await body();
	} finally {
		period.untilMs = performance.now();
	}
};

const beginPeriod = (): {fromMs: number; untilMs: number} => ({fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY});

export class World {
	readonly store: StoreStandIn;
	readonly copies: StoreCopies;
	readonly usage: UsageStandIn;
	readonly endpoints: readonly RelayedEndpoint[];
	readonly entries: readonly EntryProcess[];
	readonly configs: PublishedConfig[] = [];
	readonly stops: Array<SoakRecord['stops'][number]> = [];
	readonly logLines: string[];
	readonly #disturbances: Array<Period<Disturbance>> = [];
	readonly #endpointFaults: Array<Period<EndpointFault>> = [];
	readonly #limits: Array<Period<NamedLimit>> = [];

	constructor(components: Pick<World, 'copies' | 'endpoints' | 'entries' | 'logLines' | 'store' | 'usage'>) {
		this.store = components.store;
		this.copies = components.copies;
		this.usage = components.usage;
		this.endpoints = components.endpoints;
		this.entries = components.entries;
		this.logLines = components.logLines;
	}

	get disturbances(): readonly Disturbance[] {
		return this.#disturbances;
	}

	get endpointFaults(): readonly EndpointFault[] {
		return this.#endpointFaults;
	}

	get limits(): readonly NamedLimit[] {
		return this.#limits;
	}

	get newestConfig(): PublishedConfig {
		return this.configs.at(-1)!;
	}

	/** Publishes the newest configuration with these changes as the next version. */
	publish(changes: Partial<OperatorConfig>): void {
		const {services, keys, unusedRoutes, version} = this.configs.at(-1) ?? {...initialConfig, version: 0};
		const config = {
			services, keys, unusedRoutes, version: version + 1, ...changes,
		};
		this.store.put('op', 'config', buildOperatorConfig(config));
		this.configs.push({...config, atMs: performance.now()});
	}

	/** Records that a fault affects an entry, or every entry if it names none, while `body` runs. */
	async recordDisturbance(disturbance: Pick<Disturbance, 'entry' | 'fault' | 'isOfStore'>, body: () => Promise<void>): Promise<void> {
		await recordPeriod(this.#disturbances, {...disturbance, ...beginPeriod()}, body);
	}

	/** Records that an endpoint has a fault while `body` runs. */
	async recordEndpointFault(fault: string, {options: {id, service}}: EndpointStandIn, body: () => Promise<void>): Promise<void> {
		await recordPeriod(this.#endpointFaults, {
			fault, endpoint: id, service, ...beginPeriod(),
		}, body);
	}

	/** Lets an endpoint name a limit while `body` runs. */
	async limit(endpoint: EndpointStandIn, perSecond: number, body: () => Promise<void>): Promise<void> {
		endpoint.requestsPerSecond = perSecond;
		await recordPeriod(this.#limits, {endpoint: endpoint.options.id, perSecond, ...beginPeriod()}, body);
		endpoint.requestsPerSecond = undefined;
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
	for (const {count, ...group} of endpointGroups) {
		for (let number = 1; number <= count; number += 1) {
			const port = await findFreePort();
			const relay = await startRelay({targetPort: port}, signal);
			const id = ['i', group.service, 'stage' in group ? group.stage : 'plain', number].join('-');
			endpoints.push({
				relay, endpoint: new EndpointStandIn({
					...group, id, store, port, registeredPort: relay.port,
				}, signal),
			});
		}
	}

	return endpoints;
};

/** Runs `body` with a started world, and ends all of its processes, relays and stand-ins afterwards. */
export const withWorld = async <Result>(retryLimits: RetryLimits, body: (world: World, signal: AbortSignal) => Promise<Result>): Promise<Result> => {
	const controller = new AbortController();
	const {signal} = controller;
	// Every process and relay of the run adds a listener to this signal.
	setMaxListeners(0, signal);
	const folder = await mkdtemp(path.join(tmpdir(), 'soak-'));
	const store = await startStoreStandIn(signal);
	const copies = new StoreCopies(store);
	const usage = await startUsageStandIn(signal);
	const endpoints = await createEndpoints(store, signal);
	const logLines: string[] = [];
	const onLine = (line: string): void => {
		logLines.push(line);
	};

	const entries = await Promise.all(entryNames.map(async name => createEntryProcess({
		name, storePort: store.port, usagePort: usage.port, retryLimits, folder, onLine,
	}, signal)));
	entries.at(-1)?.storeRelay.narrow(narrowBytesPerSecond);
	const world = new World({
		store, copies, usage, endpoints, entries, logLines,
	});
	const copying = copies.run(signal);
	try {
		await world.start();
		return await body(world, signal);
	} finally {
		await Promise.all(entries.map(async entry => entry.kill()));
		for (const {endpoint} of endpoints) {
			endpoint.stopTimers();
		}

		controller.abort();
		await copying;
		await rm(folder, {recursive: true});
	}
};
