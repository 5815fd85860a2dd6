/**
 * Clocks of tests: one whose time changes only when a test advances it, and the one of the machine.
 */
import {performance} from 'node:perf_hooks';

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

/** The monotonic clock of the machine. */
export const systemClock = {nowMs: (): number => performance.now()};
