/**
 * Notices that this process was paused (I12). What was sent to a paused agent may be seconds old when it is read: the
 * host may have begun to leave, and the entry may have sent the request elsewhere.
 */
import type {Clock} from '@hawthorncleat/core';

/**
 * A gap in the process's own clock from which on it counts as paused. A host list that is 2 s late and a pause of this
 * length stay within the 5 s in which a leaving endpoint may still get work.
 */
export const pauseLimitMs = 2000;
const checkIntervalMs = 100;

/** Compares the clock with the last time that this process ran. */
export class PauseGuard {
	readonly #timer: NodeJS.Timeout;
	#lastMs: number;

	constructor(private readonly clock: Clock, private readonly onPaused: (gapMs: number) => void) {
		this.#lastMs = clock.nowMs();
		this.#timer = setInterval(this.check, checkIntervalMs);
	}

	/** Called before work is taken, because input may be read before the timers run. */
	readonly check = (): void => {
		const nowMs = this.clock.nowMs();
		const gapMs = nowMs - this.#lastMs;
		this.#lastMs = nowMs;
		if (gapMs > pauseLimitMs) {
			this.onPaused(gapMs);
		}
	};

	close(): void {
		clearInterval(this.#timer);
	}
}
