/**
 * Rate limit of one client account at one entry.
 */
import type {Clock} from './clock.js';

const burstSeconds = 2;

/** A token bucket that may be overdrawn by one request, so that a request larger than the burst can run at all. */
export class TokenBucket {
	readonly #clock: Clock;
	#perSecond: number;
	#level: number;
	#updatedMs: number;

	constructor(perSecond: number, clock: Clock) {
		this.#clock = clock;
		this.#perSecond = perSecond;
		this.#level = perSecond * burstSeconds;
		this.#updatedMs = clock.nowMs();
	}

	/** Whether nothing would be lost by forgetting this bucket. */
	get isFull(): boolean {
		this.#refill();
		return this.#level >= this.#perSecond * burstSeconds;
	}

	/** Follows a change of the limit or of the number of live entries. */
	setRate(perSecond: number): void {
		this.#refill();
		this.#perSecond = perSecond;
		this.#level = Math.min(this.#level, perSecond * burstSeconds);
	}

	/** Takes `tokens` and returns 0, or takes nothing and returns the time after which they are there. */
	takeOrWaitMs(tokens: number): number {
		this.#refill();
		const needed = Math.min(tokens, this.#perSecond * burstSeconds);
		if (this.#level >= needed) {
			this.#level -= tokens;
			return 0;
		}

		return Math.ceil((needed - this.#level) / this.#perSecond * 1000);
	}

	/** Returns tokens that a request took and did not use. */
	refund(tokens: number): void {
		this.#refill();
		this.#level = Math.min(this.#level + tokens, this.#perSecond * burstSeconds);
	}

	#refill(): void {
		const nowMs = this.#clock.nowMs();
		const added = (nowMs - this.#updatedMs) / 1000 * this.#perSecond;
		this.#level = Math.min(this.#level + added, this.#perSecond * burstSeconds);
		this.#updatedMs = nowMs;
	}
}
