/**
 * Rate of the requests that callers sent and of their prompt and output tokens, measured over a sliding window.
 */
import {millionPairs, type PrefillSize} from './prefill-latency-model.js';

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

const bucketMs = 500;
const bucketCount = 8;

const sums = {
	requests: 0, prompt: 0, squaredPrompt: 0, pairs: 0, output: 0, rejectedOutput: 0,
};

type Sums = typeof sums;

type Bucket = Sums & {index: number};

const sumNames = Object.keys(sums) as ReadonlyArray<keyof Sums>;

export class TokenWindow {
	readonly #buckets: Bucket[] = Array.from({length: bucketCount}, () => ({index: -1, ...sums}));

	/** Adds a request; a rejected one counts as demand as well. */
	add(size: PrefillSize, outputTokens: number, {nowMs, isRejected = false}: {readonly nowMs: number; readonly isRejected?: boolean}): void {
		const index = Math.floor(nowMs / bucketMs);
		const bucket = this.#buckets[index % bucketCount]!;
		if (bucket.index !== index) {
			Object.assign(bucket, {index, ...sums});
		}

		bucket.requests += 1;
		bucket.prompt += size.uncachedTokens;
		bucket.squaredPrompt += size.uncachedTokens ** 2;
		bucket.pairs += millionPairs(size);
		bucket.output += outputTokens;
		bucket.rejectedOutput += isRejected ? outputTokens : 0;
	}

	rate(nowMs: number): TokenRate {
		const newestExpiredIndex = Math.floor(nowMs / bucketMs) - bucketCount;
		const total = {...sums};
		for (const bucket of this.#buckets) {
			if (bucket.index > newestExpiredIndex) {
				for (const name of sumNames) {
					total[name] += bucket[name];
				}
			}
		}

		const seconds = bucketCount * bucketMs / 1000;
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
