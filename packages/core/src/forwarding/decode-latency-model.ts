/**
 * How fast one engine decodes, depending on how loaded it is. A decode step takes longer with more running requests and
 * with more KV cache, so streams that ran on a calm engine say little about a full one unless both are kept apart.
 */

/** A stream, or the part of one that came before it was broken off. */
export type ObservedStream = {
	readonly tookMs: number;
	/** Tokens that came in that time. */
	readonly tokens: number;
	/** Tokens of the whole answer; those that came in that time if not given. */
	readonly answerTokens?: number;
	/** Mean load of the engine meanwhile; 1 when all places and all memory are taken. */
	readonly load: number;
};

/** Time of a decode step of an engine that nobody has used yet. */
const assumedStepMs = 3;
/** A full engine is assumed to take this much longer for a step, in steps of an empty one, until its streams tell. */
const assumedSlowdown = 3;
/** Tokens of the streams that the assumption about the step weighs. */
const assumedTokens = 300;
/** Tokens that the assumption about the slowdown weighs for good; streams of one load alone cannot tell it. */
const slowdownTokens = 1500;
/** Part of the older streams that each one replaces. */
const forgottenPart = 0.02;
const assumedStreamTokens = 250;

/** Load at which the paces of engines are compared; each is used at about this load. */
export const referenceLoad = 0.5;

export class DecodeLatencyModel {
	/** Sums over the streams, weighted by their tokens. */
	#tokens = assumedTokens;
	#loadTokens = 0;
	#squaredLoadTokens = 0;
	#ms = assumedTokens * assumedStepMs;
	#loadMs = 0;
	#streamTokens = assumedStreamTokens;
	#stepMs = assumedStepMs;
	#slowdownMs = assumedStepMs * assumedSlowdown;

	/** Mean output of a stream. */
	get meanOutputTokens(): number {
		return this.#streamTokens;
	}

	/** Time between two output tokens of a stream. */
	msPerToken(load: number): number {
		return this.#stepMs + (this.#slowdownMs * load);
	}

	/** Load at which a token takes so long; 1 and more when a full engine is as fast. */
	loadAtLatency(msPerToken: number): number {
		return Math.max(0, msPerToken - this.#stepMs) / Math.max(Number.EPSILON, this.#slowdownMs);
	}

	/** Mean time of a stream from its first to its last token. */
	meanStreamMs(load: number): number {
		return this.#streamTokens * this.msPerToken(load);
	}

	/** Takes in one stream. */
	observe({tookMs, tokens, answerTokens = tokens, load}: ObservedStream): void {
		this.#streamTokens += forgottenPart * (answerTokens - this.#streamTokens);
		if (tokens === 0) {
			return;
		}

		const kept = 1 - forgottenPart;
		this.#tokens = (this.#tokens * kept) + tokens;
		this.#loadTokens = (this.#loadTokens * kept) + (tokens * load);
		this.#squaredLoadTokens = (this.#squaredLoadTokens * kept) + (tokens * load * load);
		this.#ms = (this.#ms * kept) + tookMs;
		this.#loadMs = (this.#loadMs * kept) + (tookMs * load);
		this.#fit();
	}

	/** Least squares for step and slowdown, with a penalty on a ratio of both that differs from the assumed one. */
	#fit(): void {
		const weight = slowdownTokens;
		const a = this.#tokens + weight;
		const b = this.#loadTokens - (weight / assumedSlowdown);
		const c = this.#squaredLoadTokens + (weight / (assumedSlowdown ** 2));
		const determinant = (a * c) - (b * b);
		const stepMs = ((this.#ms * c) - (this.#loadMs * b)) / determinant;
		const slowdownMs = ((this.#loadMs * a) - (this.#ms * b)) / determinant;
		// A fit of few streams may slope the wrong way.
		this.#stepMs = Math.max(0, stepMs);
		this.#slowdownMs = Math.max(0, slowdownMs);
	}
}
