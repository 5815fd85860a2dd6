/**
 * Estimates how many tokens one event of a stream has, which engines do not report. Single guesses of output lengths are far off but have no
 * bias, so the median of guessed tokens per event over many streams is a good estimate.
 */
import {RecentSamples} from './recent-samples.js';

/** With fewer streams the median may be far off. */
const minStreams = 5;
/** Shorter streams are ignored, because their last, partly filled event distorts the ratio. */
const minEvents = 5;
/** Mean fill of the last event of a stream. */
const lastEventFraction = 0.5;

export class TokensPerEvent {
	readonly #samples = new RecentSamples<number>();
	#median: number | undefined;

	/** Records a completed stream. */
	recordStream(guessedTokens: number, events: number): void {
		if (events < minEvents || guessedTokens <= 0) {
			return;
		}

		this.#samples.add(guessedTokens / (events - lastEventFraction));
		this.#median = undefined;
	}

	get hasEnoughSamples(): boolean {
		return this.#samples.samples.length >= minStreams;
	}

	estimateTokens(events: number): number {
		const {samples} = this.#samples;
		this.#median ??= samples.toSorted((a, b) => a - b)[Math.floor(samples.length / 2)] ?? 1;
		return events * this.#median;
	}
}
