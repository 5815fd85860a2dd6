/**
 * Injects random faults from outside the entries. There are seven tracks: entries, the store, endpoints, changes by the operator,
 * silences of endpoints, spoiled values and limits that endpoints name. The faults of one track run one after the other; those of different tracks overlap.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LostBytes, SeededRandom} from '@hawthorncleat/histories';
import type {EntryProcess} from './entry-process.js';
import {silenceFault, silentConnectionsFault} from './record.js';
import {spoiledValues} from './spoiled-values.js';
import {maxCopyAgeMs} from './store-copies.js';
import {initialConfig, type RelayedEndpoint, type World} from './world.js';

/** Injects one fault. A fault with a duration has ended when the promise settles. */
type Fault = (world: World, random: SeededRandom) => Promise<void>;
/** Faults by the names that the soak prints. */
type Track = Readonly<Record<string, Fault>>;

const lossDirections: readonly LostBytes[] = ['to-target', 'to-dialer', 'both'];

type EntryFaultBody = (entry: EntryProcess, world: World, random: SeededRandom) => Promise<void>;

const createEntryFault = (fault: string, body: EntryFaultBody, isOfStore = false): Fault => async (world, random) => {
	const entry = random.pick(world.entries);
	await world.recordDisturbance({fault, entry: entry.name, isOfStore}, async () => body(entry, world, random));
};

/** A fault of the link between one entry and the store. */
const createStoreLinkFault = (fault: string, body: EntryFaultBody): Fault => createEntryFault(fault, body, true);

const createStoreFault = (fault: string, body: (world: World, random: SeededRandom) => Promise<void>): Fault => async (world, random) => {
	await world.recordDisturbance({fault, isOfStore: true}, async () => {
		await body(world, random);
		world.store.faults = {};
	});
};

/** A fault of an endpoint is no disturbance of an entry: entries must keep every promise under it. */
const createEndpointFault = (fault: string, body: (endpoint: RelayedEndpoint, random: SeededRandom) => Promise<void>): Fault => async (world, random) => {
	const relayed = random.pick(world.endpoints);
	await world.recordEndpointFault(fault, relayed.endpoint, async () => body(relayed, random));
};

const restart = async (entry: EntryProcess): Promise<void> => {
	await entry.start();
	await entry.waitUntilReady();
};

const entryFaults: Track = {
	kill: createEntryFault('kill', async (entry, _world, random) => {
		await entry.kill();
		await sleep(random.integer(0, 1500));
		await restart(entry);
	}),
	killInStart: createEntryFault('kill-in-start', async (entry, _world, random) => {
		await entry.kill();
		await entry.start();
		await sleep(random.integer(100, 900));
		await entry.kill();
		await restart(entry);
	}),
	pause: createEntryFault('pause', async (entry, _world, random) => {
		entry.signal('SIGSTOP');
		await sleep(random.integer(300, 5000));
		entry.signal('SIGCONT');
	}),
	stop: createEntryFault('stop', async (entry, world) => {
		world.stops.push(await entry.stop());
		await restart(entry);
	}),
	stopAndKill: createEntryFault('stop-and-kill', async (entry, _world, random) => {
		entry.signal('SIGTERM');
		await sleep(random.integer(50, 1000));
		await entry.kill();
		await restart(entry);
	}),
	reload: createEntryFault('reload', async entry => {
		entry.signal('SIGHUP');
	}),
	killAll: async world => world.recordDisturbance({fault: 'kill-all'}, async () => {
		await Promise.all(world.entries.map(async entry => entry.kill()));
		await Promise.all(world.entries.map(async entry => restart(entry)));
	}),
};

/** Probability that a return takes no time, so that it breaks no connection and fails no call. */
const quickReturnFraction = 0.5;
const maxAwayMs = 3000;
const minCopyAgeMs = 1000;

/** The store is away for a moment and returns from an older copy. */
const returnFromCopy = async ({store, copies}: World, random: SeededRandom): Promise<void> => {
	if (!random.chance(quickReturnFraction)) {
		store.faults = {isUnavailable: true};
		await sleep(random.integer(0, maxAwayMs));
	}

	store.returnFrom(copies.ofAge(random.integer(minCopyAgeMs, maxCopyAgeMs)));
	store.faults = {};
};

const storeFaults: Track = {
	away: createStoreFault('store-away', async ({store}, random) => {
		store.faults = {isUnavailable: true};
		await sleep(random.integer(300, 6000));
	}),
	lostAnswers: createStoreFault('store-loses-answers', async ({store}, random) => {
		store.faults = {dropsAnswers: true};
		await sleep(random.integer(200, 2500));
	}),
	slow: createStoreFault('store-slow', async ({store}, random) => {
		store.faults = {delayMs: random.integer(100, 700)};
		await sleep(random.integer(500, 4000));
	}),
	historyDropped: createStoreFault('store-history-dropped', async ({store}) => {
		store.dropHistory();
	}),
	restored: createStoreFault('store-restored', returnFromCopy),
	restoredTwice: createStoreFault('store-restored-twice', async (world, random) => {
		await returnFromCopy(world, random);
		await sleep(random.integer(100, 2500));
		await returnFromCopy(world, random);
	}),
	unreachable: createStoreLinkFault('store-unreachable', async (entry, _world, random) => {
		await entry.storeRelay.refuse();
		await sleep(random.integer(300, 5000));
		await entry.storeRelay.heal();
	}),
	silent: createStoreLinkFault('store-silent', async (entry, _world, random) => {
		entry.storeRelay.silenceOpen(random.pick(lossDirections));
		await sleep(random.integer(100, 2000));
	}),
	partitioned: createStoreLinkFault('store-partitioned', async (entry, _world, random) => {
		entry.storeRelay.partition();
		await sleep(random.integer(300, 5000));
		await entry.storeRelay.heal();
		entry.storeRelay.cut();
	}),
	usageAway: createStoreFault('usage-away', async ({usage}, random) => {
		usage.isUnavailable = true;
		await sleep(random.integer(500, 5000));
		usage.isUnavailable = false;
	}),
};

