/**
 * Distribution of the output lengths of one kind of answers, estimated from the lengths that callers guess. The variance of the guesses is
 * the variance of the lengths plus the variance of the guessing errors, so the raw guesses overestimate the longest answers. The variance of
 * the errors is measured on completed answers and removed. All calculations use logarithms, because lengths are compared by their ratio.
 */
import {RecentSamples} from './recent-samples.js';

/** Guessing errors are corrected once this many answers have completed. */
const minCompletedAnswers = 10;
/** Lower bound of the fraction of the variance of the guesses that is attributed to the lengths. */
const minReliabilityFraction = 0.3;

/** What a caller states about an answer when it requests it. */
export type LengthGuess = {
	readonly guessedTokens: number;
	/** Time until the caller's deadline. */
	readonly limitMs: number;
};

const varianceOf = (values: readonly number[]): number => {
	const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
	return values.reduce((sum, value) => sum + ((value - mean) ** 2), 0) / values.length;
};

/** Logarithm of a length; an answer has at least one token. */
const logOf = (tokens: number): number => Math.log(Math.max(1, tokens));

export class OutputLengthDistribution {
	/** Time of the last request for this kind. */
	lastRequestedMs = 0;
	readonly #guesses = new RecentSamples<LengthGuess>();
	/** Logarithms of the actual length divided by the guessed length. */
	readonly #logErrors = new RecentSamples<number>();
	#guessesDescending: readonly number[] | undefined;
	#cachedReliability: number | undefined;

	recordRequested(guess: LengthGuess, nowMs: number): void {
		this.#guesses.add(guess);
		this.#guessesDescending = undefined;
		this.#cachedReliability = undefined;
		this.lastRequestedMs = nowMs;
	}

	/** Records the actual length of a completed answer with the guess for it. */
	recordCompleted(guessedTokens: number, tokens: number): void {
		this.#logErrors.add(logOf(tokens) - logOf(guessedTokens));
		this.#cachedReliability = undefined;
	}

	/** Time limit of this kind. A retried request has less time left than at first, so the largest value is the limit that callers set. */
	get limitMs(): number {
		return Math.max(...this.#guesses.samples.map(({limitMs}) => limitMs));
	}

	/** Length that the given fraction of the answers exceeds: the quantile at 1 - fraction. */
	tokensExceededBy(fraction: number): number {
		return this.expectedTokens(this.#guessExceededBy(fraction));
	}

	/** Whether a guess is longer than all but the given fraction of the guesses. */
	isAmongLongest(guessedTokens: number, fraction: number): boolean {
		return guessedTokens > this.#guessExceededBy(fraction);
	}

	/** Expected length of an answer: the guess, moved towards the median by as much as guesses are unreliable. */
	expectedTokens(guessedTokens: number): number {
		const logMedian = logOf(this.#guessExceededBy(0.5));
		return Math.exp(logMedian + (Math.sqrt(this.#guessReliability()) * (logOf(guessedTokens) - logMedian)));
	}

	/** Guess that the given fraction of the guesses exceeds. */
	#guessExceededBy(fraction: number): number {
		this.#guessesDescending ??= this.#guesses.samples.map(({guessedTokens}) => guessedTokens).toSorted((a, b) => b - a);
		return this.#guessesDescending[Math.floor(this.#guessesDescending.length * fraction)] ?? 0;
	}

	/** Fraction of the variance of the guesses that is variance of the lengths. */
	#guessReliability(): number {
		this.#cachedReliability ??= this.#measureReliability();
		return this.#cachedReliability;
	}

	#measureReliability(): number {
		const logErrors = this.#logErrors.samples;
		const guessVariance = varianceOf(this.#guesses.samples.map(({guessedTokens}) => logOf(guessedTokens)));
		if (logErrors.length < minCompletedAnswers || guessVariance === 0) {
			return 1;
		}

		return Math.max(minReliabilityFraction, 1 - (varianceOf(logErrors) / guessVariance));
	}
}
