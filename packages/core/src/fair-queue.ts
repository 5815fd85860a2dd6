/**
 * Start-time fair queueing over client accounts. Each account has a virtual start time, which advances by the cost of
 * what it was served divided by its weight; the account with the lowest start time is served next. An account that was
 * idle starts at the current virtual time, so it accumulates no credit.
 */

/** One waiting piece of work. */
export type QueuedWork<Item> = {
	readonly account: string;
	/** Share of the account relative to others; must be above 0. */
	readonly weight: number;
	/** Work in tokens. */
	readonly tokens: number;
	readonly item: Item;
};

type AccountState<Item> = {
	/** Virtual start time of the next piece of work. */
	start: number;
	readonly waiting: Array<QueuedWork<Item>>;
};

// Idle accounts that are still ahead of the virtual time are remembered; beyond this many the others are swept out.
const sweepThreshold = 64;

/** Waiting work of many accounts in fair order. */
export class FairQueue<Item> {
	readonly #accounts = new Map<string, AccountState<Item>>();
	#virtualTime = 0;
	#size = 0;
	#waitingTokens = 0;

	get size(): number {
		return this.#size;
	}

	/** Sum of the tokens of all waiting work. */
	get waitingTokens(): number {
		return this.#waitingTokens;
	}

	push(work: QueuedWork<Item>): void {
		const state = this.#openAccount(work.account);
		if (state.waiting.length === 0) {
			state.start = Math.max(state.start, this.#virtualTime);
		}

		state.waiting.push(work);
		this.#size += 1;
		this.#waitingTokens += work.tokens;
	}

	/** Takes the next work that `isEligible` accepts; work that it rejects keeps its place. */
	pop(isEligible: (item: Item) => boolean = () => true): Item | undefined {
		let best: {state: AccountState<Item>; index: number} | undefined;
		for (const state of this.#accounts.values()) {
			if (best && state.start >= best.state.start) {
				continue;
			}

			const index = state.waiting.findIndex(work => isEligible(work.item));
			if (index !== -1) {
				best = {state, index};
			}
		}

		return best && this.#serve(best.state, best.index);
	}

	/** Removes cancelled work, which costs its account nothing. Returns whether it was waiting. */
	remove(account: string, item: Item): boolean {
		const state = this.#accounts.get(account);
		const index = state?.waiting.findIndex(work => work.item === item) ?? -1;
		if (!state || index === -1) {
			return false;
		}

		this.#take(state, index);
		return true;
	}

	/** Charges an account for the difference between the estimated and the actual work of something it was served. */
	correct(account: string, weight: number, tokens: number): void {
		const state = this.#openAccount(account);
		state.start = Math.max(0, state.start + (tokens / weight));
	}

	/** Removes everything in no particular order. */
	clear(): Item[] {
		const items = [...this.#accounts.values()].flatMap(state => state.waiting.map(work => work.item));
		this.#accounts.clear();
		this.#size = 0;
		this.#waitingTokens = 0;
		return items;
	}

	#serve(state: AccountState<Item>, index: number): Item {
		const work = this.#take(state, index);
		this.#virtualTime = Math.max(this.#virtualTime, state.start);
		state.start += work.tokens / work.weight;
		this.#sweep();
		return work.item;
	}

	#take(state: AccountState<Item>, index: number): QueuedWork<Item> {
		const [work] = state.waiting.splice(index, 1);
		this.#size -= 1;
		this.#waitingTokens -= work!.tokens;
		return work!;
	}

	#openAccount(account: string): AccountState<Item> {
		const known = this.#accounts.get(account);
		if (known) {
			return known;
		}

		const state = {start: this.#virtualTime, waiting: []};
		this.#accounts.set(account, state);
		return state;
	}

	#sweep(): void {
		if (this.#accounts.size <= sweepThreshold) {
			return;
		}

		for (const [account, state] of this.#accounts) {
			if (state.waiting.length === 0 && state.start <= this.#virtualTime) {
				this.#accounts.delete(account);
			}
		}
	}
}
