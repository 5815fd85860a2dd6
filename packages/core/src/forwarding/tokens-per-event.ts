/**
 * Tokens in one event of a stream, which engines do not say. Guesses of the length of an answer are right in the middle, so the middle one of
 * many ratios of guess and events tells it, while each single one is far off.
 */
import {RecentSamples} from './recent-samples.js';

/** Answers without which the middle one may be far off. */
const minAnswers = 5;
/** Shorter streams tell little, because their last event is not full. */
const minEvents = 5;
/** Part of the last event that is filled, in the middle. */
const lastEventPart = 0.5;

export class TokensPerEvent {
	readonly #ratios = new RecentSamples<number>();
	#middle: number | undefined;

	/** Notes a stream that has ended. */
	recordStream(guessedTokens: number, events: number): void {
		if (events < minEvents || guessedTokens <= 0) {
			return;
		}

		this.#ratios.add(guessedTokens / (events - lastEventPart));
		this.#middle = undefined;
	}

	/** Whether enough streams have ended to tell. */
	get hasEnoughSamples(): boolean {
		return this.#ratios.samples.length >= minAnswers;
	}

	/** Tokens of so many events. */
	estimateTokens(events: number): number {
		const {samples: items} = this.#ratios;
		this.#middle ??= items.toSorted((a, b) => a - b)[Math.floor(items.length / 2)] ?? 1;
		return events * this.#middle;
	}
}
