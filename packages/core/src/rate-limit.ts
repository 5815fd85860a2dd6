/**
 * Rate limit of one client account at one entry, in tokens per second.
 */
import type {Clock} from './clock.js';

const burstSeconds = 2;

/** A token bucket that one request may overdraw. Otherwise a request larger than the burst could never run. */
export class TokenBucket {
	readonly #clock: Clock;
	#tokensPerSecond: number;
	#availableTokens: number;
	#updatedMs: number;

	constructor(tokensPerSecond: number, clock: Clock) {
		this.#clock = clock;
		this.#tokensPerSecond = tokensPerSecond;
		this.#availableTokens = tokensPerSecond * burstSeconds;
		this.#updatedMs = clock.nowMs();
	}

	/** Whether the bucket is in the state of a new one, so that it need not stay in memory. */
	get isFull(): boolean {
		this.#refill();
		return this.#availableTokens >= this.#tokensPerSecond * burstSeconds;
	}

	/** Sets a new rate, after a change of the account's limit or of the number of live entries. */
	setRate(tokensPerSecond: number): void {
		this.#refill();
		this.#tokensPerSecond = tokensPerSecond;
		this.#availableTokens = Math.min(this.#availableTokens, tokensPerSecond * burstSeconds);
	}

	/** Takes the tokens and returns 0. If too few are available, takes none and returns the time in ms until there are enough. */
	takeOrWaitMs(tokens: number): number {
		this.#refill();
		const needed = Math.min(tokens, this.#tokensPerSecond * burstSeconds);
		if (this.#availableTokens >= needed) {
			this.#availableTokens -= tokens;
			return 0;
		}

		return Math.ceil((needed - this.#availableTokens) / this.#tokensPerSecond * 1000);
	}

	/** Puts back tokens that a request took and did not use. */
	refund(tokens: number): void {
		this.#refill();
		this.#availableTokens = Math.min(this.#availableTokens + tokens, this.#tokensPerSecond * burstSeconds);
	}

	#refill(): void {
		const nowMs = this.#clock.nowMs();
		const added = (nowMs - this.#updatedMs) / 1000 * this.#tokensPerSecond;
		this.#availableTokens = Math.min(this.#availableTokens + added, this.#tokensPerSecond * burstSeconds);
		this.#updatedMs = nowMs;
	}
}
