/**
 * Latest events of prompt segments. Both the segments and the times of each are bounded, so that callers with ever new prompts do not fill the memory.
 */
import type {SegmentKey} from '../ids.js';

/** Enough for the shared segments of some minutes. */
const maxTrackedSegments = 4000;

/** Puts an item at the end of a map, and drops the first one if there are too many. */
export const putLatest = <Value>(map: Map<SegmentKey, Value>, segment: SegmentKey, value: Value): void => {
	map.delete(segment);
	map.set(segment, value);
	const [oldest] = map.keys();
	if (map.size > maxTrackedSegments && oldest !== undefined) {
		map.delete(oldest);
	}
};

/** Times of the latest events with each segment, the latest segment last. */
export class SegmentTimes {
	readonly #timesMs = new Map<SegmentKey, number[]>();
	readonly #maxTimes: number;

	/** `maxTimes`: times that are kept of each segment. */
	constructor(maxTimes: number) {
		this.#maxTimes = maxTimes;
	}

	record(segment: SegmentKey, nowMs: number): void {
		const timesMs = this.#timesMs.get(segment) ?? [];
		timesMs.push(nowMs);
		putLatest(this.#timesMs, segment, timesMs.slice(-this.#maxTimes));
	}

	/** Number of events since then, up to the number that is kept. */
	countSince(segment: SegmentKey, sinceMs: number): number {
		return (this.#timesMs.get(segment) ?? []).filter(atMs => atMs >= sinceMs).length;
	}

	forget(segment: SegmentKey): void {
		this.#timesMs.delete(segment);
	}
}
