/**
 * Bounded cache of prompt prefixes, divided into blocks. It evicts the least recently used block first and emits an event
 * for each change.
 */
import type {PrefixBlock} from './tokens.js';

/** Blocks that the cache has stored or removed. */
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

	/** Counts the leading blocks that are cached, and marks them as most recently used. */
	countCached(blocks: readonly PrefixBlock[]): number {
		const firstMissing = blocks.findIndex(block => !this.#blocks.has(block.hash));
		const count = firstMissing === -1 ? blocks.length : firstMissing;
		// A block is useless without those before it, so the first block is touched last and evicted last.
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

		this.#emit('stored', added);
		this.#emit('removed', this.#evict());
	}

	clear(): void {
		const removed = [...this.#blocks.values()];
		this.#blocks.clear();
		this.#emit('removed', removed);
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

	#emit(kind: CacheEvent['kind'], blocks: readonly PrefixBlock[]): void {
		if (blocks.length > 0) {
			this.#onEvent({kind, blocks});
		}
	}
}
