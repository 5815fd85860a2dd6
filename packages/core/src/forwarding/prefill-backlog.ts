/**
 * Estimate of the prefill backlog of an engine, in milliseconds of its work. Every entry receives notice of all work that any entry sends and
 * subtracts elapsed time, most urgent work first, so that engines need not report their queues. When a prefill
 * completes, all work that was sent before it and is at least as urgent has completed too.
 */

/** Number of priority levels of an engine's queue; level 0 is served first. */
export const priorityLevelCount = 10;

/** Time constant of the average arrival rate; a burst of one kind of requests lasts about as long. */
const rateDecayMs = 2000;
/** Upper bound of the fraction of engine time assumed for more urgent work; at 1, less urgent work would never be expected to complete. */
const maxUrgentFraction = 0.55;

/** A prefill that this process has sent and whose completion it will observe. */
export type TrackedPrefill = {
	readonly level: number;
	/** Total work of each level sent up to and including this prefill. */
	readonly sentMs: Float64Array;
};

/** Pending prefill work of one engine, by priority level. */
export class PrefillBacklog {
	readonly #pendingMs = new Float64Array(priorityLevelCount);
	readonly #totalSentMs = new Float64Array(priorityLevelCount);
	/** Work that arrives per millisecond. */
	readonly #arrivalRates = new Float64Array(priorityLevelCount);
	#updatedMs: number;

	constructor(nowMs: number) {
		this.#updatedMs = nowMs;
	}

	/** Pending work ahead of a new request of this level. */
	waitMs(level: number, nowMs: number): number {
		this.#drain(nowMs);
		let sum = 0;
		for (let index = 0; index <= level; index += 1) {
			sum += this.#pendingMs[index]!;
		}

		return sum;
	}

	/** Expected time until a new prefill completes: the work ahead of it, its own work, and the more urgent work that arrives meanwhile. */
	completionMs(level: number, ownMs: number, nowMs: number): number {
		const sum = this.waitMs(level, nowMs) + ownMs;
		let urgentFraction = 0;
		for (let index = 0; index < level; index += 1) {
			urgentFraction += this.#arrivalRates[index]!;
		}

		return sum / (1 - Math.min(maxUrgentFraction, urgentFraction));
	}

	/** Adds work that another entry has sent. */
	add(level: number, ms: number, nowMs: number): void {
		this.#drain(nowMs);
		this.#pendingMs[level]! += ms;
		this.#totalSentMs[level]! += ms;
		this.#arrivalRates[level]! += ms / rateDecayMs;
	}

	/** Adds work that this entry sends. */
	track(level: number, ms: number, nowMs: number): TrackedPrefill {
		this.add(level, ms, nowMs);
		return {level, sentMs: Float64Array.from(this.#totalSentMs)};
	}

	/** Corrects the estimate when a tracked prefill has completed. */
	complete({level, sentMs}: TrackedPrefill, nowMs: number): void {
		this.#drain(nowMs);
		for (let index = 0; index <= level; index += 1) {
			this.#pendingMs[index] = Math.min(this.#pendingMs[index]!, this.#totalSentMs[index]! - sentMs[index]!);
		}
	}

	#drain(nowMs: number): void {
		let elapsed = Math.max(0, nowMs - this.#updatedMs);
		this.#updatedMs = Math.max(nowMs, this.#updatedMs);
		const retained = Math.exp(-elapsed / rateDecayMs);
		for (let index = 0; index < priorityLevelCount; index += 1) {
			this.#arrivalRates[index]! *= retained;
			const done = Math.min(elapsed, this.#pendingMs[index]!);
			this.#pendingMs[index]! -= done;
			elapsed -= done;
		}
	}
}
