/**
 * Injects random faults from outside the entries. There are four tracks: entries, the store, endpoints and changes by the
 * operator. The faults of one track run one after the other; those of different tracks overlap.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LostBytes, SeededRandom} from '@hawthorncleat/histories';
import type {EntryProcess} from './entry-process.js';
import {initialConfig, type RelayedEndpoint, type World} from './world.js';

/** Injects one fault. A fault with a duration has ended when the promise settles. */
type Fault = (world: World, random: SeededRandom) => Promise<void>;
/** Faults by the names that the soak prints. */
type Track = Readonly<Record<string, Fault>>;

const lossDirections: readonly LostBytes[] = ['to-target', 'to-dialer', 'both'];

const createEntryFault = (name: string, body: (entry: EntryProcess, world: World, random: SeededRandom) => Promise<void>): Fault => async (world, random) => {
	const entry = random.pick(world.entries);
	await world.recordDisturbance(name, entry.name, async () => body(entry, world, random));
};

const createStoreFault = (name: string, body: (world: World, random: SeededRandom) => Promise<void>): Fault => async (world, random) => {
	await world.recordDisturbance(name, undefined, async () => {
		await body(world, random);
		world.store.faults = {};
	});
};

/** A fault of an endpoint is no disturbance of an entry: entries must keep every promise under it, so it isn't recorded. */
const createEndpointFault = (body: (endpoint: RelayedEndpoint, random: SeededRandom) => Promise<void>): Fault => async (world, random) =>
	body(random.pick(world.endpoints), random);

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
	killAll: async world => world.recordDisturbance('kill-all', undefined, async () => {
		await Promise.all(world.entries.map(async entry => entry.kill()));
		await Promise.all(world.entries.map(async entry => restart(entry)));
	}),
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
	unreachable: createEntryFault('store-unreachable', async (entry, _world, random) => {
		await entry.storeRelay.refuse();
		await sleep(random.integer(300, 5000));
		await entry.storeRelay.heal();
	}),
	silent: createEntryFault('store-silent', async (entry, _world, random) => {
		entry.storeRelay.silenceOpen(random.pick(lossDirections));
		await sleep(random.integer(100, 2000));
	}),
	partitioned: createEntryFault('store-partitioned', async (entry, _world, random) => {
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
	crash: createEndpointFault(async ({endpoint}, random) => {
		endpoint.crash();
		await sleep(random.integer(200, 3000));
		await endpoint.start();
	}),
	leave: createEndpointFault(async ({endpoint}, random) => {
		await endpoint.leave(random.integer(1500, 2500));
		await sleep(random.integer(0, 1000));
		await endpoint.start();
	}),
	silent: createEndpointFault(async ({relay}, random) => {
		relay.silenceOpen(random.pick(lossDirections));
	}),
	cut: createEndpointFault(async ({relay}) => {
		relay.cut();
	}),
	refused: createEndpointFault(async ({relay}, random) => {
		await relay.refuse();
		await sleep(random.integer(200, 2000));
		await relay.heal();
	}),
	failing: createEndpointFault(async ({endpoint}, random) => {
		endpoint.isFailing = true;
		await sleep(random.integer(200, 2000));
		endpoint.isFailing = false;
	}),
	truncating: createEndpointFault(async ({endpoint}, random) => {
		endpoint.isTruncating = true;
		await sleep(random.integer(200, 2000));
		endpoint.isTruncating = false;
	}),
};

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
	async dropRoute(world, random) {
		const {services} = world.newestConfig;
		world.publish({services: Object.fromEntries(Object.entries(services).filter(([name]) => name !== 'order'))});
		await sleep(random.integer(200, 3000));
		world.publish({services});
	},
};

const tracks: readonly Track[] = [entryFaults, storeFaults, endpointFaults, operatorChanges];
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
