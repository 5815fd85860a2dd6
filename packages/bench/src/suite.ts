/**
 * The whole benchmark: which strategies run on which workloads, and the bounds that are checked.
 */
import {mean} from 'simple-statistics';
import {findCeiling} from './ceiling.js';
import {deployments, type Deployment} from './deployments.js';
import type {RunTasks} from './pool.js';
import {bucketMs, type RunResult} from './run.js';
import {baselineKeys, splitKey, testedKey} from './strategies/index.js';
import {
	spread, summarise, type Spread, type Summary,
} from './summary.js';
import {workloads, type Workload} from './workloads.js';

/** A figure that the decisions have to reach. */
export type Bound = {
	readonly deployment: string;
	readonly name: string;
	readonly value: Spread;
	readonly limit: number;
	readonly kind: 'at least' | 'at most';
	readonly reached: boolean;
};

export type SuiteResult = {
	readonly runs: number;
	readonly summaries: readonly Summary[];
	readonly bounds: readonly Bound[];
	/** Figures beside the bounds, without a limit. */
	readonly notes: ReadonlyArray<{readonly deployment: string; readonly name: string; readonly value: Spread}>;
	readonly ceilingSplits: Readonly<Record<string, readonly string[]>>;
};

type Results = ReadonlyMap<string, readonly RunResult[]>;

const swinging = 'swinging mix';
const burst = 'burst of one account';
const tableUp = 'table up';
const tableDown = 'table down';

const halves = ({runners}: Deployment): string => {
	const total = runners.reduce((sum, count) => sum + count, 0);
	const half = Math.floor(total / 2);
	return splitKey(half, total - half);
};

/** The pair of workloads for the table is compared with each other only, so only the tested strategy runs on it. */
const strategiesOf = (workload: Workload, deployment: Deployment): string[] =>
	[tableUp, tableDown].includes(workload.name)
		? [testedKey]
		: [...baselineKeys, halves(deployment), splitKey(0, 0), testedKey];

const ratios = (above: readonly number[], below: readonly number[]): Spread =>
	spread(above.map((value, index) => below[index] === 0 ? 0 : value / below[index]!));

const createBound = (deployment: string, name: string, value: Spread, [kind, limit]: [Bound['kind'], number]): Bound => ({
	deployment, name, value, kind, limit, reached: kind === 'at least' ? value.mean >= limit : value.mean <= limit,
});

const onTimeDuring = (result: RunResult, {fromMs, toMs}: {readonly fromMs: number; readonly toMs: number}): number =>
	result.onTimeByBucket.slice(fromMs / bucketMs, toMs / bucketMs).reduce((sum, count) => sum + count, 0);

const tableRatio = (results: Results): Spread => {
	const outage = workloads.find(({name}) => name === tableDown)!.faults.tableDown!;
	const during = (workload: string): number[] =>
		results.get(`${workload}/${testedKey}`)!.map(result => onTimeDuring(result, outage));
	return ratios(during(tableDown), during(tableUp));
};

/** Bounds on goodput under the swinging mix. */
const swingBounds = (name: string, results: Results, ceiling: ReadonlyArray<{requests: number; tokens: number}>): Bound[] =>
	(['requests', 'tokens'] as const).flatMap(unit => {
		const of = (strategy: string): number[] => results.get(`${swinging}/${strategy}`)!.map(({onTime}) => onTime[unit]);
		const best = [...baselineKeys].toSorted((a, b) => mean(of(b)) - mean(of(a)))[0]!;
		return [
			createBound(name, `goodput against the best baseline (${best}), ${unit}`, ratios(of(testedKey), of(best)), ['at least', 1.3]),
			createBound(name, `goodput against the ceiling, ${unit}`, ratios(of(testedKey), ceiling.map(goodput => goodput[unit])), ['at least', 0.95]),
		];
	});

const otherBounds = (deployment: Deployment, results: Results, summaries: readonly Summary[]): Bound[] => {
	const {name} = deployment;
	const swings = workloads.find(({name}) => name === swinging)!.phases.length;
	const changes = results.get(`${swinging}/${testedKey}`)!.map(({roleChangesMs}) => roleChangesMs.length / swings);
	const accounts = summaries.find(summary =>
		summary.deployment === name && summary.workload === burst && summary.strategy === testedKey)!;
	return [
		createBound(name, 'worst account against the mean under the burst, of its entitlement', accounts.worstAccount, ['at least', 0.9]),
		createBound(name, 'worst account against the mean under the burst, of its requests', accounts.worstAccountPlain, ['at least', 0.9]),
		createBound(name, 'role changes for each swing, whole fleet', spread(changes), ['at most', 2]),
		createBound(name, 'role changes for each swing, each data centre', spread(changes.map(count => count / deployment.runners.length)), ['at most', 2]),
		createBound(name, 'goodput during 11 min without the table against the same with it', tableRatio(results), ['at least', 0.98]),
	];
};

const notesOf = (deployment: Deployment, results: Results): SuiteResult['notes'] => [halves(deployment), splitKey(0, 0)].map(split => ({
	deployment: deployment.name,
	name: `goodput under the swinging mix against ${split} with the same choice and admission, requests`,
	value: ratios(
		results.get(`${swinging}/${testedKey}`)!.map(({onTime}) => onTime.requests),
		results.get(`${swinging}/${split}`)!.map(({onTime}) => onTime.requests),
	),
}));

const runDeployment = async (deployment: Deployment, runs: number, runTasks: RunTasks): Promise<SuiteResult> => {
	const pairs = workloads.flatMap(workload =>
		strategiesOf(workload, deployment).map(strategy => ({deployment: deployment.name, workload: workload.name, strategy})));
	const tasks = pairs.flatMap(pair => Array.from({length: runs}, (_, run) => ({...pair, run})));
	const all = await runTasks(tasks);
	const results = new Map(pairs.map(({workload, strategy}, index) =>
		[`${workload}/${strategy}`, all.slice(index * runs, (index + 1) * runs)]));
	const summaries = pairs.map(pair => summarise(pair, results.get(`${pair.workload}/${pair.strategy}`)!, bucketMs));
	const ceiling = await findCeiling({deployment: deployment.name, workload: swinging}, deployment, runs, runTasks);
	return {
		runs,
		summaries,
		bounds: [...swingBounds(deployment.name, results, ceiling.bySeed), ...otherBounds(deployment, results, summaries)],
		notes: notesOf(deployment, results),
		ceilingSplits: {[deployment.name]: ceiling.splits},
	};
};

/** Runs the benchmark with seeds `0` to `runs - 1` of each workload. */
export const runSuite = async (runs: number, runTasks: RunTasks): Promise<SuiteResult> => {
	const parts: SuiteResult[] = [];
	for (const deployment of deployments) {
		parts.push(await runDeployment(deployment, runs, runTasks));
	}

	return {
		runs,
		summaries: parts.flatMap(({summaries}) => summaries),
		bounds: parts.flatMap(({bounds}) => bounds),
		notes: parts.flatMap(({notes}) => notes),
		ceilingSplits: Object.assign({}, ...parts.map(({ceilingSplits}) => ceilingSplits)) as SuiteResult['ceilingSplits'],
	};
};
