/**
 * Bounded cache of prompt prefixes in blocks, least recently used block first out.
 */
import type {PrefixBlock} from './tokens.js';

/** A change of the cache's content. */
export type CacheEvent = {readonly kind: 'stored' | 'removed'; readonly blocks: readonly PrefixBlock[]};

export class PrefixCache {
	readonly #blocks = new Map<string, PrefixBlock>();
	readonly #capacity: number;
	readonly #onEvent: (event: CacheEvent) => void;

	constructor(capacity: number, onEvent: (event: CacheEvent) => void) {
		this.#capacity = capacity;
		this.#onEvent = onEvent;
	}

	get size(): number {
		return this.#blocks.size;
	}

	/** Number of leading blocks that are cached. They become the most recently used ones. */
	countCached(blocks: readonly PrefixBlock[]): number {
		const missing = blocks.findIndex(block => !this.#blocks.has(block.hash));
		const count = missing === -1 ? blocks.length : missing;
		// The first block is touched last, since later blocks are useless without it.
		for (const block of blocks.slice(0, count).toReversed()) {
			this.#touch(block);
		}

		return count;
	}

	store(blocks: readonly PrefixBlock[]): void {
		const added = blocks.filter(block => !this.#blocks.has(block.hash));
		for (const block of blocks.toReversed()) {
			this.#touch(block);
		}

		this.#report('stored', added);
		this.#report('removed', this.#evict());
	}

	clear(): void {
		const removed = [...this.#blocks.values()];
		this.#blocks.clear();
		this.#report('removed', removed);
	}

	#touch(block: PrefixBlock): void {
		this.#blocks.delete(block.hash);
		this.#blocks.set(block.hash, block);
	}

	#evict(): PrefixBlock[] {
		const removed = [...this.#blocks.values()].slice(0, Math.max(0, this.#blocks.size - this.#capacity));
		for (const block of removed) {
			this.#blocks.delete(block.hash);
		}

		return removed;
	}

	#report(kind: CacheEvent['kind'], blocks: readonly PrefixBlock[]): void {
		if (blocks.length > 0) {
			this.#onEvent({kind, blocks});
		}
	}
}
