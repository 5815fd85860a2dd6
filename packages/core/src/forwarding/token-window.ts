/**
 * Rate of the prompt and output tokens that callers requested, measured over a sliding window.
 */

export type TokenRate = {readonly promptTokensPerSecond: number; readonly outputTokensPerSecond: number};

const bucketMs = 500;
const bucketCount = 8;

type Bucket = {index: number; prompt: number; output: number};

export class TokenWindow {
	readonly #buckets: Bucket[] = Array.from({length: bucketCount}, () => ({index: -1, prompt: 0, output: 0}));

	add(promptTokens: number, outputTokens: number, nowMs: number): void {
		const index = Math.floor(nowMs / bucketMs);
		const bucket = this.#buckets[index % bucketCount]!;
		if (bucket.index !== index) {
			Object.assign(bucket, {index, prompt: 0, output: 0});
		}

		bucket.prompt += promptTokens;
		bucket.output += outputTokens;
	}

	rate(nowMs: number): TokenRate {
		const newestExpiredIndex = Math.floor(nowMs / bucketMs) - bucketCount;
		let prompt = 0;
		let output = 0;
		for (const bucket of this.#buckets) {
			if (bucket.index > newestExpiredIndex) {
				prompt += bucket.prompt;
				output += bucket.output;
			}
		}

		const seconds = bucketCount * bucketMs / 1000;
		return {promptTokensPerSecond: prompt / seconds, outputTokensPerSecond: output / seconds};
	}
}
