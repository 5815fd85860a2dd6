/**
 * The rounds of a duty while its lease is held, one after the other with a pause between them. A round that fails because
 * of the store is tried again; any other error ends the duty, so that its lease becomes free.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {isStoreError} from '@hawthorncleat/store';
import type {ProgressLog} from './progress-log.js';

export type Rounds = {
	readonly round: () => Promise<void>;
	readonly pauseMs: number;
	readonly progress: ProgressLog;
	/** Hears of each failure after which a later round may succeed, in place of `progress`. */
	readonly onFailure?: (reason: string) => void;
	/** Further errors after which a later round may succeed, besides those of the store. */
	readonly mayPass?: (error: unknown) => error is Error;
};

const tryRound = async ({round, progress, onFailure, mayPass}: Rounds): Promise<void> => {
	try {
		await round();
		progress.succeeded();
	} catch (error) {
		if (!isStoreError(error) && !mayPass?.(error)) {
			throw error;
		}

		if (onFailure) {
			onFailure(error.message);
		} else {
			progress.failed(error.message);
		}
	}
};

/** Runs rounds until `signal` aborts. */
export const runRounds = async (rounds: Rounds, signal: AbortSignal): Promise<void> => {
	while (!signal.aborted) {
		await tryRound(rounds);
		await sleep(rounds.pauseMs, undefined, {signal}).catch(() => {/* The loop ends. */});
	}
};
