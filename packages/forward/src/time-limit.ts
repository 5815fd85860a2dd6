/**
 * A signal that aborts with another one or after a time. The runtime's own combination of signals may be collected before
 * its time is up, after which nothing ends the call that waits for it.
 */
export type TimeLimit = {
	readonly signal: AbortSignal;
	/** Whether the time, and not the other signal, ended it. */
	readonly isExpired: boolean;
	/** Starts the time anew. */
	restart(): void;
	/** Takes the time limit away; the other signal still ends the call. */
	disable(): void;
	/** Ends the call as if its time were over. */
	expire(): void;
	/** Releases the timer and the listener. */
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
			expire('the endpoint has gone silent');
		},
		clear,
	};
};

/** Runs a call under a time limit. */
export const withTimeLimit = async <Result>(limitMs: number, parent: AbortSignal | undefined, run: (signal: AbortSignal) => Promise<Result>): Promise<Result> => {
	const limit = createTimeLimit(limitMs, parent);
	try {
		return await run(limit.signal);
	} finally {
		limit.clear();
	}
};
