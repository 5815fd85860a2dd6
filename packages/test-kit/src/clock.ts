/**
 * A monotonic clock whose time changes only when a test advances it.
 */

/** The clock interface of the production code, with `advance` for tests. */
export type ManualClock = {
	nowMs(): number;
	advance(durationMs: number): void;
};

/** Creates a clock that starts at `startMs`. */
export const createManualClock = (startMs = 0): ManualClock => {
	let currentMs = startMs;
	return {
		nowMs: () => currentMs,
		advance(durationMs) {
			if (durationMs < 0) {
				throw new RangeError('a monotonic clock cannot go back');
			}

			currentMs += durationMs;
		},
	};
};
