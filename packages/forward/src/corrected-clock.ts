/**
 * Time of day that a clock step of one host does not move: the store's steady clock, plus the difference from the time
 * of day that most entries had when they started.
 */
import type {Clock} from '@hawthorncleat/core';

export class CorrectedClock {
	readonly #clock: Clock;
	readonly #offsets: () => readonly number[];
	#storeOffsetMs: number | undefined;

	constructor(clock: Clock, offsets: () => readonly number[]) {
		this.#clock = clock;
		this.#offsets = offsets;
	}

	/** Notes an answer of the store. The answer is older than its arrival, so the largest recent difference is closest. */
	recordStoreTime(storeNowMs: number): void {
		this.#storeOffsetMs = storeNowMs - this.#clock.nowMs();
	}

	/** The store's clock; undefined before its first answer. */
	storeNowMs(): number | undefined {
		return this.#storeOffsetMs === undefined ? undefined : this.#clock.nowMs() + this.#storeOffsetMs;
	}

	nowMs(): number | undefined {
		const storeNowMs = this.storeNowMs();
		const offsets = [...this.#offsets()].toSorted((a, b) => a - b);
		const median = offsets[Math.floor(offsets.length / 2)];
		return storeNowMs === undefined || median === undefined ? undefined : storeNowMs + median;
	}
}
