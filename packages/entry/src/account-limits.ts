/**
 * Rate limit and concurrency limit of the client accounts at this entry. State is kept only for active accounts.
 */
import {TokenBucket, type Clock} from '@hawthorncleat/core';
import {callerError} from './caller-errors.js';
import type {Caller} from './authorize.js';

const sweepIntervalMs = 10_000;
/** Longer than this, and a caller would not follow a raised limit. */
const maxRetryAfterMs = 60_000;

type AccountState = {bucket: TokenBucket | undefined; running: number};

/** A place of one request under the limits of its account. */
export type Admission = {
	/** Ends the request; tokens that were reserved and not used are returned. */
	release(unusedTokens: number): void;
};

/** Counts the running requests and the tokens of each account. */
export class AccountLimits {
	readonly #clock: Clock;
	readonly #liveEntries: () => number;
	readonly #retryAfterMs: number;
	readonly #accounts = new Map<string, AccountState>();
	#sweptMs = 0;

	constructor(options: {readonly clock: Clock; readonly liveEntries: () => number; readonly retryAfterMs: number}) {
		this.#clock = options.clock;
		this.#liveEntries = options.liveEntries;
		this.#retryAfterMs = options.retryAfterMs;
	}

	get activeAccounts(): number {
		return this.#accounts.size;
	}

	/** Admits a request or refuses it with the time to come back. */
	admit({name, account}: Caller, tokens: number): Admission {
		if (!account) {
			return {release() {/* Open routes have no account to limit. */}};
		}

		this.#sweep();
		const state = this.#stateOf(name, account.tokensPerSecond);
		if (account.maxConcurrent !== undefined && state.running >= account.maxConcurrent) {
			const message = 'the account has too many requests running';
			throw callerError('account-rate-limited', message, {retryAfterMs: this.#retryAfterMs});
		}

		const waitMs = state.bucket?.takeOrWaitMs(tokens) ?? 0;
		if (waitMs > 0) {
			const message = 'the account has used its tokens per second';
			throw callerError('account-rate-limited', message, {retryAfterMs: Math.min(waitMs, maxRetryAfterMs)});
		}

		return this.#occupy(state);
	}

	#occupy(state: AccountState): Admission {
		state.running += 1;
		let isReleased = false;
		return {
			release(unusedTokens) {
				if (!isReleased) {
					isReleased = true;
					state.running -= 1;
					state.bucket?.refund(Math.max(0, unusedTokens));
				}
			},
		};
	}

	#stateOf(name: string, tokensPerSecond: number | undefined): AccountState {
		const state = this.#accounts.get(name) ?? {bucket: undefined, running: 0};
		this.#accounts.set(name, state);
		if (tokensPerSecond === undefined) {
			state.bucket = undefined;
			return state;
		}

		const share = tokensPerSecond / Math.max(1, this.#liveEntries());
		state.bucket ??= new TokenBucket(share, this.#clock);
		state.bucket.setRate(share);
		return state;
	}

	#sweep(): void {
		const nowMs = this.#clock.nowMs();
		if (nowMs - this.#sweptMs < sweepIntervalMs) {
			return;
		}

		this.#sweptMs = nowMs;
		for (const [name, state] of this.#accounts) {
			const isFull = state.bucket?.isFull ?? true;
			if (state.running === 0 && isFull) {
				this.#accounts.delete(name);
			}
		}
	}
}
