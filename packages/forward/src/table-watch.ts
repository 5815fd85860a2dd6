/**
 * Follows a table of the store: reads it whole, then waits for its changes. When the store has forgotten the history, or
 * after a failure, it continues from where it was or reads the table again.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';
import type {RowStore, StoreAnswer, StoreTable} from './ports.js';

export type TableWatchOptions = {
	readonly table: StoreTable;
	readonly rows: RowStore;
	readonly clock: Clock;
	/** Longest time that one call waits. A connection that went silent is noticed only after that. */
	readonly waitMs: number;
	/** Pause between calls, which bounds their number while the table changes all the time. */
	readonly pauseMs: number;
	/** `isWhole`: rows that are missing do not exist. */
	readonly onAnswer: (answer: StoreAnswer, isWhole: boolean) => void;
	readonly onAvailability: (isAvailable: boolean, error?: unknown) => void;
};

const firstRetryMs = 100;
/** A call that brought nothing may have come back at once, and calls are limited and billed; no change is missed meanwhile. */
const emptyPauseMs = 100;
const maxRetryMs = 800;

const pause = async (ms: number, signal: AbortSignal): Promise<void> => sleep(ms, undefined, {signal}).catch(() => undefined);

/** Runs until `signal` aborts. */
export const watchTable = async (options: TableWatchOptions, signal: AbortSignal): Promise<void> => {
	const {table, rows, waitMs, pauseMs, onAnswer, onAvailability: onAvailable} = options;
	let after: number | undefined;
	let retryMs = firstRetryMs;
	while (!signal.aborted) {
		let isEmpty = false;
		try {
			if (after === undefined) {
				const answer = await rows.read(table, {}, signal);
				onAvailable(true);
				onAnswer(answer, true);
				after = answer.version;
			} else {
				const answer = await rows.watch(table, {after, waitMs}, signal);
				onAvailable(true);
				isEmpty = answer === undefined || answer.rows.length === 0;
				if (answer && !isEmpty) {
					onAnswer(answer, false);
				}

				after = answer?.version;
			}

			retryMs = firstRetryMs;
			await pause(isEmpty ? Math.max(pauseMs, emptyPauseMs) : pauseMs, signal);
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			onAvailable(false, error);
			// Changes that were missed must not depend on the history that the store still has.
			after = undefined;
			await pause(retryMs, signal);
			retryMs = Math.min(maxRetryMs, retryMs * 2);
		}
	}
};