const endpointFaults: Track = {
	crash: createEndpointFault('crash', async ({endpoint}, random) => {
		endpoint.crash();
		await sleep(random.integer(200, 3000));
		await endpoint.start();
	}),
	async leave(world, random) {
		const {endpoint} = random.pick(world.endpoints);
		await endpoint.leave(random.integer(1500, 2500));
		await world.recordEndpointFault('left', endpoint, async () => {
			await sleep(random.integer(0, 1000));
			await endpoint.start();
		});
	},
	silent: createEndpointFault(silentConnectionsFault, async ({relay}, random) => {
		relay.silenceOpen(random.pick(lossDirections));
	}),
	cut: createEndpointFault('cut', async ({relay}) => {
		relay.cut();
	}),
	refused: createEndpointFault('refused', async ({relay}, random) => {
		await relay.refuse();
		await sleep(random.integer(200, 2000));
		await relay.heal();
	}),
	failing: createEndpointFault('failing', async ({endpoint}, random) => {
		endpoint.isFailing = true;
		await sleep(random.integer(200, 2000));
		endpoint.isFailing = false;
	}),
	truncating: createEndpointFault('truncating', async ({endpoint}, random) => {
		endpoint.isTruncating = true;
		await sleep(random.integer(200, 2000));
		endpoint.isTruncating = false;
	}),
};

/** A configuration of 0.5 MB as the store sends it, half a second of the narrow link of one entry. */
const maxUnusedRoutes = 1500;

const operatorChanges: Track = {
	async moveRoute(world, random) {
		const {services} = world.newestConfig;
		world.publish({services: {...services, read: random.pick(['desk', 'spare'])}});
	},
	async takeKey(world, random) {
		world.publish({keys: {...initialConfig.keys, acme: ['k1']}});
		await sleep(random.integer(200, 8000));
		world.publish({keys: initialConfig.keys});
	},
	async inSuccession(world, random) {
		for (let round = 0; round < 8; round += 1) {
			world.publish({services: {...world.newestConfig.services, stream: random.pick(['desk', 'spare'])}});
			await sleep(random.integer(0, 60));
		}
	},
	async grow(world, random) {
		world.publish({unusedRoutes: Math.min(maxUnusedRoutes, (world.newestConfig.unusedRoutes ?? 0) + random.integer(300, 700))});
		await sleep(random.integer(0, 400));
		world.publish({services: {...world.newestConfig.services, read: random.pick(['desk', 'spare'])}});
	},
	async dropRoute(world, random) {
		const {services} = world.newestConfig;
		world.publish({services: Object.fromEntries(Object.entries(services).filter(([name]) => name !== 'order'))});
		await sleep(random.integer(200, 3000));
		world.publish({services});
	},
};

const silence = async (world: World, endpoints: readonly RelayedEndpoint[], ms: number): Promise<void> => {
	await Promise.all(endpoints.map(async ({endpoint}) => world.recordEndpointFault(silenceFault, endpoint, async () => endpoint.fallSilent(ms))));
};

/** Probability that an endpoint takes part in a silence of several endpoints of its service. */
const silentFraction = 0.7;

const silences: Track = {
	async silence(world, random) {
		await silence(world, [random.pick(world.endpoints)], random.integer(300, 2500));
	},
	async silenceOfSeveral(world, random) {
		const {service} = random.pick(world.endpoints).endpoint.options;
		const affected = world.endpoints.filter(({endpoint}) => endpoint.options.service === service && random.chance(silentFraction));
		await silence(world, affected, random.integer(300, 2500));
	},
	async silenceInSeries(world, random) {
		const endpoint = random.pick(world.endpoints);
		for (let round = 0; round < 4; round += 1) {
			await silence(world, [endpoint], random.integer(300, 700));
			await sleep(random.integer(50, 400));
		}
	},
};

/** Longer than it takes until the limit has to be kept, by less than what the rest of a run takes. */
const minLimitMs = 5000;
const maxLimitMs = 8000;

const limits: Track = {
	async limited(world, random) {
		await world.limit(random.pick(world.endpoints).endpoint, random.integer(5, 30) / 10, async () => sleep(random.integer(minLimitMs, maxLimitMs)));
	},
	async limitedAnew(world, random) {
		const {endpoint} = random.pick(world.endpoints);
		for (let round = 0; round < 3; round += 1) {
			await world.limit(endpoint, random.integer(5, 60) / 10, async () => sleep(random.integer(200, minLimitMs)));
			await sleep(random.integer(0, 500));
		}
	},
};

const tracks: readonly Track[] = [entryFaults, storeFaults, endpointFaults, operatorChanges, silences, spoiledValues, limits];
const maxPauseBetweenFaultsMs = 1500;

const runTrack = async (track: Track, world: World, random: SeededRandom, signal: AbortSignal): Promise<string[]> => {
	const faultNames: string[] = [];
	while (!signal.aborted) {
		await sleep(random.integer(0, maxPauseBetweenFaultsMs));
		const name = random.pick(Object.keys(track));
		faultNames.push(name);
		await track[name]!(world, random);
	}

	return faultNames;
};

/** Injects faults until the signal aborts, and waits until the running ones have ended. Returns their names by track. */
export const injectFaults = async (world: World, random: SeededRandom, signal: AbortSignal): Promise<string[][]> =>
	Promise.all(tracks.map(async track => runTrack(track, world, random.fork(), signal)));
