/**
 * Faults from outside, in tracks that run beside each other: entries, the store, endpoints and the operator. Faults of one
 * track come one after the other, those of different tracks overlap.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {LostBytes, SeededRandom} from '@hawthorncleat/histories';
import type {EntryProcess} from './entry-process.js';
import {initialConfig, type RelayedEndpoint, type World} from './world.js';

/** Makes one fault and ends it. */
type Fault = (world: World, random: SeededRandom) => Promise<void>;
type Track = Readonly<Record<string, Fault>>;

const lostBytes: readonly LostBytes[] = ['to-target', 'to-dialer', 'both'];

const touchEntry = (name: string, body: (entry: EntryProcess, world: World, random: SeededRandom) => Promise<void>): Fault => async (world, random) => {
	const entry = random.pick(world.entries);
	await world.recordDisturbance(name, entry.name, async () => body(entry, world, random));
};

const touchStore = (name: string, body: (world: World, random: SeededRandom) => Promise<void>): Fault => async (world, random) => {
	await world.recordDisturbance(name, undefined, async () => {
		await body(world, random);
		world.store.faults = {};
	});
};

/** Faults of endpoints concern no entry by itself, so they excuse none. */
const touchEndpoint = (body: (endpoint: RelayedEndpoint, random: SeededRandom) => Promise<void>): Fault => async (world, random) =>
	body(random.pick(world.endpoints), random);

const restart = async (entry: EntryProcess): Promise<void> => {
	await entry.start();
	await entry.waitUntilReady();
};

const entryFaults: Track = {
	kill: touchEntry('kill', async (entry, _world, random) => {
		await entry.kill();
		await sleep(random.integer(0, 1500));
		await restart(entry);
	}),
	killInStart: touchEntry('kill-in-start', async (entry, _world, random) => {
		await entry.kill();
		await entry.start();
		await sleep(random.integer(100, 900));
		await entry.kill();
		await restart(entry);
	}),
	pause: touchEntry('pause', async (entry, _world, random) => {
		entry.signal('SIGSTOP');
		await sleep(random.integer(300, 5000));
		entry.signal('SIGCONT');
	}),
	stop: touchEntry('stop', async (entry, world) => {
		world.stops.push(await entry.stop());
		await restart(entry);
	}),
	stopAndKill: touchEntry('stop-and-kill', async (entry, _world, random) => {
		entry.signal('SIGTERM');
		await sleep(random.integer(50, 1000));
		await entry.kill();
		await restart(entry);
	}),
	reload: touchEntry('reload', async entry => {
		entry.signal('SIGHUP');
	}),
	killAll: async world => world.recordDisturbance('kill-all', undefined, async () => {
		await Promise.all(world.entries.map(async entry => entry.kill()));
		await Promise.all(world.entries.map(async entry => restart(entry)));
	}),
};

const storeFaults: Track = {
	away: touchStore('store-away', async ({store}, random) => {
		store.faults = {isAway: true};
		await sleep(random.integer(300, 6000));
	}),
	lostAnswers: touchStore('store-loses-answers', async ({store}, random) => {
		store.faults = {losesAnswers: true};
		await sleep(random.integer(200, 2500));
	}),
	slow: touchStore('store-slow', async ({store}, random) => {
		store.faults = {delayMs: random.integer(100, 700)};
		await sleep(random.integer(500, 4000));
	}),
	historyDropped: touchStore('store-history-dropped', async ({store}) => {
		store.dropHistory();
	}),
	unreachable: touchEntry('store-unreachable', async (entry, _world, random) => {
		await entry.storeRelay.refuse();
		await sleep(random.integer(300, 5000));
		await entry.storeRelay.heal();
	}),
	silent: touchEntry('store-silent', async (entry, _world, random) => {
		entry.storeRelay.silenceOpen(random.pick(lostBytes));
		await sleep(random.integer(100, 2000));
	}),
	partitioned: touchEntry('store-partitioned', async (entry, _world, random) => {
		entry.storeRelay.partition();
		await sleep(random.integer(300, 5000));
		await entry.storeRelay.heal();
		entry.storeRelay.cut();
	}),
	usageAway: touchStore('usage-away', async ({usage}, random) => {
		usage.isAway = true;
		await sleep(random.integer(500, 5000));
		usage.isAway = false;
	}),
};

const endpointFaults: Track = {
	crash: touchEndpoint(async ({endpoint}, random) => {
		endpoint.crash();
		await sleep(random.integer(200, 3000));
		await endpoint.start();
	}),
	leave: touchEndpoint(async ({endpoint}, random) => {
		await endpoint.leave(random.integer(1500, 2500));
		await sleep(random.integer(0, 1000));
		await endpoint.start();
	}),
	silent: touchEndpoint(async ({relay}, random) => {
		relay.silenceOpen(random.pick(lostBytes));
	}),
	cut: touchEndpoint(async ({relay}) => {
		relay.cut();
	}),
	refused: touchEndpoint(async ({relay}, random) => {
		await relay.refuse();
		await sleep(random.integer(200, 2000));
		await relay.heal();
	}),
	failing: touchEndpoint(async ({endpoint}, random) => {
		endpoint.isFailing = true;
		await sleep(random.integer(200, 2000));
		endpoint.isFailing = false;
	}),
	truncating: touchEndpoint(async ({endpoint}, random) => {
		endpoint.truncates = true;
		await sleep(random.integer(200, 2000));
		endpoint.truncates = false;
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
const maxPauseMs = 1500;

const runTrack = async (track: Track, world: World, random: SeededRandom, signal: AbortSignal): Promise<string[]> => {
	const made: string[] = [];
	while (!signal.aborted) {
		await sleep(random.integer(0, maxPauseMs));
		const name = random.pick(Object.keys(track));
		made.push(name);
		await track[name]!(world, random);
	}

	return made;
};

/** Makes faults until the signal aborts; each one that has begun ends. Returns their names by track. */
export const injectFaults = async (world: World, random: SeededRandom, signal: AbortSignal): Promise<string[][]> =>
	Promise.all(tracks.map(async track => runTrack(track, world, random.fork(), signal)));
