/**
 * Waiting for a condition that other processes or timers make true.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

export type WaitOptions = {
	/** Name of the condition in the error message. */
	readonly what?: string;
	readonly limitMs?: number;
	readonly pollMs?: number;
};

/** Polls until the condition is true; rejects after `limitMs`. */
export const waitUntil = async (
	condition: () => Promise<boolean> | boolean,
	{what = 'condition', limitMs = 5000, pollMs = 5}: WaitOptions = {},
): Promise<void> => {
	const endMs = performance.now() + limitMs;
	while (!await condition()) {
		if (performance.now() > endMs) {
			throw new Error(`${what}: not within ${limitMs} ms`);
		}

		await sleep(pollMs);
	}
};
