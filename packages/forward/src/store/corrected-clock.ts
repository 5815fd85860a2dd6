/**
 * A wall clock that a clock step of one host does not change: the store's monotonic clock plus the median of the offsets
 * between that clock and the entries' wall clocks, which each entry recorded when it wrote its member row.
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

	/**
	 * Records the clock reading in an answer of the store. The reading is older than the arrival of the answer, so the offset is
	 * too small by the travel time of the answer. The newest answer counts: should the store's clock jump when the store returns from an older
	 * copy, this entry follows it at once, and its peers' offsets as soon as they have written their member rows again.
	 */
	recordStoreTime(storeNowMs: number): void {
		this.#storeOffsetMs = storeNowMs - this.#clock.nowMs();
	}

	/** Estimate of the store's monotonic clock; undefined before its first answer. */
	storeNowMs(): number | undefined {
		return this.#storeOffsetMs === undefined ? undefined : this.#clock.nowMs() + this.#storeOffsetMs;
	}

	/** Wall-clock time; undefined before the first answer of the store and the first member row. */
	nowMs(): number | undefined {
		const storeNowMs = this.storeNowMs();
		const offsets = [...this.#offsets()].toSorted((a, b) => a - b);
		const median = offsets[Math.floor(offsets.length / 2)];
		return storeNowMs === undefined || median === undefined ? undefined : storeNowMs + median;
	}
}
