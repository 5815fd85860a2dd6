/**
 * Runs one seed. Callers load every entry while faults chosen by the seed are injected. Then the faults end, the entries get
 * time to recover and serve some more load, all entries are stopped in the planned way, and the rules check the record.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {abortAfter, createSeededRandom, type SeededRandom} from '@hawthorncleat/histories';
import {retryLimits as usualRetryLimits, type RetryLimits} from '@hawthorncleat/platform/stand-ins';
import {injectFaults} from './faults.js';
import {startLoad} from './load.js';
import type {SoakRecord, Violation} from './record.js';
import {rules} from './rules/index.js';
import {withWorld, type World} from './world.js';

/** Time that the entries get to recover after the last fault. */
const recoveryMs = 5000;
/** The load continues for this long after the recovery. */
const loadAfterRecoveryMs = 2000;
const warmUpMs = 500;
/** Under the light load of a run, only so small a budget is ever used up. */
const scarceRetryLimits: RetryLimits = {...usualRetryLimits, ratio: 0.02, allowance: 9};

export type SeedOptions = {readonly seed: number; readonly durationMs: number};

export type SeedResult = {
	readonly seed: number;
	readonly calls: number;
	readonly served: number;
	readonly runs: number;
	readonly faults: readonly string[][];
	readonly violations: readonly Violation[];
	/** Log lines of all entries; together with the record they help to explain a violation. */
	readonly logLines: readonly string[];
	readonly record: SoakRecord;
};

const createRecord = (world: World, {calls, recoveredMs, retryLimits}: Pick<SoakRecord, 'calls' | 'recoveredMs' | 'retryLimits'>): SoakRecord => ({
	calls,
	runs: world.endpoints.flatMap(({endpoint}) => endpoint.runs),
	reports: world.usage.reports,
	orders: world.endpoints.flatMap(({endpoint}) => endpoint.orders),
	configs: world.configs,
	disturbances: world.disturbances,
	endpointFaults: world.endpointFaults,
	limits: world.limits,
	retryLimits,
	recoveredMs,
	stops: world.stops,
});

const runInWorld = async (world: World, {seed, durationMs}: SeedOptions, {random, retryLimits, signal}: {random: SeededRandom; retryLimits: RetryLimits; signal: AbortSignal}): Promise<SeedResult> => {
	const load = new AbortController();
	const {calls, ended} = startLoad(world.entries, random.fork(), load.signal);
	await sleep(warmUpMs);
	const faults = await injectFaults(world, random.fork(), abortAfter(durationMs, signal));
	await sleep(recoveryMs);
	const recoveredMs = performance.now();
	await sleep(loadAfterRecoveryMs);
	load.abort();
	await ended;
	world.stops.push(...await Promise.all(world.entries.map(async entry => entry.stop())));
	const record = createRecord(world, {calls, recoveredMs, retryLimits});
	return {
		seed,
		calls: calls.length,
		served: calls.filter(({status, isWhole}) => status === 200 && isWhole).length,
		runs: record.runs.length,
		faults,
		violations: rules.flatMap(rule => rule(record)),
		logLines: world.logLines,
		record,
	};
};

export const runSeed = async (options: SeedOptions): Promise<SeedResult> => {
	const random = createSeededRandom(options.seed);
	// Every second seed runs with the scarce budget.
	const retryLimits = options.seed % 2 === 0 ? scarceRetryLimits : usualRetryLimits;
	return withWorld(retryLimits, async (world, signal) => runInWorld(world, options, {random, retryLimits, signal}));
};
