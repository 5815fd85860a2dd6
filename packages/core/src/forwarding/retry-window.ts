/**
 * Retry budget: limits the calls beyond the first one of each request within a sliding window. Entries share the limit of the fleet without
 * coordination: each uses an equal fraction of the fixed allowance and a ratio of its own first calls.
 */
import type {Clock} from '../clock.js';
import {SlidingSums} from './sliding-sums.js';

export type RetryLimits = {
	/** Extra calls allowed for each request. */
	readonly ratio: number;
	/** Extra calls allowed to the whole fleet in each window regardless of the number of requests. */
	readonly allowance: number;
};

export type RetryWindowOptions = {
	readonly windowMs: number;
	/** May return other limits after a reload; the counts are kept. */
	readonly limits: () => RetryLimits;
	/** Number of entries that share the allowance. */
	readonly entries: () => number;
};

/** Extra calls reserved for an attempt. */
export type RetryReservation = {
	/** Returns reserved calls that did not reach an endpoint. */
	release(calls: number): void;
};

/** Figures that decide a reservation. */
export type RetryWindowState = {
	/** First calls and extra calls within the window. */
	readonly firstCalls: number;
	readonly extraCalls: number;
	/** Extra calls that this entry may make within the window. */
	readonly limit: number;
	/** Number of entries that share the allowance. */
	readonly entries: number;
};

/** Fraction of the limit that is used; the remainder covers entries that have not discovered each other yet. */
const usedLimitFraction = 0.7;
/**
 * Fraction of the allowance in the first window after the start. The previous process may have used its whole allowance just before, and 0.7 of
 * the limit twice would exceed it.
 */
const firstWindowAllowanceFraction = 0.4;
const bucketCount = 20;

/** Calls to one service within the last window. */
export class RetryWindow {
	readonly #clock: Clock;
	readonly #options: RetryWindowOptions;
	readonly #startMs: number;
	readonly #calls: SlidingSums<'extraCalls' | 'firstCalls'>;

	constructor(clock: Clock, options: RetryWindowOptions) {
		this.#clock = clock;
		this.#options = options;
		this.#startMs = clock.nowMs();
		this.#calls = new SlidingSums({windowMs: options.windowMs, buckets: bucketCount, names: ['firstCalls', 'extraCalls']});
	}

	recordFirstCall(): void {
		this.#calls.add(this.#clock.nowMs(), {firstCalls: 1});
	}

	get state(): RetryWindowState {
		const {firstCalls, extraCalls} = this.#calls.totals(this.#clock.nowMs());
		const {limits, windowMs} = this.#options;
		const {ratio, allowance} = limits();
		const entries = Math.max(1, this.#options.entries());
		const availableAllowance = this.#clock.nowMs() - this.#startMs < windowMs ? allowance * firstWindowAllowanceFraction : allowance;
		const limit = ((firstCalls * ratio) + (availableAllowance / entries)) * usedLimitFraction;
		return {
			firstCalls, extraCalls, limit, entries,
		};
	}

	/** Reserves extra calls; undefined when the window does not allow that many. */
	reserve(calls: number): RetryReservation | undefined {
		const {extraCalls, limit} = this.state;
		if (calls > 0 && extraCalls + calls > limit) {
			return undefined;
		}

		const takeBack = this.#calls.add(this.#clock.nowMs(), {extraCalls: calls});
		return {
			release(unused) {
				takeBack({extraCalls: unused});
			},
		};
	}
}
