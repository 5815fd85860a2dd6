/**
 * Estimate of the prefill work that waits at an engine. Every entry hears of all work that is sent and lets the work run
 * off at the engine's pace, most urgent first, so that no report of the engine is needed. The end of a prefill corrects
 * what the assumed pace got wrong.
 */

/** Priorities of an engine's queue; 0 is served first. */
export const priorityLevels = 10;

/** A piece of work that this process has sent and whose end it will see. */
export type TrackedWork = {readonly level: number; readonly ms: number; readonly sentMs: number};

/** Waiting work of one engine, by priority. */
export class PrefillBacklog {
	readonly #levels = new Float64Array(priorityLevels);
	#updatedMs: number;

	constructor(nowMs: number) {
		this.#updatedMs = nowMs;
	}

	/** Work before a new request of this priority. */
	waitMs(level: number, nowMs: number): number {
		this.#runOff(nowMs);
		let sum = 0;
		for (let index = 0; index <= level; index += 1) {
			sum += this.#levels[index]!;
		}

		return sum;
	}

	/** All waiting work. */
	totalMs(nowMs: number): number {
		return this.waitMs(priorityLevels - 1, nowMs);
	}

	/** Work that another entry has sent. */
	add(level: number, ms: number, nowMs: number): void {
		this.#runOff(nowMs);
		this.#levels[level]! += ms;
	}

	/** Work that this entry sends. */
	track(level: number, ms: number, nowMs: number): TrackedWork {
		this.add(level, ms, nowMs);
		return {level, ms, sentMs: nowMs};
	}

	/** Corrects the estimate when tracked work has ended: what was at least as urgent and older has ended, too. */
	settle({level, ms}: TrackedWork, nowMs: number): void {
		this.#runOff(nowMs);
		const left = this.#levels[level]!;
		// An end that comes while its own work is still counted shows that the pace was assumed too slow.
		this.#levels[level] = Math.max(0, left - (Math.min(left, ms) / 2));
	}

	/** Forgets everything, for an engine that has started anew. */
	clear(): void {
		this.#levels.fill(0);
	}

	#runOff(nowMs: number): void {
		let elapsed = Math.max(0, nowMs - this.#updatedMs);
		this.#updatedMs = Math.max(nowMs, this.#updatedMs);
		for (let index = 0; index < priorityLevels && elapsed > 0; index += 1) {
			const done = Math.min(elapsed, this.#levels[index]!);
			this.#levels[index]! -= done;
			elapsed -= done;
		}
	}
}
