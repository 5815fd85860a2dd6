import {performance} from 'node:perf_hooks';
import {createActiveConfig, type ActiveConfig} from '@hawthorncleat/core';
import {createStoreError, type ConfigStore} from '@hawthorncleat/store';
import type {ConfigObject, Snapshot} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import {dial, listen} from '@hawthorncleat/wire';
import * as assert from 'uvu/assert';
import {answerConfigSince, takePart} from '../control/config-parts.js';
import {ConfigSync} from '../control/config-sync.js';

const clock = {nowMs: () => performance.now()};
const base = {address: '127.0.0.1', clock, heartbeat: () => ({configVersion: 0, leaving: false})};

const storeIsDown = async (): Promise<never> => {
	throw createStoreError('the store is down', 'unknown');
};

const store: ConfigStore = {readHead: storeIsDown, fetchSince: storeIsDown, publish: storeIsDown};

const createAccounts = (count: number): ConfigObject[] =>
	Array.from({length: count}, (_, index) => ({kind: 'client-account', name: `account-${index}`}));

const createSnapshot = (count: number): Snapshot => ({version: 7, objects: createAccounts(count)});

/** Brings an empty entry up to date over a real connection to an entry with the given configuration. */
const syncFrom = async (source: ActiveConfig): Promise<ActiveConfig> => {
	const controller = new AbortController();
	try {
		const handlers = {'config.since': async (params: {version: number; offset?: number}) => answerConfigSince(source, params)};
		const listener = await listen({...base, port: 0, handlers}, controller.signal);
		const peer = await dial({...base, port: listener.port, handlers: {}}, controller.signal);
		const target = createActiveConfig();
		await new ConfigSync({inForce: target, store, peers: () => new Map([['peer', peer]])}).catchUp(source.view().version);
		return target;
	} finally {
		controller.abort();
	}
};

describe('configuration from a peer while the store is down', () => {
	it('takes a snapshot of over 1 MiB; guards against a line that ends the connection', async () => {
		const snapshot = createSnapshot(48_000);
		assert.ok(JSON.stringify(snapshot).length > 2 * 1024 * 1024);
		const target = await syncFrom(createActiveConfig(snapshot));
		assert.is(target.view().version, 7);
		assert.is(target.view().snapshot.objects.length, 48_000);
	});

	it('takes deltas where they suffice', async () => {
		const source = createActiveConfig();
		source.install({deltas: [{version: 1, change: {put: createAccounts(2)}}]});
		const target = await syncFrom(source);
		assert.equal(target.view().snapshot.objects.map(({name}) => name), ['account-0', 'account-1']);
	});

	it('sends a single object that is larger than a part; guards against an endless transfer', () => {
		assert.is(takePart(createAccounts(3), 1, 1).length, 1);
	});
});
