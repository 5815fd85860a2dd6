/**
 * Spreads runs over worker threads. Each run is a pure function of its task, so the number of threads changes no result.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import type {RunResult} from './run.js';

export type Task = {
	readonly deployment: string;
	readonly workload: string;
	readonly strategy: string;
	readonly run: number;
};

export type RunTasks = (tasks: readonly Task[]) => Promise<RunResult[]>;

/** Waits for the next answer; `once` of node:events also fails on an error and removes its listeners. */
const nextMessage = async (worker: Worker): Promise<RunResult> => {
	const [result] = await once(worker, 'message') as [RunResult];
	return result;
};

/** Runs all tasks on `threads` workers and returns the results in the order of the tasks. */
export const runOnThreads = async (tasks: readonly Task[], threads: number): Promise<RunResult[]> => {
	const results: RunResult[] = [];
	let next = 0;
	const work = async (): Promise<void> => {
		const worker = new Worker(new URL('worker.js', import.meta.url));
		try {
			for (let index = next++; index < tasks.length; index = next++) {
				const answered = nextMessage(worker);
				worker.postMessage(tasks[index]);
				results[index] = await answered;
			}
		} finally {
			await worker.terminate();
		}
	};

	await Promise.all(Array.from({length: Math.min(threads, tasks.length)}, work));
	return results;
};
