/**
 * Estimates which prompt segments an engine holds in its prefix cache, from the prompts that were sent there.
 */
import type {PromptSegment} from './deployment.js';

/** Segments in one engine's cache; the least recently used ones are evicted first. */
export class SegmentCache {
	readonly #maxTokens: number;
	readonly #segments = new Map<string, number>();
	#tokens = 0;

	constructor(maxTokens: number) {
		this.#maxTokens = maxTokens;
	}

	/** Tokens at the start of a prompt that need no prefill. A segment counts only if all segments before it are cached too. */
	cachedTokens(segments: readonly PromptSegment[]): number {
		let cached = 0;
		for (const {id, tokens} of segments) {
			if (!this.#segments.has(id)) {
				break;
			}

			cached += tokens;
		}

		return cached;
	}

	add(segments: readonly PromptSegment[]): void {
		for (const {id, tokens} of segments) {
			this.#tokens -= this.#segments.get(id) ?? 0;
			this.#segments.delete(id);
			this.#segments.set(id, tokens);
			this.#tokens += tokens;
		}

		for (const [id, tokens] of this.#segments) {
			if (this.#tokens <= this.#maxTokens) {
				return;
			}

			this.#segments.delete(id);
			this.#tokens -= tokens;
		}
	}

	clear(): void {
		this.#segments.clear();
		this.#tokens = 0;
	}
}
