import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {defaultRolePlanOptions, type ConfigView} from '@hawthorncleat/core';
import type {EntrySettings} from '@hawthorncleat/schema';
import {silentLog} from '@hawthorncleat/telemetry';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import {Registry} from 'prom-client';
import * as assert from 'uvu/assert';
import type {DutySources} from '../../deps.js';
import type {Endpoint} from '../../endpoint.js';
import {createDutyMetrics} from '../duty-metrics.js';
import {runRoleDuties} from '../role-duties.js';
import {withWorld, type World} from './usage-world.js';

const engineRates = {
	prefillTokensPerSecond: 12_000, stepMs: 20, stepMsPerRequest: 0.4, chunkTokens: 256, maxRunning: 64,
};

const createEndpoint = (id: string, report: {role: string; nextRole?: string}, orders: string[], dataCentre = 'dc-1'): Endpoint => ({
	id, host: {hostId: id, dataCentre, serves: 'planner'}, isLeaving: false,
	report: {running: 0, prefixes: [], ...report},
	peer: {
		async call(method: string, {orderNumber}: {orderNumber: number}) {
			orders.push(`${method} ${id} ${orderNumber}`);
		},
	},
}) as unknown as Endpoint;

const start = (world: World, endpoints: () => Endpoint[]) => {
	const controller = new AbortController();
	const registry = new Registry();
	const done = runRoleDuties({
		settings: {dataCentre: 'dc-1'} as unknown as EntrySettings,
		context: {
			entryId: 'e1', table: world.table, clock: {nowMs: () => performance.now()}, makeId: randomUUID, entries: () => [], hostPollMs: 10,
			metrics: createDutyMetrics(registry), log: silentLog, durations: {leaseTtlMs: 60_000, leaseRenewMs: 50, leaseMarginMs: 100},
		},
		sources: {
			registry, endpoints, demand: {measure: () => ({promptTokensPerSecond: 1000, outputTokensPerSecond: 4000})},
		} as unknown as DutySources,
		config: {
			current: () => ({listModelRoutes: () => [{service: {name: 'planner'}, modelVersion: {engineRates}}]}) as unknown as ConfigView,
		},
		hosts: {current: () => []},
	}, AbortSignal.any([world.signal, controller.signal]));
	return async (): Promise<void> => {
		controller.abort();
		await done;
	};
};

const holderOf = async (world: World): Promise<string | undefined> => {
	const row = await world.table.read('lease/roles/planner/dc-1');
	return (row?.value as {holder: string} | undefined)?.holder;
};

const waitLonger = async (condition: () => Promise<boolean> | boolean): Promise<void> => waitUntil(condition, {limitMs: 9000, pollMs: 20});

describe('role duties', () => {
	it('order roles of connected engines and end with the service; guards against planners that are not started or never end', async () => withWorld(async world => {
		const orders: string[] = [];
		const roles = ['prefill', 'prefill', 'prefill', 'decode'];
		let endpoints = roles.map((role, index) => createEndpoint(`engine-${index}`, {role}, orders));
		const stop = start(world, () => endpoints);
		await waitLonger(() => orders.length > 0);
		assert.match(orders[0]!, /^engine\.order engine-\d 1048576$/);
		endpoints = [];
		await waitLonger(async () => await holderOf(world) === '');
		await stop();
	}));

	it('count orders under way elsewhere; guards against several data centres that answer the same swing', async () => withWorld(async world => {
		const orders: string[] = [];
		const local = ['prefill', 'prefill', 'prefill', 'decode'].map((role, index) => createEndpoint(`engine-${index}`, {role}, orders));
		// The engines elsewhere still wait for their running work, and will decode enough for all.
		const elsewhere = (report: {role: string; nextRole?: string}): Endpoint[] =>
			Array.from({length: 4}, (_, index) => createEndpoint(`far-${index}`, report, orders, 'dc-2'));
		let endpoints = [...local, ...elsewhere({role: 'prefill', nextRole: 'decode'})];
		const stop = start(world, () => endpoints);
		await waitLonger(async () => await holderOf(world) === 'e1');
		// Longer than the dwell time and two rounds.
		await sleep(defaultRolePlanOptions.dwellMs + 2500);
		assert.equal(orders, []);
		endpoints = [...local, ...elsewhere({role: 'prefill'})];
		await waitLonger(() => orders.length > 0);
		await stop();
	}));
});
