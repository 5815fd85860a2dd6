/**
 * Time per output token of one decode engine as a linear function of its load. A decode step takes longer with more running requests
 * and with more KV cache, so streams at a low load predict the latency of a full engine only if the model includes the load.
 */

/** A completed stream, or what was received of one before it was cut off. */
export type ObservedStream = {
	readonly tookMs: number;
	/** Tokens received in that time. */
	readonly tokens: number;
	/** Tokens of the whole answer, by default those received. */
	readonly answerTokens?: number;
	/** Mean load of the engine during the stream; 1 when all slots and all memory are in use. */
	readonly load: number;
};

/** Initial estimate of the time of a decode step on an empty engine. */
const assumedStepMs = 3;
/** Initial estimate of the additional time of a step on a full engine, as a multiple of the step on an empty one. */
const assumedFullSlowdownRatio = 3;
/** Weight of the initial estimate of the step, in tokens of observed streams; it decays with new streams. */
const assumedStepWeightTokens = 300;
/** Weight of the initial slowdown ratio, in tokens. It does not decay, because streams at a single load do not determine the ratio. */
const slowdownRatioWeightTokens = 1500;
/** Fraction of the accumulated weight that each new stream replaces. */
const decayFraction = 0.02;
/** Streams after which an engine's own figures count as much as the initial estimates when engines are compared. */
const comparisonStreams = 20;
const assumedMeanOutputTokens = 250;

/** Load at which the latencies of engines are compared; engines usually run at about this load. */
export const referenceLoad = 0.5;

export class DecodeLatencyModel {
	/** Sums over the streams, weighted by their tokens. */
	#tokens = assumedStepWeightTokens;
	#loadTokens = 0;
	#squaredLoadTokens = 0;
	#ms = assumedStepWeightTokens * assumedStepMs;
	#loadMs = 0;
	#meanOutputTokens = assumedMeanOutputTokens;
	#stepMs = assumedStepMs;
	#fullSlowdownMs = assumedStepMs * assumedFullSlowdownRatio;
	#streams = 0;

	get meanOutputTokens(): number {
		return this.#meanOutputTokens;
	}

	/** Time per output token at the given load. */
	msPerToken(load: number): number {
		return this.#stepMs + (this.#fullSlowdownMs * load);
	}

	/** Time per output token for a comparison of engines: close to the initial estimate for an engine that few streams have shown. */
	comparableMsPerToken(load: number): number {
		const assumedMs = assumedStepMs * (1 + (assumedFullSlowdownRatio * load));
		const confidence = this.#streams / (this.#streams + comparisonStreams);
		return assumedMs + (confidence * (this.msPerToken(load) - assumedMs));
	}

	/** Load at which the time per output token reaches the given value; 1 or more if even a full engine is that fast. */
	loadAtLatency(msPerToken: number): number {
		return Math.max(0, msPerToken - this.#stepMs) / Math.max(Number.EPSILON, this.#fullSlowdownMs);
	}

	/** Mean time from the first to the last token of a stream at the given load. */
	meanStreamMs(load: number): number {
		return this.#meanOutputTokens * this.msPerToken(load);
	}

	observe({tookMs, tokens, answerTokens = tokens, load}: ObservedStream): void {
		this.#meanOutputTokens += decayFraction * (answerTokens - this.#meanOutputTokens);
		if (tokens === 0) {
			return;
		}

		this.#streams += 1;
		const retained = 1 - decayFraction;
		this.#tokens = (this.#tokens * retained) + tokens;
		this.#loadTokens = (this.#loadTokens * retained) + (tokens * load);
		this.#squaredLoadTokens = (this.#squaredLoadTokens * retained) + (tokens * load * load);
		this.#ms = (this.#ms * retained) + tookMs;
		this.#loadMs = (this.#loadMs * retained) + (tookMs * load);
		this.#fit();
	}

	/** Fits step and slowdown by least squares, with a penalty for a slowdown ratio that differs from the assumed one. */
	#fit(): void {
		const weight = slowdownRatioWeightTokens;
		const a = this.#tokens + weight;
		const b = this.#loadTokens - (weight / assumedFullSlowdownRatio);
		const c = this.#squaredLoadTokens + (weight / (assumedFullSlowdownRatio ** 2));
		const determinant = (a * c) - (b * b);
		const stepMs = ((this.#ms * c) - (this.#loadMs * b)) / determinant;
		const fullSlowdownMs = ((this.#loadMs * a) - (this.#ms * b)) / determinant;
		// A fit to few streams may have a negative slope.
		this.#stepMs = Math.max(0, stepMs);
		this.#fullSlowdownMs = Math.max(0, fullSlowdownMs);
	}
}
