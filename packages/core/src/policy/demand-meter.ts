/**
 * Measures the work that callers request over a short window, including rejected requests. When a request arrives, neither
 * its output length nor its number of cached prompt tokens is known. Both are estimated from the mean of recent answers, the
 * output as a fraction of the token limit in the request.
 */
import type {TokenDemand} from './role-capacity.js';

type Arrival = {readonly atMs: number; readonly promptTokens: number; readonly outputTokens: number};

/** Token counts of a complete answer. */
export type AnswerTokenCounts = {
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly outputTokens: number;
	readonly maxTokens: number;
};

export type DemandMeterOptions = {
	/** Length of the window. A shorter one adapts faster to a new mix of requests and is noisier. */
	readonly windowMs: number;
	/** Number of entries among which the load balancer distributes the requests evenly. */
	readonly entries: number;
};

// Fraction of the token limit that an answer is assumed to use until the first answer has ended.
const initialUsedFraction = 0.5;
// Weight of each new answer in the exponentially weighted means.
const smoothingFactor = 0.02;

/** Estimates the demand on the fleet from the requests that arrive at one entry. */
export class DemandMeter {
	readonly #options: DemandMeterOptions;
	#arrivals: Arrival[] = [];
	#usedFraction = initialUsedFraction;
	#cachedFraction = 0;
	#startedMs: number | undefined;

	constructor(options: DemandMeterOptions) {
		this.#options = options;
	}

	/** Expected output tokens of a request with the limit `maxTokens`. */
	estimateOutputTokens(maxTokens: number): number {
		return Math.max(1, maxTokens * this.#usedFraction);
	}

	/** Expected number of prompt tokens that are not in a cache. */
	estimateUncachedTokens(promptTokens: number): number {
		return promptTokens * (1 - this.#cachedFraction);
	}

	/** Records a request, whether it is admitted or not. */
	recordRequest(promptTokens: number, maxTokens: number, nowMs: number): void {
		this.#startedMs ??= nowMs;
		this.#dropOldArrivals(nowMs);
		this.#arrivals.push({
			atMs: nowMs,
			promptTokens: this.estimateUncachedTokens(promptTokens),
			outputTokens: this.estimateOutputTokens(maxTokens),
		});
	}

	/** Records a complete answer with the counts of its end frame. */
	recordAnswer(counts: AnswerTokenCounts): void {
		this.#usedFraction += smoothingFactor * ((counts.outputTokens / counts.maxTokens) - this.#usedFraction);
		this.#cachedFraction += smoothingFactor * ((counts.cachedTokens / counts.promptTokens) - this.#cachedFraction);
	}

	/** Mean demand over the window that ends now. */
	measure(nowMs: number): TokenDemand {
		const {entries, windowMs} = this.#options;
		this.#dropOldArrivals(nowMs);
		const spanMs = Math.max(1000, Math.min(windowMs, nowMs - (this.#startedMs ?? nowMs)));
		const perSecond = (tokens: number): number => tokens * entries * 1000 / spanMs;
		return {
			promptTokensPerSecond: perSecond(this.#arrivals.reduce((sum, {promptTokens}) => sum + promptTokens, 0)),
			outputTokensPerSecond: perSecond(this.#arrivals.reduce((sum, {outputTokens}) => sum + outputTokens, 0)),
		};
	}

	#dropOldArrivals(nowMs: number): void {
		const firstInWindow = this.#arrivals.findIndex(({atMs}) => atMs > nowMs - this.#options.windowMs);
		if (firstInWindow !== 0) {
			this.#arrivals = firstInWindow < 0 ? [] : this.#arrivals.slice(firstInWindow);
		}
	}
}
