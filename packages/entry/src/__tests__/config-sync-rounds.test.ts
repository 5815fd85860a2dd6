import {setTimeout as sleep} from 'node:timers/promises';
import {createActiveConfig, type ActiveConfig} from '@hawthorncleat/core';
import type {ConfigStore} from '@hawthorncleat/store';
import {describe, it} from '@hawthorncleat/test-kit';
import type {Peer} from '@hawthorncleat/wire';
import * as assert from 'uvu/assert';
import {ConfigSync} from '../control/config-sync.js';

const storeDown = {
	async fetchSince() {
		throw new Error('the store is down');
	},
} as unknown as ConfigStore;

const createPeer = (call: () => Promise<unknown>): Peer => ({call} as unknown as Peer);

/** Never answers, like a peer behind a silent connection. */
const createSilentPeer = (): Peer => createPeer(async () => new Promise(() => {/* Never settles. */}));

const createSync = (inForce: ActiveConfig, peers: ReadonlyMap<string, Peer>): ConfigSync =>
	new ConfigSync({inForce, store: storeDown, peers: () => peers});

describe('ConfigSync while the store is down', () => {
	it('takes a version that a peer gets later although another peer is silent; guards against witnesses that lag for seconds', async () => {
		const inForce = createActiveConfig();
		let version = 0;
		const writer = createPeer(async () => ({version, snapshot: {version, objects: []}}));
		const sync = createSync(inForce, new Map([['silent', createSilentPeer()], ['writer', writer]]));
		void sync.catchUp(1);
		await sleep(5);
		assert.is(inForce.view().version, 0);
		version = 1;
		void sync.catchUp(1);
		await sleep(5);
		assert.is(inForce.view().version, 1);
	});

	it('asks a peer once at a time; guards against questions that pile up at a slow peer', async () => {
		let questions = 0;
		const slow = createPeer(async () => {
			questions += 1;
			return new Promise(() => {/* Never settles. */});
		});
		const sync = createSync(createActiveConfig(), new Map([['slow', slow]]));
		for (let round = 0; round < 3; round += 1) {
			void sync.catchUp(1);
			await sleep(5);
		}

		assert.is(questions, 1);
	});
});
