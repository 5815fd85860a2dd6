/**
 * Start-time fair queueing over client accounts. Each account has a virtual start time, which advances by the tokens of its
 * served work divided by its weight. The account with the lowest start time is served next, and accounts with equal start
 * times in order of arrival. An account that was idle starts at the current virtual time, so it accumulates no credit. When
 * the queue is empty, all start times are reset. The priority orders only the work of one account: across accounts it would
 * let one account starve the others.
 */

/** One item of waiting work. */
export type QueuedWork<Item> = {
	readonly account: string;
	/** Share of the account relative to other accounts. It must be greater than 0. */
	readonly weight: number;
	/** Work in tokens: prompt tokens that are not cached and expected output tokens. */
	readonly tokens: number;
	/** Within an account, work with a higher priority is served first. The default is 0. */
	readonly priority?: number;
	readonly item: Item;
};

type QueueEntry<Item> = QueuedWork<Item> & {readonly order: number};

type AccountState<Item> = {
	/** Virtual start time of the next item. */
	start: number;
	/** In descending order of priority, then in order of arrival. */
	readonly waiting: Array<QueueEntry<Item>>;
};

type Candidate<Item> = {readonly state: AccountState<Item>; readonly index: number};

export type FairQueueOptions = {
	/** Maximum number of waiting tokens, which `hasCapacity` checks. */
	readonly maxTokens?: number;
};

// While work waits, idle accounts stay in memory, because their start time may be ahead of the virtual time. With more accounts than
// this, those whose start time the virtual time has reached are removed.
const maxTrackedAccounts = 64;

const priorityOf = ({priority}: {readonly priority?: number}): number => priority ?? 0;

const isServedBefore = <Item>(a: Candidate<Item>, b: Candidate<Item>): boolean => a.state.start === b.state.start
	? a.state.waiting[a.index]!.order < b.state.waiting[b.index]!.order
	: a.state.start < b.state.start;

/** A queue that serves the waiting work of many accounts in fair order. */
export class FairQueue<Item> {
	readonly #accounts = new Map<string, AccountState<Item>>();
	readonly #maxTokens: number;
	#virtualTime = 0;
	#order = 0;
	#size = 0;
	#waitingTokens = 0;

	constructor({maxTokens}: FairQueueOptions = {}) {
		this.#maxTokens = maxTokens ?? Number.POSITIVE_INFINITY;
	}

	get size(): number {
		return this.#size;
	}

	/** Sum of the tokens of all waiting work. */
	get waitingTokens(): number {
		return this.#waitingTokens;
	}

	/** Whether work of that many tokens may be added and wait. `push` does not check it, because some work is served immediately. */
	hasCapacity(tokens: number): boolean {
		return this.#waitingTokens + tokens <= this.#maxTokens;
	}

	push(work: QueuedWork<Item>): void {
		const state = this.#getOrCreateAccount(work.account);
		if (state.waiting.length === 0) {
			state.start = Math.max(state.start, this.#virtualTime);
		}

		const insertAt = state.waiting.findIndex(other => priorityOf(other) < priorityOf(work));
		state.waiting.splice(insertAt === -1 ? state.waiting.length : insertAt, 0, {...work, order: this.#order++});
		this.#size += 1;
		this.#waitingTokens += work.tokens;
	}

	/** Removes and returns the next item that `isEligible` accepts. Rejected items keep their positions. */
	pop(isEligible: (item: Item) => boolean = () => true): Item | undefined {
		let best: Candidate<Item> | undefined;
		for (const state of this.#accounts.values()) {
			if (best && state.start > best.state.start) {
				continue;
			}

			const candidate = {state, index: state.waiting.findIndex(work => isEligible(work.item))};
			if (candidate.index !== -1 && (!best || isServedBefore(candidate, best))) {
				best = candidate;
			}
		}

		return best && this.#serve(best.state, best.index);
	}

	/** Items that would be served before a new item of the account. */
	itemsAhead(account: string, priority = 0): Item[] {
		const ownState = this.#accounts.get(account);
		const ownAhead = ownState?.waiting.filter(work => priorityOf(work) >= priority) ?? [];
		const start = Math.max(this.#virtualTime, ownState?.start ?? 0)
			+ ownAhead.reduce((sum, {tokens, weight}) => sum + (tokens / weight), 0);
		const items = ownAhead.map(({item}) => item);
		for (const state of this.#accounts.values()) {
			if (state !== ownState) {
				items.push(...itemsStartingBy(state, start));
			}
		}

		return items;
	}

	/** Removes a cancelled item without a charge to its account. Returns whether it was waiting. */
	remove(account: string, item: Item): boolean {
		const state = this.#accounts.get(account);
		const index = state?.waiting.findIndex(work => work.item === item) ?? -1;
		if (!state || index === -1) {
			return false;
		}

		this.#removeAt(state, index);
		this.#removeIdleAccounts();
		return true;
	}

	/** Charges an account for the actual work of a served item less its estimated work. The difference may be negative. */
	adjustCharge(account: string, weight: number, tokens: number): void {
		const state = this.#getOrCreateAccount(account);
		state.start = Math.max(0, state.start + (tokens / weight));
	}

	/** Removes all items and returns them in no particular order. */
	clear(): Item[] {
		const items = [...this.#accounts.values()].flatMap(state => state.waiting.map(work => work.item));
		this.#accounts.clear();
		this.#size = 0;
		this.#waitingTokens = 0;
		return items;
	}

	#serve(state: AccountState<Item>, index: number): Item {
		const work = this.#removeAt(state, index);
		this.#virtualTime = Math.max(this.#virtualTime, state.start);
		state.start += work.tokens / work.weight;
		this.#removeIdleAccounts();
		return work.item;
	}

	#removeAt(state: AccountState<Item>, index: number): QueuedWork<Item> {
		const [work] = state.waiting.splice(index, 1);
		this.#size -= 1;
		// Fractional tokens leave a rounding error in the sum, but an empty queue must have 0 waiting tokens.
		this.#waitingTokens = this.#size === 0 ? 0 : this.#waitingTokens - work!.tokens;
		return work!;
	}

	#getOrCreateAccount(account: string): AccountState<Item> {
		const existing = this.#accounts.get(account);
		if (existing) {
			return existing;
		}

		const state = {start: this.#virtualTime, waiting: []};
		this.#accounts.set(account, state);
		return state;
	}

	#removeIdleAccounts(): void {
		if (this.#size === 0) {
			// No account waits, so past service has delayed no other account and must not delay this one later.
			this.#accounts.clear();
			this.#virtualTime = 0;
		}

		if (this.#accounts.size <= maxTrackedAccounts) {
			return;
		}

		for (const [account, state] of this.#accounts) {
			if (state.waiting.length === 0 && state.start <= this.#virtualTime) {
				this.#accounts.delete(account);
			}
		}
	}
}

/** Items of one account whose virtual start time is at most `limit`. */
const itemsStartingBy = <Item>({start, waiting}: AccountState<Item>, limit: number): Item[] => {
	const items: Item[] = [];
	let next = start;
	for (const {item, tokens, weight} of waiting) {
		if (next > limit) {
			break;
		}

		items.push(item);
		next += tokens / weight;
	}

	return items;
};
