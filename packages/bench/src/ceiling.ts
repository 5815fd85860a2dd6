/**
 * The ceiling: the best fixed split of roles, chosen with hindsight for each phase. All splits of a grid run once; the two
 * best of each phase then run with every seed, and each phase of each seed counts the best of them. The splits use the
 * decisions under test except for the planner, so the ceiling bounds what planning can gain.
 */
import type {Deployment} from './deployments.js';
import type {RunTasks, Task} from './pool.js';
import type {Goodput, RunResult} from './run.js';
import {splitKey} from './strategies/index.js';

const bestOfPhase = 2;

const createGrid = (deployment: Deployment): string[] => {
	const total = deployment.runners.reduce((sum, count) => sum + count, 0);
	const half = Math.floor(total / 2);
	const decodes = [0, 1, Math.floor(total / 4)];
	const prefills = Array.from({length: total}, (_, count) => count);
	const mixed = prefills.flatMap(prefill => decodes
		.filter(decode => prefill + decode < total)
		.map(decode => splitKey(prefill, decode)));
	return [...new Set([...mixed, splitKey(half, total - half)])];
};

const rankPhase = (keys: readonly string[], results: readonly RunResult[], phase: number): string[] => {
	const ranked = keys
		.map((key, index) => ({key, requests: results[index]!.byPhase[phase]!.requests}))
		.toSorted((a, b) => b.requests - a.requests);
	return ranked.slice(0, bestOfPhase).map(({key}) => key);
};

const bestPhases = (results: readonly RunResult[]): Goodput => {
	const total = {requests: 0, tokens: 0};
	for (const phase of results[0]!.byPhase.keys()) {
		total.requests += Math.max(...results.map(({byPhase}) => byPhase[phase]!.requests));
		total.tokens += Math.max(...results.map(({byPhase}) => byPhase[phase]!.tokens));
	}

	return total;
};

export type Ceiling = {readonly splits: readonly string[]; readonly bySeed: readonly Goodput[]};

/** Finds the ceiling of a workload on a deployment for runs `0` to `runs - 1`. */
export const findCeiling = async (
	names: Pick<Task, 'deployment' | 'workload'>,
	deployment: Deployment,
	runs: number,
	runTasks: RunTasks,
): Promise<Ceiling> => {
	const grid = createGrid(deployment);
	const screened = await runTasks(grid.map(strategy => ({...names, strategy, run: 0})));
	const phases = [...screened[0]!.byPhase.keys()];
	const splits = [...new Set(phases.flatMap(phase => rankPhase(grid, screened, phase)))];
	const tasks = Array.from({length: runs}, (_, run) => splits.map(strategy => ({...names, strategy, run}))).flat();
	const results = await runTasks(tasks);
	const bySeed = Array.from({length: runs}, (_, run) =>
		bestPhases(results.slice(run * splits.length, (run + 1) * splits.length)));
	return {splits, bySeed};
};
