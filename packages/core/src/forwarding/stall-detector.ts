/**
 * Notices that an engine has gone silent: none of the streams that run there has brought anything for longer than any of
 * them may pause. Answers the load of an engine that is lost without a reset: until its registration lapses, which takes
 * seconds, every request that is sent there is lost with it.
 */

/** Silence that counts, in longest pauses of a stream that is on time. */
const silentGaps = 2;
/** Engines without a known limit of pauses, and very short limits, are given this time at least. */
const minSilentMs = 400;
/** One stream alone may pause because the engine has preempted it. */
const minStreams = 2;

export type StallListener = () => void;

export class StallDetector {
	/** Streams that have begun, with the longest pause of each. */
	readonly #gaps = new Map<StallListener, number>();
	readonly #waiting = new Set<StallListener>();
	#silentMs = 0;

	/** Engines are told apart by whether something has come lately. */
	get isStalled(): boolean {
		return this.#gaps.size >= minStreams && this.#silentMs >= this.#limitMs;
	}

	/** A request waits for its first event there. The watcher is called each time the engine is found silent. */
	addWaiting(watcher: StallListener): void {
		this.#waiting.add(watcher);
	}

	/** The stream of a watcher has begun. */
	startStream(watcher: StallListener, maxGapMs: number): void {
		this.#waiting.delete(watcher);
		this.#gaps.set(watcher, maxGapMs);
	}

	remove(watcher: StallListener): void {
		this.#waiting.delete(watcher);
		this.#gaps.delete(watcher);
	}

	/** Something has come from the engine. */
	recordBytes(): void {
		this.#silentMs = 0;
	}

	/** Counts time in which this process was able to hear; returns whether the engine is silent. */
	advance(ms: number): boolean {
		this.#silentMs += ms;
		if (!this.isStalled) {
			return false;
		}

		for (const watcher of [...this.#gaps.keys(), ...this.#waiting]) {
			watcher();
		}

		return true;
	}

	get #limitMs(): number {
		return Math.max(minSilentMs, silentGaps * Math.max(0, ...this.#gaps.values()));
	}
}
