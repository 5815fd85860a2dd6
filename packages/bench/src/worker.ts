/**
 * One thread of the benchmark: runs each task that it is sent and answers with the result.
 */
import {parentPort} from 'node:worker_threads';
import type {Task} from './pool.js';
import {runTask} from './run-task.js';

parentPort?.on('message', (task: Task) => {
	parentPort?.postMessage(runTask(task));
});
