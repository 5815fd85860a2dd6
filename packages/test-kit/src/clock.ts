/**
 * A monotonic clock that only moves when a test moves it.
 */

/** The part of a clock that production code uses, plus `advance` for tests. */
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
				throw new RangeError('a monotonic clock does not go back');
			}

			currentMs += durationMs;
		},
	};
};
