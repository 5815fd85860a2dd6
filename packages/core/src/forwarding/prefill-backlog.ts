/**
 * Estimate of the prefill work that waits at an engine. Every entry hears of all work that is sent and lets the work run
 * off at the engine's pace, most urgent first, so that no report of the engine is needed. The end of a prefill shows that
 * what was sent before it and is at least as urgent has ended, too.
 */

/** Priorities of an engine's queue; 0 is served first. */
export const priorityLevelCount = 10;

/** Time over which the rate of arriving work is averaged; a burst of one kind lasts about as long. */
const rateMs = 2000;
/** More urgent work is never taken to need more of the engine than this; beyond, nothing less urgent would be expected to run. */
const maxUrgentPart = 0.55;

/** A piece of work that this process has sent and whose end it will see. */
export type TrackedPrefill = {
	readonly level: number;
	/** Work of each level that had been sent by then, this piece included. */
	readonly sentMs: Float64Array;
};

/** Waiting work of one engine, by priority. */
export class PrefillBacklog {
	readonly #waiting = new Float64Array(priorityLevelCount);
	/** All work ever sent. */
	readonly #sent = new Float64Array(priorityLevelCount);
	/** Work that arrives in a millisecond. */
	readonly #rates = new Float64Array(priorityLevelCount);
	#updatedMs: number;

	constructor(nowMs: number) {
		this.#updatedMs = nowMs;
	}

	/** Work before a new request of this priority. */
	waitMs(level: number, nowMs: number): number {
		this.#runOff(nowMs);
		let sum = 0;
		for (let index = 0; index <= level; index += 1) {
			sum += this.#waiting[index]!;
		}

		return sum;
	}

	/** Expected time until a new piece of work ends: what waits, the piece itself, and the more urgent work that comes meanwhile. */
	completionMs(level: number, ownMs: number, nowMs: number): number {
		const sum = this.waitMs(level, nowMs) + ownMs;
		let urgentPart = 0;
		for (let index = 0; index < level; index += 1) {
			urgentPart += this.#rates[index]!;
		}

		return sum / (1 - Math.min(maxUrgentPart, urgentPart));
	}

	/** Work that another entry has sent. */
	add(level: number, ms: number, nowMs: number): void {
		this.#runOff(nowMs);
		this.#waiting[level]! += ms;
		this.#sent[level]! += ms;
		this.#rates[level]! += ms / rateMs;
	}

	/** Work that this entry sends. */
	track(level: number, ms: number, nowMs: number): TrackedPrefill {
		this.add(level, ms, nowMs);
		return {level, sentMs: Float64Array.from(this.#sent)};
	}

	/** Corrects the estimate when tracked work has ended. */
	complete({level, sentMs}: TrackedPrefill, nowMs: number): void {
		this.#runOff(nowMs);
		for (let index = 0; index <= level; index += 1) {
			this.#waiting[index] = Math.min(this.#waiting[index]!, this.#sent[index]! - sentMs[index]!);
		}
	}

	#runOff(nowMs: number): void {
		let elapsed = Math.max(0, nowMs - this.#updatedMs);
		this.#updatedMs = Math.max(nowMs, this.#updatedMs);
		const kept = Math.exp(-elapsed / rateMs);
		for (let index = 0; index < priorityLevelCount; index += 1) {
			this.#rates[index]! *= kept;
			const done = Math.min(elapsed, this.#waiting[index]!);
			this.#waiting[index]! -= done;
			elapsed -= done;
		}
	}
}
