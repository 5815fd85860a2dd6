/**
 * Follows the engine's stream of cache events. A gap in the stream cannot be filled in, so the known prefixes are forgotten
 * whenever it ends.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {CacheEvent} from '@hawthorncleat/schema';
import type {CachedPrefixes} from './cached-prefixes.js';

const reconnectMs = 1000;

/** Reads events into `prefixes` until `signal` aborts. */
export const followCacheEvents = async (
	open: (signal: AbortSignal) => AsyncIterable<CacheEvent>,
	prefixes: CachedPrefixes,
	signal: AbortSignal,
): Promise<void> => {
	while (!signal.aborted) {
		try {
			for await (const event of open(signal)) {
				prefixes.apply(event);
			}
		} catch {
			// An engine that is gone is reported by its monitor; one without events only has no known prefixes.
		}

		prefixes.clear();
		await sleep(reconnectMs, undefined, {signal}).catch(() => {/* The loop ends. */});
	}
};
