/**
 * Detects a stalled engine: no bytes on any of its streams for longer than any of them may pause. Without it, an engine that disappears
 * without a connection reset would keep receiving requests, which are all lost, until its registration expires after some seconds.
 */

/** An engine is stalled after this multiple of the longest gap that its streams allow. */
const stallLimitGaps = 2;
/** Lower bound of the stall limit, also used when no stream has a gap limit. */
const minStallLimitMs = 400;
/** A single stream may pause because the engine has preempted it. */
const minStreams = 2;

export type StallListener = () => void;

export class StallDetector {
	/** Listeners of streams that have started, with the longest gap that each stream allows. */
	readonly #streams = new Map<StallListener, number>();
	readonly #waiting = new Set<StallListener>();
	#sinceLastBytesMs = 0;

	get isStalled(): boolean {
		return this.#streams.size >= minStreams && this.#sinceLastBytesMs >= this.#stallLimitMs;
	}

	/** Adds a request that waits for its first event. The listener is called on each `advance` that finds the engine stalled. */
	addWaiting(listener: StallListener): void {
		this.#waiting.add(listener);
	}

	/** Records that the stream of a listener has received its first event. */
	startStream(listener: StallListener, maxGapMs: number): void {
		this.#waiting.delete(listener);
		this.#streams.set(listener, maxGapMs);
	}

	remove(listener: StallListener): void {
		this.#waiting.delete(listener);
		this.#streams.delete(listener);
	}

	/** Records that bytes have been received from the engine. */
	recordBytes(): void {
		this.#sinceLastBytesMs = 0;
	}

	/** Adds time in which this process was able to receive bytes; returns whether the engine is stalled. */
	advance(ms: number): boolean {
		this.#sinceLastBytesMs += ms;
		if (!this.isStalled) {
			return false;
		}

		for (const listener of [...this.#streams.keys(), ...this.#waiting]) {
			listener();
		}

		return true;
	}

	get #stallLimitMs(): number {
		return Math.max(minStallLimitMs, stallLimitGaps * Math.max(0, ...this.#streams.values()));
	}
}
