/**
 * Measures the work that callers ask for over a short window, refused requests included. Neither the output nor the cached
 * part of the prompt is known at arrival: both are taken from the mean of recent answers, the output as a part of the
 * caller's limit.
 */
import type {TokenDemand} from './role-capacity.js';

type Arrival = {readonly atMs: number; readonly promptTokens: number; readonly outputTokens: number};

/** Counts of a complete answer. */
export type AnswerTokenCounts = {
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly outputTokens: number;
	readonly maxTokens: number;
};

export type DemandMeterOptions = {
	/** Length of the window; shorter follows the mix faster and is noisier. */
	readonly windowMs: number;
	/** Entries among which the load balancer spreads the requests evenly. */
	readonly entries: number;
};

// Part of the token limit that an answer is taken to use before any has ended.
const initialUsedPart = 0.5;
// Each finished answer moves the mean by this part.
const smoothing = 0.02;

/** Demand on the fleet, extrapolated from the arrivals at one entry. */
export class DemandMeter {
	readonly #options: DemandMeterOptions;
	#arrivals: Arrival[] = [];
	#usedPart = initialUsedPart;
	#cachedPart = 0;
	#startedMs: number | undefined;

	constructor(options: DemandMeterOptions) {
		this.#options = options;
	}

	/** Expected output of a request with that limit. */
	estimateOutputTokens(maxTokens: number): number {
		return Math.max(1, maxTokens * this.#usedPart);
	}

	/** Expected prompt tokens that need work. */
	estimateUncachedTokens(promptTokens: number): number {
		return promptTokens * (1 - this.#cachedPart);
	}

	/** Notes a request, admitted or not. */
	recordRequest(promptTokens: number, maxTokens: number, nowMs: number): void {
		this.#startedMs ??= nowMs;
		this.#forget(nowMs);
		this.#arrivals.push({
			atMs: nowMs,
			promptTokens: this.estimateUncachedTokens(promptTokens),
			outputTokens: this.estimateOutputTokens(maxTokens),
		});
	}

	/** Notes a complete answer with the counts of its end frame. */
	recordAnswer(counts: AnswerTokenCounts): void {
		this.#usedPart += smoothing * ((counts.outputTokens / counts.maxTokens) - this.#usedPart);
		this.#cachedPart += smoothing * ((counts.cachedTokens / counts.promptTokens) - this.#cachedPart);
	}

	/** Demand over the last window. */
	measure(nowMs: number): TokenDemand {
		const {entries, windowMs} = this.#options;
		this.#forget(nowMs);
		const spanMs = Math.max(1000, Math.min(windowMs, nowMs - (this.#startedMs ?? nowMs)));
		const perSecond = (tokens: number): number => tokens * entries * 1000 / spanMs;
		return {
			promptTokensPerSecond: perSecond(this.#arrivals.reduce((sum, {promptTokens}) => sum + promptTokens, 0)),
			outputTokensPerSecond: perSecond(this.#arrivals.reduce((sum, {outputTokens}) => sum + outputTokens, 0)),
		};
	}

	#forget(nowMs: number): void {
		const keptFrom = this.#arrivals.findIndex(({atMs}) => atMs > nowMs - this.#options.windowMs);
		if (keptFrom !== 0) {
			this.#arrivals = keptFrom < 0 ? [] : this.#arrivals.slice(keptFrom);
		}
	}
}
