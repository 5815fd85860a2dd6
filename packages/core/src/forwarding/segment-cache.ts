/**
 * Which parts of prompts an engine is expected to hold in its prefix cache, judged by the prompts that were sent there.
 */
import type {PromptSegment} from './deployment.js';

/** Parts of one engine's cache; the least recently used ones yield first. */
export class SegmentCache {
	readonly #maxTokens: number;
	readonly #parts = new Map<string, number>();
	#tokens = 0;

	constructor(maxTokens: number) {
		this.#maxTokens = maxTokens;
	}

	/** Tokens at the start of a prompt that need no prefill. A part counts only if all parts before it are held, too. */
	cachedTokens(parts: readonly PromptSegment[]): number {
		let cached = 0;
		for (const {id, tokens} of parts) {
			if (!this.#parts.has(id)) {
				break;
			}

			cached += tokens;
		}

		return cached;
	}

	add(parts: readonly PromptSegment[]): void {
		for (const {id, tokens} of parts) {
			this.#tokens -= this.#parts.get(id) ?? 0;
			this.#parts.delete(id);
			this.#parts.set(id, tokens);
			this.#tokens += tokens;
		}

		for (const [id, tokens] of this.#parts) {
			if (this.#tokens <= this.#maxTokens) {
				return;
			}

			this.#parts.delete(id);
			this.#tokens -= tokens;
		}
	}

	clear(): void {
		this.#parts.clear();
		this.#tokens = 0;
	}
}
