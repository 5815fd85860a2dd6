/**
 * Part of the prefill work that is kept for requests that can no longer be on time. They stand behind all others, so while the
 * engines have too much to do they would never be served, and large prompts are late from the start.
 */

import {largePromptTokens} from './priority-level.js';

/** Prompt tokens of large and of other late requests for each token of a request in time, while they would otherwise get nothing. */
const parts = {large: 0.2, other: 0.1} as const;
/** Share that is saved at the most, so that a quiet time pays for one large prompt and not for a crowd of them. */
const maxSavedTokens = 60_000;

/** Large prompts have a share of their own: smaller ones would spend a common one before it pays for a large one. */
export class LateRequestBudget {
	readonly #savedTokens = {large: 0, other: 0};

	/** A request in time has been sent. */
	credit(tokens: number): void {
		for (const size of ['large', 'other'] as const) {
			this.#savedTokens[size] = Math.min(maxSavedTokens, this.#savedTokens[size] + (tokens * parts[size]));
		}
	}

	/** Whether a late request may go before other late ones, at the level of its priority. */
	trySpend({promptTokens, uncachedTokens}: {readonly promptTokens: number; readonly uncachedTokens: number}): boolean {
		const size = promptTokens > largePromptTokens ? 'large' : 'other';
		if (uncachedTokens > this.#savedTokens[size]) {
			return false;
		}

		this.#savedTokens[size] -= uncachedTokens;
		return true;
	}
}
