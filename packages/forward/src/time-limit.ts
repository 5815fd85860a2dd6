/**
 * A signal that aborts together with a parent signal or after a timeout. A signal of Node's own `AbortSignal.any` may be
 * garbage-collected before the timeout has passed, and then the call that waits for it never ends.
 */
export type TimeLimit = {
	readonly signal: AbortSignal;
	/** Whether the timeout, not the parent signal, aborted it. */
	readonly isExpired: boolean;
	/** Restarts the timeout. */
	restart(): void;
	/** Removes the timeout; the parent signal still aborts. */
	disable(): void;
	/** Aborts as if the timeout had passed. */
	expire(): void;
	/** Releases the timer and the parent listener. */
	clear(): void;
};

export const createTimeLimit = (limitMs: number, parent?: AbortSignal): TimeLimit => {
	const controller = new AbortController();
	let isOver = false;
	const abort = (): void => {
		controller.abort(parent?.reason);
	};

	const expire = (problem: string): void => {
		isOver = true;
		controller.abort(new Error(problem));
	};

	const timer = setTimeout(() => {
		expire(`not within ${Math.round(limitMs)} ms`);
	}, limitMs);
	const clear = (): void => {
		clearTimeout(timer);
		parent?.removeEventListener('abort', abort);
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
		restart() {
			timer.refresh();
		},
		disable() {
			clearTimeout(timer);
		},
		expire() {
			clearTimeout(timer);
			expire('the endpoint has stalled');
		},
		clear,
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
