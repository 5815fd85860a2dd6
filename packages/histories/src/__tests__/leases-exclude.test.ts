import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import type {LeaseDurations} from '@hawthorncleat/core';
import {startPlatform, type PlatformStandIn} from '@hawthorncleat/stand-ins';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {abortAfter} from '../abort-after.js';
import {
	createHistory, createSeededRandom, endpointOrdersOnce, expectNoViolations, inChargeNote, joinHistories, leasesExclude, listTenures, startChild, type Child, type History, type SeededRandom,
} from '../index.js';

const seeds = [401, 402, 403];
const durationMs = 9000;
const holders = ['holder-1', 'holder-2', 'holder-3'];
// A tenth of the product's durations, in the same proportions, so that a run sees many takeovers.
const durations: LeaseDurations = {leaseTtlMs: 900, leaseRenewMs: 300, leaseMarginMs: 150};
const fixturePath = fileURLToPath(new URL('../__fixtures__/lease-holder.ts', import.meta.url));

type Run = {
	readonly platform: PlatformStandIn;
	readonly history: History;
	readonly random: SeededRandom;
	readonly children: Map<string, Child>;
	readonly signal: AbortSignal;
};

const startHolder = ({platform, history, children, signal}: Run, name: string): void => {
	const command = [process.execPath, '--import', 'tsx', '--conditions=source', fixturePath, platform.url, name, JSON.stringify(durations)];
	children.set(name, startChild({
		command,
		onLine(line) {
			history.append({kind: 'note', name: inChargeNote, value: JSON.parse(line)});
		},
	}, signal));
};

/** The holder in charge last; most faults hit it. */
const findHolder = ({history, random}: Run): string => {
	const note = history.records.findLast(record => record.kind === 'note');
	const current = note?.kind === 'note' ? (note.value as {holder: string}).holder : undefined;
	return current !== undefined && random.chance(0.8) ? current : random.pick(holders);
};

const pauseHolder = async (run: Run): Promise<void> => {
	const name = findHolder(run);
	run.history.append({kind: 'fault', fault: 'pause', target: name});
	run.children.get(name)!.signal('SIGSTOP');
	// Up to well past the lease, so that another holder is in charge when this one resumes.
	await delay(run.random.integer(200, 2 * durations.leaseTtlMs));
	run.children.get(name)!.signal('SIGCONT');
};

const killHolder = async (run: Run): Promise<void> => {
	const name = findHolder(run);
	run.history.append({kind: 'fault', fault: 'kill', target: name});
	await run.children.get(name)!.kill();
	startHolder(run, name);
};

const disturbTable = async ({platform, random}: Run): Promise<void> => {
	platform.setFaults(random.pick([
		{loseTableAnswers: random.integer(1, 8)},
		{tableSlowMs: random.integer(50, durations.leaseTtlMs)},
		{tableDown: true},
	]));
	await delay(random.integer(100, 1000));
	platform.setFaults({});
};

const injectFaults = async (run: Run): Promise<void> => {
	const ending = abortAfter(durationMs, run.signal);
	while (!ending.aborted) {
		await delay(run.random.integer(100, 500));
		await run.random.pick([pauseHolder, pauseHolder, killHolder, disturbTable])(run);
	}
};

const runSeed = async (seed: number): Promise<void> => {
	const controller = new AbortController();
	const {signal} = controller;
	const platform = await startPlatform({}, signal);
	const run: Run = {
		platform, signal, history: createHistory(), random: createSeededRandom(seed), children: new Map(),
	};
	try {
		for (const name of holders) {
			startHolder(run, name);
		}

		await injectFaults(run);
		await delay(durations.leaseTtlMs);
	} finally {
		controller.abort();
		await Promise.all([platform.closed, ...[...run.children.values()].map(async ({exited}) => exited)]);
	}

	const history = joinHistories({run: run.history.records, platform: platform.history});
	const orders = platform.history.filter(({kind}) => kind === 'endpoint-order').length;
	console.log(`seed ${seed}: ${listTenures(history).length} tenures, ${orders} orders`);
	expectNoViolations(history, [leasesExclude, endpointOrdersOnce]);
	assert.ok(listTenures(history).length > 1 && orders > 1, 'the lease never changed hands');
};

describe('leases exclude', () => {
	for (const seed of seeds) {
		it(`with holders paused and killed and a failing table, seed ${seed}; guards against two processes in charge`, async () => runSeed(seed));
	}
});
