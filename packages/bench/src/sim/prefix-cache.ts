/**
 * The bounded prompt-prefix cache of a fake engine, with the cache events that tell of it: some events are lost, so what
 * is advertised differs from what is held.
 */
import type {Random} from '@hawthorncleat/core';

export class PrefixCache {
	readonly #held = new Map<string, number>();
	readonly #advertised = new Set<string>();
	#tokens = 0;

	constructor(private readonly capacityTokens: number, private readonly lostEvents: number, private readonly random: Random) {}

	get advertised(): string[] {
		return [...this.#advertised];
	}

	/** Tokens of the prefix that need no work. A hit makes the prefix the most recently used one. */
	lookUp(prefix: string): number {
		const tokens = this.#held.get(prefix);
		if (tokens === undefined) {
			return 0;
		}

		this.#held.delete(prefix);
		this.#held.set(prefix, tokens);
		return tokens;
	}

	insert(prefix: string, tokens: number): void {
		if (this.lookUp(prefix) > 0) {
			return;
		}

		this.#held.set(prefix, tokens);
		this.#tokens += tokens;
		this.#event(() => {
			this.#advertised.add(prefix);
		});
		this.#evict();
	}

	clear(): void {
		this.#held.clear();
		this.#advertised.clear();
		this.#tokens = 0;
	}

	#evict(): void {
		for (const [prefix, tokens] of this.#held) {
			if (this.#tokens <= this.capacityTokens) {
				return;
			}

			this.#held.delete(prefix);
			this.#tokens -= tokens;
			this.#event(() => {
				this.#advertised.delete(prefix);
			});
		}
	}

	#event(apply: () => void): void {
		if (this.random() >= this.lostEvents) {
			apply();
		}
	}
}
