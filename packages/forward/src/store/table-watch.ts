/**
 * Follows a table of the store: reads a snapshot, then waits for changes after its version. After a failed call it goes on behind the last version that
 * it has read, so that nothing is transferred twice. Only when the store no longer has the history since then, it reads a new snapshot.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock, Random} from '@hawthorncleat/core';
import type {RowStore, StoreAnswer, StoreTable} from '../ports.js';

export type TableWatchOptions = {
	readonly table: StoreTable;
	readonly rows: RowStore;
	readonly clock: Clock;
	readonly random: Random;
	/**
	 * Longest time that one call waits for changes. A connection that has gone silent is detected only after it. A call that waits is ended and made again
	 * when much shorter waits have become necessary.
	 */
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
/** An entry without a snapshot cannot serve, and its calls are few beside those that all entries make in steady state. */
const maxFirstRetryMs = 400;
/** Entries that lost the store together do not call again at the same moments. */
const retrySpread = 0.5;
/** How often a call that waits is checked. */
const waitCheckMs = 500;
/** A wait goes on unless the present one is shorter by this factor. */
const shorterWaitFactor = 2;

const pause = async (ms: number, signal: AbortSignal): Promise<void> => sleep(ms, undefined, {signal}).catch(() => undefined);

const applyAnswer = ({onAnswer, onApplyError}: TableWatchOptions, answer: StoreAnswer, isSnapshot: boolean): void => {
	try {
		onAnswer(answer, isSnapshot);
	} catch (error) {
		onApplyError(error);
	}
};

type Changes = {readonly answer?: StoreAnswer; readonly isEnded: boolean};

/** Waits for changes; resolves to `isEnded` when the wait has become too long. */
const waitForChanges = async (options: TableWatchOptions, {after, waitMs}: {readonly after: number; readonly waitMs: number}, signal: AbortSignal): Promise<Changes> => {
	const {table, rows, waitMs: currentWaitMs, answerMs} = options;
	const ended = new AbortController();
	const check = setInterval(() => {
		if (currentWaitMs() * shorterWaitFactor < waitMs) {
			ended.abort();
		}
	}, waitCheckMs);
	try {
		return {answer: await rows.watch(table, {after, waitMs, answerMs}, AbortSignal.any([signal, ended.signal])), isEnded: false};
	} catch (error) {
		if (ended.signal.aborted && !signal.aborted) {
			return {isEnded: true};
		}

		throw error;
	} finally {
		clearInterval(check);
	}
};

/** Follows the table until `signal` aborts. */
export const watchTable = async (options: TableWatchOptions, signal: AbortSignal): Promise<void> => {
	const {table, rows, random, waitMs, pauseMs, onAvailability} = options;
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
				const {answer, isEnded} = await waitForChanges(options, {after, waitMs: isResuming ? 0 : waitMs()}, signal);
				if (isEnded) {
					continue;
				}

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
			await pause(retryMs * (1 - (retrySpread / 2) + (retrySpread * random())), signal);
			retryMs = Math.min(after === undefined ? maxFirstRetryMs : maxRetryMs, retryMs * 2);
		}
	}
};
