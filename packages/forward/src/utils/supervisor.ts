/**
 * Runs the background tasks of the entry. An exception ends neither the process nor the other tasks: it is logged and counted, and the task starts again
 * after a pause, which grows while the task keeps failing. Requests do not depend on a task that is pausing.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';

/** Work that goes on until its signal aborts, or that is done once. Its promise settles only when it has released everything. */
export type Task = (signal: AbortSignal) => Promise<void>;

/** Runs a task until it is done or the signal aborts. The promise never rejects. */
export type Supervise = (name: string, task: Task, signal: AbortSignal) => Promise<void>;

export type SupervisorOptions = {
	readonly clock: Clock;
	/** Called with each exception of a task; `restartMs` is absent if the task does not start again. */
	readonly onFailure: (failure: {readonly task: string; readonly error: unknown; readonly restartMs?: number}) => void;
};

const firstPauseMs = 100;
const maxPauseMs = 5000;
/** A task that has run for this time has recovered, so its next pause is short again. */
const recoveredMs = 10_000;

const isAbortError = (error: unknown): boolean => error instanceof Error && error.name === 'AbortError';

/** Creates a function that runs tasks. */
export const createSupervisor = ({clock, onFailure}: SupervisorOptions): Supervise => async (task, run, signal) => {
	let pauseMs = firstPauseMs;
	while (!signal.aborted) {
		const startedMs = clock.nowMs();
		try {
			await run(signal);
			return;
		} catch (error) {
			if (signal.aborted) {
				// A task that is told to end may reject with the reason.
				if (!isAbortError(error)) {
					onFailure({task, error});
				}

				return;
			}

			pauseMs = clock.nowMs() - startedMs >= recoveredMs ? firstPauseMs : pauseMs;
			onFailure({task, error, restartMs: pauseMs});
		}

		await sleep(pauseMs, undefined, {signal}).catch(() => undefined);
		pauseMs = Math.min(maxPauseMs, pauseMs * 2);
	}
};
