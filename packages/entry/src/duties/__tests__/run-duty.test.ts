import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {usageShardCount} from '@hawthorncleat/core';
import type {Lease} from '@hawthorncleat/store';
import type {EntrySettings, HostRecord} from '@hawthorncleat/schema';
import {silentLog} from '@hawthorncleat/telemetry';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import {Registry} from 'prom-client';
import * as assert from 'uvu/assert';
import {startEntryDaemon} from '../../index.js';
import {createDutyMetrics} from '../duty-metrics.js';
import {dutyCandidates, isCandidate, runDuty} from '../run-duty.js';
import {withWorld, type World} from './usage-world.js';

const hosts = ['e1', 'e2', 'e3', 'e4', 'e5'].map((hostId): HostRecord => ({
	hostId, dataCentre: 'd', kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
}));
const candidatesOf = (entries: readonly HostRecord[]): string[] =>
	hosts.map(({hostId}) => hostId).filter(hostId => isCandidate('usage/0', hostId, entries));

const start = (world: World, entryId: string, entries: () => readonly HostRecord[], run: (lease: Lease) => Promise<void>) => {
	const controller = new AbortController();
	const metrics = createDutyMetrics(new Registry());
	const done = runDuty({
		name: 'usage/0', kind: 'usage', async run(lease, signal) {
			await run(lease);
			await sleep(60_000, undefined, {signal}).catch(() => undefined);
		},
	}, {
		entryId,
		table: world.table,
		clock: {nowMs: () => performance.now()},
		makeId: randomUUID,
		entries,
		hostPollMs: 10,
		metrics,
		log: silentLog,
		// Expires only after the test has failed, so that a hand-over in time proves that the lease was given back.
		durations: {leaseTtlMs: 60_000, leaseRenewMs: 50, leaseMarginMs: 100},
	}, AbortSignal.any([world.signal, controller.signal]));
	return {
		metrics,
		async stop() {
			controller.abort();
			await done;
		},
	};
};

const entrySettings = (platformUrl: string): EntrySettings => ({
	entryId: 'e1',
	dataCentre: 'd',
	region: 'r',
	platformUrl,
	address: '127.0.0.1',
	callerPort: 0,
	internalPort: 0,
	adminPort: 0,
	adminToken: 'token',
	logFormat: 'json',
	logLevel: 'info',
	maxBodyBytes: 1000,
	headPollMs: 100,
	hostPollMs: 100,
	usageFlushMs: 100,
	usageWindowMs: 1000,
	witnessSettleMs: 60_000,
	drainLimitMs: 1000,
	traceFile: '',
});

describe('leased duties', () => {
	it('have a few candidates, replaced when they leave; guards against lease reads by every entry and duties without a holder', () => {
		const candidates = candidatesOf(hosts);
		const remaining = candidatesOf(hosts.map(host => host.hostId === candidates[0] ? {...host, state: 'leaving'} : host));
		assert.equal([candidates.length, remaining.length, remaining.includes(candidates[0]!)], [dutyCandidates, dutyCandidates, false]);
		assert.is(candidatesOf([]).length, hosts.length);
	});

	it('pass to the next candidate when the holder leaves; guards against a duty that waits for the end of the lease', async () => withWorld(async world => {
		const epochs: number[] = [];
		let entries = [hosts[0]!];
		const run = async ({epoch}: Lease): Promise<void> => {
			epochs.push(epoch);
		};

		const first = start(world, 'e1', () => entries, run);
		await waitUntil(() => epochs.length === 1);
		const second = start(world, 'e2', () => entries, run);
		entries = [hosts[1]!];
		await waitUntil(() => epochs.length === 2);
		assert.equal(epochs, [1, 2]);
		await Promise.all([first.stop(), second.stop()]);
	}));

	it('are held by a started entry and given back by its drain; guards against duties that are not started or not released', async () => withWorld(async world => {
		const controller = new AbortController();
		const entry = await startEntryDaemon(entrySettings(world.platform.url), {
			clock: {nowMs: () => performance.now()}, random: Math.random, makeId: randomUUID, log: silentLog,
		}, controller.signal);
		const holders = async (): Promise<unknown[]> => {
			const rows = await world.table.scan('lease/usage/');
			return rows.map(({value}) => (value as {holder: string}).holder);
		};

		await waitUntil(() => world.platform.history.filter(record => record.kind === 'write').length >= usageShardCount);
		assert.equal(await holders(), Array.from({length: usageShardCount}, () => 'e1'));
		await entry.drain();
		assert.equal(await holders(), Array.from({length: usageShardCount}, () => ''));
		controller.abort();
		await entry.closed;
	}));

	it('run again after an unexpected error; guards against a duty that ends for good', async () => withWorld(async world => {
		let runs = 0;
		const duty = start(world, 'e1', () => [], async () => {
			runs += 1;
			if (runs === 1) {
				throw new Error('damaged row');
			}
		});
		await waitUntil(() => runs === 2);
		const failures = await duty.metrics.failures.get();
		assert.equal(failures.values.map(({value}) => value), [1]);
		await duty.stop();
	}));
});
