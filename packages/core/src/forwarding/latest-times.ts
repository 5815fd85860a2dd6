/**
 * Latest events by key, such as a prompt segment. Both the keys and the times of each are bounded, so that callers with ever new ones do not fill the memory.
 */

/** Enough for the shared prompt segments of some minutes. */
const maxTrackedKeys = 4000;

/** Puts an item at the end of a map, and drops the first one if there are too many. */
export const putLatest = <Key, Value>(map: Map<Key, Value>, key: Key, value: Value, maxSize = maxTrackedKeys): void => {
	map.delete(key);
	map.set(key, value);
	const [oldest] = map.keys();
	if (map.size > maxSize && oldest !== undefined) {
		map.delete(oldest);
	}
};

/** Times of the latest events with each key, the latest key last. */
export class LatestTimes<Key> {
	readonly #timesMs = new Map<Key, number[]>();
	readonly #maxTimes: number;

	/** `maxTimes`: times that are kept of each key. */
	constructor(maxTimes: number) {
		this.#maxTimes = maxTimes;
	}

	record(key: Key, nowMs: number): void {
		const timesMs = this.#timesMs.get(key) ?? [];
		timesMs.push(nowMs);
		putLatest(this.#timesMs, key, timesMs.slice(-this.#maxTimes));
	}

	/** Number of events since then, up to the number that is kept. */
	countSince(key: Key, sinceMs: number): number {
		return (this.#timesMs.get(key) ?? []).filter(atMs => atMs >= sinceMs).length;
	}

	forget(key: Key): void {
		this.#timesMs.delete(key);
	}
}
