/**
 * Start-time fair queueing over client accounts. Each request has a start tag: the larger of the virtual time and the
 * finish tag of its account's previous request. The lowest start tag is served first and becomes the virtual time, so
 * an account that was idle starts at the present and saves up no credit.
 */

export type FairQueueItem = {
	readonly id: string;
	readonly account: string;
	readonly weight: number;
	/** Work in tokens: prompt tokens that are not cached and expected output tokens. */
	readonly tokens: number;
};

type Entry<Item> = {readonly item: Item; readonly startTag: number; readonly order: number};

/** Queue of one engine. The bound of its length is the caller's, by `waitingAhead`. */
export class FairQueue<Item extends FairQueueItem> {
	readonly #entries = new Map<string, Entry<Item>>();
	readonly #finishTags = new Map<string, number>();
	#virtualTime = 0;
	#order = 0;
	#waitingTokens = 0;

	get size(): number {
		return this.#entries.size;
	}

	/** Tokens of work that wait. */
	get waitingTokens(): number {
		return this.#waitingTokens;
	}

	push(item: Item): void {
		const startTag = this.#nextStartTag(item.account);
		this.#finishTags.set(item.account, startTag + (item.tokens / item.weight));
		this.#entries.set(item.id, {item, startTag, order: this.#order++});
		this.#waitingTokens += item.tokens;
	}

	/** Takes out the request with the lowest start tag; equal tags are served in order of arrival. */
	pop(): Item | undefined {
		let first: Entry<Item> | undefined;
		for (const entry of this.#entries.values()) {
			first = !first || entry.startTag < first.startTag ? entry : first;
		}

		if (!first) {
			return undefined;
		}

		this.#virtualTime = first.startTag;
		this.#delete(first.item);
		return first.item;
	}

	/** Takes out a cancelled request and gives its account's tag back when it was the account's newest. */
	remove(id: string): Item | undefined {
		const entry = this.#entries.get(id);
		if (!entry) {
			return undefined;
		}

		const finishTag = entry.startTag + (entry.item.tokens / entry.item.weight);
		if (this.#finishTags.get(entry.item.account) === finishTag) {
			this.#finishTags.set(entry.item.account, entry.startTag);
		}

		this.#delete(entry.item);
		return entry.item;
	}

	/** Tokens that would be served before a new request of the account. */
	waitingAhead(account: string): number {
		const startTag = this.#nextStartTag(account);
		let tokens = 0;
		for (const entry of this.#entries.values()) {
			tokens += entry.startTag <= startTag ? entry.item.tokens : 0;
		}

		return tokens;
	}

	#nextStartTag(account: string): number {
		return Math.max(this.#virtualTime, this.#finishTags.get(account) ?? 0);
	}

	#delete(item: Item): void {
		this.#entries.delete(item.id);
		this.#waitingTokens -= item.tokens;
		if (this.#entries.size === 0) {
			// Nobody waits, so no tag of the past matters any more and the accounts' state is released.
			this.#waitingTokens = 0;
			this.#finishTags.clear();
			this.#virtualTime = 0;
		}
	}
}
