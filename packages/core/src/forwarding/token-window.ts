/**
 * Rate of the requests that callers sent and of their prompt and output tokens, measured over a sliding window.
 */
import {millionPairs, type PrefillSize} from './prefill-latency-model.js';
import {SlidingSums} from './sliding-sums.js';

export type TokenRate = {
	readonly requestsPerSecond: number;
	/** Prompt tokens that are not in a cache. */
	readonly promptTokensPerSecond: number;
	/** Pairs of such a token and one before it, in millions. */
	readonly millionPairsPerSecond: number;
	readonly outputTokensPerSecond: number;
	/** Squared coefficient of variation of the prompt tokens of a request; 0 without requests. */
	readonly promptVariation: number;
	/** Fraction of the output tokens whose requests were rejected. */
	readonly rejectedFraction: number;
};

const windowMs = 4000;
const bucketCount = 8;
const msPerSecond = 1000;
const sumNames = ['requests', 'prompt', 'squaredPrompt', 'pairs', 'output', 'rejectedOutput'] as const;

export class TokenWindow {
	readonly #sums = new SlidingSums({windowMs, buckets: bucketCount, names: sumNames});

	/** Adds a request; a rejected one counts as demand as well. */
	add(size: PrefillSize, outputTokens: number, {nowMs, isRejected = false}: {readonly nowMs: number; readonly isRejected?: boolean}): void {
		this.#sums.add(nowMs, {
			requests: 1,
			prompt: size.uncachedTokens,
			squaredPrompt: size.uncachedTokens ** 2,
			pairs: millionPairs(size),
			output: outputTokens,
			rejectedOutput: isRejected ? outputTokens : 0,
		});
	}

	rate(nowMs: number): TokenRate {
		const total = this.#sums.totals(nowMs);
		const seconds = windowMs / msPerSecond;
		return {
			requestsPerSecond: total.requests / seconds,
			promptTokensPerSecond: total.prompt / seconds,
			millionPairsPerSecond: total.pairs / seconds,
			outputTokensPerSecond: total.output / seconds,
			rejectedFraction: total.output === 0 ? 0 : total.rejectedOutput / total.output,
			promptVariation: total.prompt === 0 ? 0 : Math.max(0, (total.requests * total.squaredPrompt / (total.prompt ** 2)) - 1),
		};
	}
}
