/**
 * The prompt prefixes that the engine's cache holds, as far as its events tell. Load reports have room for a few of them:
 * first those that later prompts began with, then the ends of the prompts that were stored last.
 */
import {namePrefixes, prefixName} from '@hawthorncleat/core';
import type {CacheEvent} from '@hawthorncleat/schema';

/**
 * Blocks that are remembered. A prompt is hashed at each of their lengths, so the limit also bounds the time that each
 * prompt costs.
 */
const maxBlocks = 512;
/** The schema's limit of prefixes in a report. */
const maxReported = 64;
/** Quotation marks and comma around a prefix in a report. */
const punctuationBytes = 3;

type Block = {readonly characters: number; readonly isEnd: boolean};

/** Cached prefixes of one engine. */
export class CachedPrefixes {
	/** By name, oldest first. */
	readonly #blocks = new Map<string, Block>();
	/** Names of the blocks at which later prompts left the cached ones, least recently used first. */
	readonly #reused = new Set<string>();

	/** Takes in an event of the engine's cache. */
	apply({kind, blocks}: CacheEvent): void {
		for (const [index, {hash, characters}] of blocks.entries()) {
			const name = prefixName(characters, hash);
			this.#forget(name);
			if (kind === 'stored') {
				this.#blocks.set(name, {characters, isEnd: index === blocks.length - 1});
			}
		}

		for (const name of [...this.#blocks.keys()].slice(0, Math.max(0, this.#blocks.size - maxBlocks))) {
			this.#forget(name);
		}
	}

	/** Notes the longest cached prefix with which a new prompt begins. */
	notePrompt(prompt: string): void {
		const lengths = [...new Set([...this.#blocks.values()].map(({characters}) => characters))].toSorted((a, b) => a - b);
		const longest = namePrefixes(prompt, lengths).findLast(name => this.#blocks.has(name));
		if (longest !== undefined) {
			this.#reused.delete(longest);
			this.#reused.add(longest);
		}
	}

	/** Forgets everything, when the engine has or may have. */
	clear(): void {
		this.#blocks.clear();
		this.#reused.clear();
	}

	/** The most useful prefixes that fit into a number of bytes of a report. */
	list(maxBytes: number): string[] {
		const ends = [...this.#blocks].filter(([, {isEnd}]) => isEnd).map(([name]) => name);
		const names = new Set([...[...this.#reused].toReversed(), ...ends.toReversed()]);
		const chosen: string[] = [];
		let leftBytes = maxBytes;
		for (const name of names) {
			leftBytes -= name.length + punctuationBytes;
			if (leftBytes < 0 || chosen.length === maxReported) {
				break;
			}

			chosen.push(name);
		}

		return chosen;
	}

	#forget(name: string): void {
		this.#blocks.delete(name);
		this.#reused.delete(name);
	}
}
