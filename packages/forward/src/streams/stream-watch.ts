/**
 * Watches one stream for a stall: by the events of the stream itself and, through the stall detector of its endpoint, by those of all streams
 * there. Comments and parts of events are no progress, so an endpoint that sends a byte now and then does not hold a caller. A stream that waits for
 * its caller to read is not stalled.
 */
import type {StallDetector, StallListener} from '@hawthorncleat/core';
import {createStallTimer, type StallTimer} from '../utils/stall-timer.js';

export type StreamWatchOptions = {
	/** Time without events of this stream after which it has stalled. */
	readonly stallMs: number;
	/** Called repeatedly while the stream is stalled. */
	readonly onStall: () => void;
};

export class StreamWatch {
	readonly #detector: StallDetector;
	readonly #maxGapMs: number;
	readonly #options: StreamWatchOptions | undefined;
	readonly #listener: StallListener;
	#timer: StallTimer | undefined;
	#hasEnded = false;

	/** Without options the stream only takes part in the stall detection of its endpoint. */
	constructor(detector: StallDetector, maxGapMs: number, options?: StreamWatchOptions) {
		this.#detector = detector;
		this.#maxGapMs = maxGapMs;
		this.#options = options;
		this.#listener = () => {
			options?.onStall();
		};

		detector.addWaiting(this.#listener);
		this.#startTimer();
	}

	/** Records that the head of the answer or a complete event has arrived. */
	recordProgress(): void {
		this.#timer?.restart();
		this.#detector.recordBytes();
	}

	/** Records that the stream has begun. */
	start(): void {
		if (!this.#hasEnded) {
			this.#detector.startStream(this.#listener, this.#maxGapMs);
		}
	}

	/** Suspends the watch while the caller reads more slowly than the stream arrives. */
	pause(): void {
		this.#timer?.clear();
		this.#timer = undefined;
		this.#detector.remove(this.#listener);
	}

	resume(): void {
		if (!this.#hasEnded) {
			this.#startTimer();
			this.start();
		}
	}

	end(): void {
		this.#hasEnded = true;
		this.pause();
	}

	#startTimer(): void {
		this.#timer?.clear();
		this.#timer = this.#options && createStallTimer(this.#options.stallMs, this.#options.onStall);
	}
}
