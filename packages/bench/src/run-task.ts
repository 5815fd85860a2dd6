/**
 * Looks up what a task names and runs it.
 */
import {deployments, type Deployment} from './deployments.js';
import type {Task} from './pool.js';
import {runOnce, type RunResult} from './run.js';
import {findStrategy} from './strategies/index.js';
import {workloads, type Workload} from './workloads.js';

const findNamed = <Item extends {readonly name: string}>(items: readonly Item[], name: string): Item => {
	const item = items.find(item => item.name === name);
	if (!item) {
		throw new Error(`unknown name ${name}; known: ${items.map(({name}) => name).join(', ')}`);
	}

	return item;
};

export const findDeployment = (name: string): Deployment => findNamed(deployments, name);

export const findWorkload = (name: string): Workload => findNamed(workloads, name);

/** Runs one task in this thread. */
export const runTask = (task: Task): RunResult =>
	runOnce(findStrategy(task.strategy), findWorkload(task.workload), findDeployment(task.deployment), task.run);
