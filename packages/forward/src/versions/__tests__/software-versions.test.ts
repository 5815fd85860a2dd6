import {brandAs, type SoftwareVersion} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {SoftwareVersions} from '../software-versions.js';
import type {StreamOrigin} from '../../streams/stream-origins.js';

const originOf = (version: string): StreamOrigin => ({service: 'models', softwareVersion: brandAs<SoftwareVersion>(version)});

const settle = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

type World = {
	readonly clock: ReturnType<typeof createManualClock>;
	readonly versions: SoftwareVersions;
	/** Versions of the registered endpoints. */
	registered: string[];
	/** Versions that the store has. */
	rows: string[];
	isStoreDown: boolean;
	writes: number;
	reads: number;
	index: number;
	hearsPeers: boolean;
};

const createWorld = (): World => {
	const clock = createManualClock(1000);
	const world: World = {
		clock,
		registered: ['v1'],
		rows: [],
		isStoreDown: false,
		writes: 0,
		reads: 0,
		index: 0,
		hearsPeers: true,
		versions: new SoftwareVersions({
			clock,
			endpoints: () => world.registered.map(version => originOf(version)),
			position: () => ({index: world.index, count: 2}),
			hearsPeers: () => world.hearsPeers,
			rows: {
				async read() {
					world.reads += 1;
					return world.isStoreDown ? undefined : world.rows.map(version => originOf(version));
				},
				async save(origins) {
					world.writes += 1;
					if (!world.isStoreDown) {
						world.rows.push(...origins.map(({softwareVersion}) => softwareVersion));
					}

					return !world.isStoreDown;
				},
				async remove(origins) {
					const removed = new Set<string>(origins.map(({softwareVersion}) => softwareVersion));
					world.rows = world.rows.filter(version => !removed.has(version));
				},
			},
			onChange: () => undefined,
		}),
	};
	return world;
};

/** Runs the checks of some time. */
const pass = async ({clock, versions}: World, ms: number): Promise<void> => {
	for (let passedMs = 0; passedMs < ms; passedMs += 1000) {
		clock.advance(1000);
		versions.update();
		await settle();
	}
};

describe('the software versions of a service', () => {
	it('are written into the store once, and again after a failure; guards against a fleet that forgets a version when it loses power', async () => {
		const world = createWorld();
		world.isStoreDown = true;
		await pass(world, 3000);
		world.isStoreDown = false;
		await pass(world, 100_000);
		assert.equal(world.rows, ['v1']);
		assert.ok(world.writes <= 4, `${world.writes} writes`);
	});

	it('tell which one began a stream only if there is one, in the store as well; guards against streams that go on at the version that has replaced theirs', async () => {
		const world = createWorld();
		world.versions.update();
		assert.is(await world.versions.findOnly('models'), 'v1');
		world.rows = ['v0', 'v1'];
		assert.is(await world.versions.findOnly('models'), undefined);
	});

	it('are not certain without the store, until an entry has run for long; guards against an entry that has just started and knows the new version alone', async () => {
		const world = createWorld();
		world.isStoreDown = true;
		world.versions.update();
		assert.is(await world.versions.findOnly('models'), undefined);
		await pass(world, 40_000);
		assert.is(await world.versions.findOnly('models'), 'v1');
		world.hearsPeers = false;
		assert.is(await world.versions.findOnly('models'), undefined);
	});

	it('are read for many resumed streams at once with few calls; guards against a crowd that makes a call for each stream', async () => {
		const world = createWorld();
		world.versions.update();
		await Promise.all(Array.from({length: 200}, async () => world.versions.findOnly('models')));
		assert.ok(world.reads <= 2, `${world.reads} reads`);
	});

	it('are forgotten, and their row removed by one entry, two minutes after their last endpoint; guards against streams refused for ever after a release', async () => {
		const world = createWorld();
		await pass(world, 1000);
		world.registered = ['v2'];
		await pass(world, 100_000);
		assert.ok(world.versions.isMixed('models'));
		world.index = 1;
		await pass(world, 30_000);
		assert.not(world.versions.isMixed('models'));
		assert.equal(world.rows, ['v1', 'v2']);
	});

	it('are written again after a return of the store from a copy; guards against a version whose row is lost', async () => {
		const world = createWorld();
		await pass(world, 1000);
		world.rows = [];
		world.versions.recordStoreReturn();
		await pass(world, 1000);
		assert.equal(world.rows, ['v1']);
	});

	it('are written again when they come back; guards against a version that has no row while it is used', async () => {
		const world = createWorld();
		await pass(world, 1000);
		world.registered = ['v2'];
		await pass(world, 130_000);
		assert.equal(world.rows, ['v2']);
		world.registered = ['v1', 'v2'];
		await pass(world, 1000);
		assert.equal(world.rows, ['v2', 'v1']);
	});
});
