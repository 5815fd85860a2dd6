/**
 * Start-time fair queueing over client accounts. Each account has a virtual start time, which advances by the cost of
 * what it was served divided by its weight; the account with the lowest start time is served next, and equal ones in
 * order of arrival. An account that was idle starts at the current virtual time, so it accumulates no credit. When
 * nothing waits any more, all start anew. The priority orders the work of one account only: across accounts it would let
 * one account starve the others.
 */

/** One waiting piece of work. */
export type QueuedWork<Item> = {
	readonly account: string;
	/** Share of the account relative to others; must be above 0. */
	readonly weight: number;
	/** Work in tokens: prompt tokens that are not cached and expected output tokens. */
	readonly tokens: number;
	/** Higher is served first within the account; 0 if left out. */
	readonly priority?: number;
	readonly item: Item;
};

type Waiting<Item> = QueuedWork<Item> & {readonly order: number};

type AccountState<Item> = {
	/** Virtual start time of the next piece of work. */
	start: number;
	/** By falling priority, then by arrival. */
	readonly waiting: Array<Waiting<Item>>;
};

type Head<Item> = {readonly state: AccountState<Item>; readonly index: number};

export type FairQueueOptions = {
	/** Tokens that may wait, for `hasRoom`. */
	readonly maxTokens?: number;
};

// While others wait, idle accounts ahead of the virtual time are remembered; beyond this many the rest is swept out.
const sweepThreshold = 64;

const priorityOf = ({priority}: {readonly priority?: number}): number => priority ?? 0;

const isBefore = <Item>(a: Head<Item>, b: Head<Item>): boolean => a.state.start === b.state.start
	? a.state.waiting[a.index]!.order < b.state.waiting[b.index]!.order
	: a.state.start < b.state.start;

/** Waiting work of many accounts in fair order. */
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

	/** Whether more work may wait. `push` does not check it, because work that is served at once only passes through. */
	hasCapacity(tokens: number): boolean {
		return this.#waitingTokens + tokens <= this.#maxTokens;
	}

	push(work: QueuedWork<Item>): void {
		const state = this.#openAccount(work.account);
		if (state.waiting.length === 0) {
			state.start = Math.max(state.start, this.#virtualTime);
		}

		const after = state.waiting.findIndex(other => priorityOf(other) < priorityOf(work));
		state.waiting.splice(after === -1 ? state.waiting.length : after, 0, {...work, order: this.#order++});
		this.#size += 1;
		this.#waitingTokens += work.tokens;
	}

	/** Takes the next work that `isEligible` accepts; work that it rejects keeps its place. */
	pop(isEligible: (item: Item) => boolean = () => true): Item | undefined {
		let best: Head<Item> | undefined;
		for (const state of this.#accounts.values()) {
			if (best && state.start > best.state.start) {
				continue;
			}

			const head = {state, index: state.waiting.findIndex(work => isEligible(work.item))};
			if (head.index !== -1 && (!best || isBefore(head, best))) {
				best = head;
			}
		}

		return best && this.#serve(best.state, best.index);
	}

	/** Work that would be served before new work of the account. */
	itemsAhead(account: string, priority = 0): Item[] {
		const own = this.#accounts.get(account);
		const ownAhead = own?.waiting.filter(work => priorityOf(work) >= priority) ?? [];
		const start = Math.max(this.#virtualTime, own?.start ?? 0)
			+ ownAhead.reduce((sum, {tokens, weight}) => sum + (tokens / weight), 0);
		const items = ownAhead.map(({item}) => item);
		for (const state of this.#accounts.values()) {
			if (state !== own) {
				items.push(...startingBy(state, start));
			}
		}

		return items;
	}

	/** Removes cancelled work, which costs its account nothing. Returns whether it was waiting. */
	remove(account: string, item: Item): boolean {
		const state = this.#accounts.get(account);
		const index = state?.waiting.findIndex(work => work.item === item) ?? -1;
		if (!state || index === -1) {
			return false;
		}

		this.#take(state, index);
		this.#sweep();
		return true;
	}

	/** Charges an account for the difference between the estimated and the actual work of something it was served. */
	adjustCharge(account: string, weight: number, tokens: number): void {
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
		// Sums of fractions leave a rest, and an empty queue has to read as one.
		this.#waitingTokens = this.#size === 0 ? 0 : this.#waitingTokens - work!.tokens;
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
		if (this.#size === 0) {
			// Nobody waits, so that what was served before was at nobody's cost and does not delay an account later.
			this.#accounts.clear();
			this.#virtualTime = 0;
		}

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

/** Work of one account that starts at that virtual time or before. */
const startingBy = <Item>({start, waiting}: AccountState<Item>, limit: number): Item[] => {
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
