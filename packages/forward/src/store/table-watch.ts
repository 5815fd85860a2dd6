/**
 * Follows a table of the store: reads a snapshot, then waits for changes after its version. After a failed call it goes on behind the last version that
 * it has read, so that nothing is transferred twice. Only when the store no longer has the history since then, it reads a new snapshot.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';
import type {RowStore, StoreAnswer, StoreTable} from '../ports.js';

export type TableWatchOptions = {
	readonly table: StoreTable;
	readonly rows: RowStore;
	readonly clock: Clock;
	/** Longest time that one call waits for changes. A connection that has gone silent is detected only after it. */
	readonly waitMs: () => number;
	/** How much later than the end of its wait the answer to a call may arrive. */
	readonly answerMs: number;
	/** Pause between calls, which limits their number while the table changes all the time. */
	readonly pauseMs: () => number;
	/** In a snapshot, rows that are missing do not exist. */
	readonly onAnswer: (answer: StoreAnswer, isSnapshot: boolean) => void;
	/** Called with an exception of `onAnswer`. The table is followed on behind that answer, since it would throw again each time that it is read. */
	readonly onApplyError: (error: unknown) => void;
	/** Called after each call with whether the store answered. */
	readonly onAvailability: (isAvailable: boolean, error?: unknown) => void;
};

const firstRetryMs = 100;
/**
 * Pause after a call without changes. The store may have answered at once instead of waiting, and calls are rate-limited and billed.
 * The next call returns the changes made during the pause.
 */
const emptyResultPauseMs = 100;
const maxRetryMs = 800;

const pause = async (ms: number, signal: AbortSignal): Promise<void> => sleep(ms, undefined, {signal}).catch(() => undefined);

const applyAnswer = ({onAnswer, onApplyError}: TableWatchOptions, answer: StoreAnswer, isSnapshot: boolean): void => {
	try {
		onAnswer(answer, isSnapshot);
	} catch (error) {
		onApplyError(error);
	}
};

/** Follows the table until `signal` aborts. */
export const watchTable = async (options: TableWatchOptions, signal: AbortSignal): Promise<void> => {
	const {table, rows, waitMs, answerMs, pauseMs, onAvailability} = options;
	let after: number | undefined;
	let retryMs = firstRetryMs;
	/** The first call after a failed one does not wait for changes, because its answer shows that the store is back. */
	let isResuming = false;
	while (!signal.aborted) {
		let isEmpty = false;
		try {
			if (after === undefined) {
				const answer = await rows.read(table, {}, signal);
				onAvailability(true);
				applyAnswer(options, answer, true);
				after = answer.version;
			} else {
				const answer = await rows.watch(table, {after, waitMs: isResuming ? 0 : waitMs(), answerMs}, signal);
				onAvailability(true);
				isEmpty = answer === undefined || answer.rows.length === 0;
				if (answer && !isEmpty) {
					applyAnswer(options, answer, false);
				}

				after = answer?.version;
			}

			retryMs = firstRetryMs;
			isResuming = false;
			await pause(isEmpty ? Math.max(pauseMs(), emptyResultPauseMs) : pauseMs(), signal);
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			onAvailability(false, error);
			isResuming = true;
			await pause(retryMs, signal);
			retryMs = Math.min(maxRetryMs, retryMs * 2);
		}
	}
};
