/**
 * Limits of time for calls. A signal of Node's own `AbortSignal.any` may be garbage-collected before the timeout has passed, and then the call that waits
 * for it never ends, so these limits keep their timers and listeners themselves.
 */
import {waitForPendingInput} from '../callers/pending-input.js';

/** A signal that aborts together with a parent signal or after a timeout. */
export type TimeLimit = {
	readonly signal: AbortSignal;
	/** Whether the timeout, not the parent signal, aborted it. */
	readonly isExpired: boolean;
	/** Releases the timer and the parent listener. */
	clear(): void;
};

/** Limits for a call whose answer may be large: its length says nothing about whether the connection still works. */
export type ProgressLimits = {
	/** Time until the first part of the answer. */
	readonly firstMs: number;
	/** Time between two parts of the answer. */
	readonly stallMs: number;
	/** Time for the whole answer since its first part, however it progresses. */
	readonly totalMs: number;
};

/** A limit that follows the progress of a call. */
export type ProgressLimit = TimeLimit & {
	/** Records that a part of the answer has arrived. */
	recordProgress(): void;
};

/** An abort signal with what a limit of time needs to abort it. */
type AbortableLimit = TimeLimit & {
	/** Aborts, because nothing happened within a time. */
	expire(limitMs: number): void;
};

const createAbortable = (parent?: AbortSignal): AbortableLimit => {
	const controller = new AbortController();
	let isOver = false;
	const abort = (): void => {
		controller.abort(parent?.reason);
	};

	if (parent?.aborted) {
		abort();
	} else {
		parent?.addEventListener('abort', abort, {once: true});
	}

	return {
		signal: controller.signal,
		get isExpired() {
			return isOver;
		},
		expire(limitMs) {
			isOver = true;
			controller.abort(new Error(`not within ${Math.round(limitMs)} ms`));
		},
		clear() {
			parent?.removeEventListener('abort', abort);
		},
	};
};

export const createTimeLimit = (limitMs: number, parent?: AbortSignal): TimeLimit => {
	const limit = createAbortable(parent);
	const timer = setTimeout(() => {
		limit.expire(limitMs);
	}, limitMs);
	return {
		signal: limit.signal,
		get isExpired() {
			return limit.isExpired;
		},
		clear() {
			clearTimeout(timer);
			limit.clear();
		},
	};
};

/** Creates a limit that aborts when nothing of the answer arrives for too long. What has arrived and was not read yet counts as progress. */
export const createProgressLimit = ({firstMs, stallMs, totalMs}: ProgressLimits, parent?: AbortSignal): ProgressLimit => {
	const limit = createAbortable(parent);
	let parts = 0;
	let isCleared = false;
	const expireUnlessProgressing = async (limitMs: number): Promise<void> => {
		const partsBefore = parts;
		await waitForPendingInput();
		if (!isCleared && parts === partsBefore) {
			limit.expire(limitMs);
		}
	};

	const startTimer = (limitMs: number): NodeJS.Timeout => setTimeout(() => {
		void expireUnlessProgressing(limitMs);
	}, limitMs);
	let progressTimer = startTimer(firstMs);
	let totalTimer: NodeJS.Timeout | undefined;
	return {
		signal: limit.signal,
		get isExpired() {
			return limit.isExpired;
		},
		recordProgress() {
			parts += 1;
			if (parts > 1) {
				progressTimer.refresh();
				return;
			}

			clearTimeout(progressTimer);
			progressTimer = startTimer(stallMs);
			totalTimer = setTimeout(() => {
				limit.expire(totalMs);
			}, totalMs);
		},
		clear() {
			isCleared = true;
			clearTimeout(progressTimer);
			clearTimeout(totalTimer);
			limit.clear();
		},
	};
};

/** Runs a call with a time limit. */
export const withTimeLimit = async <Result>(limitMs: number, parent: AbortSignal | undefined, run: (signal: AbortSignal) => Promise<Result>): Promise<Result> => {
	const limit = createTimeLimit(limitMs, parent);
	try {
		return await run(limit.signal);
	} finally {
		limit.clear();
	}
};
