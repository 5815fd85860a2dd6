/**
 * Budget of prefill work for requests that can no longer meet their latency target. They are queued behind all others, so they would never be
 * served while the engines are overloaded, and large prompts are late from the start.
 */

import {largePromptTokens} from './priority-level.js';

/** Prompt tokens credited to large and to other late requests for each prompt token of a request that meets its latency target. */
const creditPerToken = {large: 0.2, other: 0.1} as const;
/** Upper bound of the credit, so that a quiet time pays for one large prompt but not for many at once. */
const maxCreditTokens = 60_000;

/** Large prompts have a separate budget, because smaller ones would spend a shared one before it could pay for a large prompt. */
export class LateRequestBudget {
	readonly #creditTokens = {large: 0, other: 0};

	/** Adds credit for a request that was sent and is expected to meet its latency target. */
	credit(tokens: number): void {
		for (const sizeClass of ['large', 'other'] as const) {
			this.#creditTokens[sizeClass] = Math.min(maxCreditTokens, this.#creditTokens[sizeClass] + (tokens * creditPerToken[sizeClass]));
		}
	}

	/** Spends credit if there is enough; the late request may then use the level of its priority instead of the lowest one. */
	trySpend({promptTokens, uncachedTokens}: {readonly promptTokens: number; readonly uncachedTokens: number}): boolean {
		const sizeClass = promptTokens > largePromptTokens ? 'large' : 'other';
		if (uncachedTokens > this.#creditTokens[sizeClass]) {
			return false;
		}

		this.#creditTokens[sizeClass] -= uncachedTokens;
		return true;
	}
}
