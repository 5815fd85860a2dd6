import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {startPlatform} from '@hawthorncleat/stand-ins';
import {silentLog} from '@hawthorncleat/telemetry';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {startEntryDaemon, type Entry} from '../index.js';
import {createSettings} from './fixtures.js';

const deps = {
	clock: {nowMs: () => performance.now()},
	random: () => 0.5,
	makeId: randomUUID,
	log: silentLog,
};
const adminToken = 'test-admin-token';
const configBoundMs = 18_000;
const freshnessLimitMs = 4000;

type Platform = Awaited<ReturnType<typeof startPlatform>>;
type Fleet = {readonly platform: Platform; readonly entries: readonly Entry[]};

const startOne = async (platform: Platform, entryId: string, signal: AbortSignal): Promise<Entry> => {
	const entry = await startEntryDaemon(createSettings({
		entryId, dataCentre: 'bergen-1', platformUrl: platform.url, adminToken, headPollMs: 200, hostPollMs: 100, witnessSettleMs: 0, usageFlushMs: 60_000,
	}), deps, signal);
	platform.putHost({
		hostId: entryId, dataCentre: 'bergen-1', kind: 'entry', address: '127.0.0.1', port: entry.internalPort, state: 'live',
	});
	return entry;
};

const withFleet = async (body: (fleet: Fleet) => Promise<void>): Promise<void> => {
	const controller = new AbortController();
	const platform = await startPlatform({}, controller.signal);
	const entries: Entry[] = [];
	try {
		for (const entryId of ['entry-1', 'entry-2', 'entry-3']) {
			entries.push(await startOne(platform, entryId, controller.signal));
		}

		await waitFor(async () => allReady(entries), 5000);
		await waitFor(async () => allConnected(entries), 5000);
		// Witnesses that have not read since they joined attest nothing, by rule.
		await waitFor(async () => allMayAttest(entries), 5000);
		await body({platform, entries});
	} finally {
		controller.abort();
		await Promise.all(entries.map(async ({closed}) => closed));
	}
};

const waitFor = async (condition: () => Promise<boolean>, limitMs: number): Promise<void> => waitUntil(condition, {limitMs, pollMs: 50});

const ask = async (entry: Entry, path: string, body?: unknown): Promise<{status: number; body: Record<string, unknown>}> => {
	const answer = await fetch(`http://127.0.0.1:${entry.adminPort}${path}`, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {authorization: `Bearer ${adminToken}`},
		...(body !== undefined && {body: JSON.stringify(body)}),
	});
	return {status: answer.status, body: await answer.json() as Record<string, unknown>};
};

const allReady = async (entries: readonly Entry[]): Promise<boolean> => {
	const answers = await Promise.all(entries.map(async entry => ask(entry, '/readyz')));
	return answers.every(({status}) => status === 200);
};

const allConnected = async (entries: readonly Entry[]): Promise<boolean> => {
	const answers = await Promise.all(entries.map(async entry => ask(entry, '/admin/status')));
	return answers.every(({body}) => (body.entries as string[]).length === entries.length - 1);
};

const allMayAttest = async (entries: readonly Entry[]): Promise<boolean> => {
	const answers = await Promise.all(entries.map(async entry => ask(entry, '/admin/status')));
	return answers.every(({body}) => body.mayAttest === true);
};

const versionOf = async (entry: Entry): Promise<unknown> => {
	const {body} = await ask(entry, '/admin/status');
	return body.configVersion;
};

const haveVersion = async (entries: readonly Entry[], version: number): Promise<boolean> => {
	const versions = await Promise.all(entries.map(async entry => versionOf(entry)));
	return versions.every(found => found === version);
};

const createAccount = (name: string) => ({put: [{kind: 'client-account', name}]});

describe('control of three entries', () => {
	it('brings a change into force everywhere; guards against entries that miss a publication', async () =>
		withFleet(async ({entries}) => {
			const {status, body} = await ask(entries[0]!, '/admin/config/apply', createAccount('planning'));
			assert.equal([status, body], [200, {version: 1, confirmed: true}]);
			await waitFor(async () => haveVersion(entries, 1), configBoundMs);
		}));

	it('serves on while the store is down for all; guards against an outage that stops keyed requests', async () =>
		withFleet(async ({platform, entries}) => {
			platform.setFaults({tableDown: true});
			const startedAtMs = performance.now();
			const endMs = startedAtMs + (2 * freshnessLimitMs);
			while (performance.now() < endMs) {
				const ready = await allReady(entries);
				assert.ok(ready, `an entry lost its freshness ${Math.round(performance.now() - startedAtMs)} ms after the table`);
				await sleep(100);
			}
		}));

	it('refuses a change while the store is down; guards against a publication that nobody can read', async () =>
		withFleet(async ({platform, entries}) => {
			platform.setFaults({tableDown: true});
			const {status, body} = await ask(entries[1]!, '/admin/config/apply', createAccount('planning'));
			assert.is(status, 503);
			assert.is((body.error as {code: string}).code, 'store-unavailable');
		}));

	it('ends after a drain that an operator asked for; guards against a drained process that stays', async () =>
		withFleet(async ({entries}) => {
			const [entry] = entries;
			await ask(entry!, '/admin/drain', {});
			const isClosed = await Promise.race([entry!.closed.then(() => true), sleep(5000, false)]);
			assert.ok(isClosed, 'the entry was not closed 5 s after the drain');
		}));

	it('writes nothing without a majority of witnesses; guards against a withdrawal that an attestation could miss', async () =>
		withFleet(async ({platform, entries}) => {
			platform.putHost({
				hostId: 'entry-4', dataCentre: 'bergen-1', kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
			});
			platform.putHost({
				hostId: 'entry-5', dataCentre: 'bergen-1', kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
			});
			platform.removeHost('entry-2');
			platform.removeHost('entry-3');
			await sleep(500);
			const {status, body} = await ask(entries[0]!, '/admin/config/apply', createAccount('planning'));
			assert.is(status, 503);
			assert.is((body.error as {code: string}).code, 'witnesses-unavailable');
			assert.is(await versionOf(entries[0]!), 0);
		}));
});
