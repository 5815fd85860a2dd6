/**
 * Sizes of the answers of one kind. Callers guess how long their answers become, and single guesses are far off: their spread is that of
 * the sizes and that of the errors together. Taken as they are, they make the largest answers look larger than any is, so the spread of the
 * errors, which the ended answers show, is taken out again.
 */
import {RecentSamples} from './recent-samples.js';

/** Ended answers from which on the errors of the guesses are taken into account. */
const minEnded = 10;
/** Guesses tell at least this much, however few answers have shown. */
const minReliability = 0.3;

/** An answer that is asked for. */
export type LengthGuess = {
	readonly guessedTokens: number;
	/** Time until the caller's limit. */
	readonly limitMs: number;
};

const varianceOf = (values: readonly number[]): number => {
	const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
	return values.reduce((sum, value) => sum + ((value - mean) ** 2), 0) / values.length;
};

/** Sizes are compared by their ratio; an answer has one token at least. */
const logOf = (tokens: number): number => Math.log(Math.max(1, tokens));

export class OutputLengthDistribution {
	/** When this kind was last asked for. */
	lastRequestedMs = 0;
	readonly #asked = new RecentSamples<LengthGuess>();
	/** Logarithms of how many times the guess the answers were. */
	readonly #errors = new RecentSamples<number>();
	#sorted: readonly number[] | undefined;
	#reliability: number | undefined;

	/** Notes an answer that is asked for. */
	recordRequested(asked: LengthGuess, nowMs: number): void {
		this.#asked.add(asked);
		this.#sorted = undefined;
		this.#reliability = undefined;
		this.lastRequestedMs = nowMs;
	}

	/** Notes how long an answer was that has ended. */
	recordCompleted(guessedTokens: number, tokens: number): void {
		this.#errors.add(logOf(tokens) - logOf(guessedTokens));
		this.#reliability = undefined;
	}

	/** Time that callers give to answers of this kind. One that comes back has less left; the limit of the kind is that of its first attempts. */
	get limitMs(): number {
		return Math.max(...this.#asked.samples.map(({limitMs}) => limitMs));
	}

	/** Size that this part of the answers exceeds. */
	tokensExceededBy(part: number): number {
		return this.expectedTokens(this.#guessAt(part));
	}

	/** Whether a guess is among the largest of this part. */
	isAmongLongest(guessedTokens: number, part: number): boolean {
		return guessedTokens > this.#guessAt(part);
	}

	/** Size to expect of an answer: the guess, as much nearer to the usual size as guesses are off. */
	expectedTokens(guessedTokens: number): number {
		const usual = logOf(this.#guessAt(0.5));
		return Math.exp(usual + (Math.sqrt(this.#reliabilityOfGuesses()) * (logOf(guessedTokens) - usual)));
	}

	/** Guess that this part of the guesses exceeds. */
	#guessAt(part: number): number {
		this.#sorted ??= this.#asked.samples.map(({guessedTokens}) => guessedTokens).toSorted((a, b) => b - a);
		return this.#sorted[Math.floor(this.#sorted.length * part)] ?? 0;
	}

	/** Part of the guesses' spread that is the spread of the sizes. */
	#reliabilityOfGuesses(): number {
		this.#reliability ??= this.#measureReliability();
		return this.#reliability;
	}

	#measureReliability(): number {
		const errors = this.#errors.samples;
		const spread = varianceOf(this.#asked.samples.map(({guessedTokens}) => logOf(guessedTokens)));
		if (errors.length < minEnded || spread === 0) {
			return 1;
		}

		return Math.max(minReliability, 1 - (varianceOf(errors) / spread));
	}
}
