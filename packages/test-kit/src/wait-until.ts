/**
 * Waiting for something that other processes or timers bring about.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

export type WaitOptions = {
	/** Named in the error. */
	readonly what?: string;
	readonly limitMs?: number;
	readonly pollMs?: number;
};

/** Polls until a condition holds, and rejects after the limit. */
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
