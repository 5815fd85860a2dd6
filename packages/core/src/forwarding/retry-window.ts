/**
 * Limits the calls that load endpoints again, beyond the first of each request, within a sliding window. Entries share the limit of the fleet without asking
 * one another: each takes its part of the fixed allowance and a ratio of its own first attempts.
 */
import type {Clock} from '../clock.js';

export type RetryLimits = {
	/** Further calls for each request. */
	readonly ratio: number;
	/** Further calls of the whole fleet that need no request. */
	readonly allowance: number;
};

export type RetryWindowOptions = {
	readonly windowMs: number;
	/** May change while the counts go on. */
	readonly limits: () => RetryLimits;
	/** Entries that share the allowance. */
	readonly entries: () => number;
};

/** Further calls that an attempt may make. */
export type RetryReservation = {
	/** Returns what did not reach an endpoint. */
	release(calls: number): void;
};

/** Part of the limit that is used; the rest covers entries that do not know of each other yet. */
const usedPart = 0.7;
/**
 * Part of the allowance in the first window. The process that ran before may have taken its whole part a moment ago, and
 * 0.7 of the limit twice would go beyond it.
 */
const startPart = 0.4;
const buckets = 20;

type Bucket = {slot: number; first: number; further: number};

/** Counts of the last window for one service. */
export class RetryWindow {
	readonly #clock: Clock;
	readonly #options: RetryWindowOptions;
	readonly #startMs: number;
	readonly #buckets: Bucket[] = Array.from({length: buckets}, () => ({slot: -1, first: 0, further: 0}));

	constructor(clock: Clock, options: RetryWindowOptions) {
		this.#clock = clock;
		this.#options = options;
		this.#startMs = clock.nowMs();
	}

	recordFirstCall(): void {
		this.#current().first += 1;
	}

	/** Takes further calls out of the window; undefined when it has not so many. */
	reserve(calls: number): RetryReservation | undefined {
		const slot = this.#slot();
		const recent = this.#buckets.filter(bucket => bucket.slot > slot - buckets);
		const first = recent.reduce((sum, bucket) => sum + bucket.first, 0);
		const further = recent.reduce((sum, bucket) => sum + bucket.further, 0);
		const {limits, entries, windowMs} = this.#options;
		const {ratio, allowance} = limits();
		const known = this.#clock.nowMs() - this.#startMs < windowMs ? allowance * startPart : allowance;
		const limit = ((first * ratio) + (known / Math.max(1, entries()))) * usedPart;
		if (calls > 0 && further + calls > limit) {
			return undefined;
		}

		const bucket = this.#current();
		bucket.further += calls;
		return {
			release(unused) {
				// The bucket may count a later part of time by now.
				if (bucket.slot === slot) {
					bucket.further -= unused;
				}
			},
		};
	}

	#slot(): number {
		return Math.floor(this.#clock.nowMs() * buckets / this.#options.windowMs);
	}

	#current(): Bucket {
		const slot = this.#slot();
		const bucket = this.#buckets[slot % buckets]!;
		if (bucket.slot !== slot) {
			Object.assign(bucket, {slot, first: 0, further: 0});
		}

		return bucket;
	}
}
