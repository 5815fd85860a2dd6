/**
 * Prefill latency of one engine: a time per prompt token, a time per pair of a token and one of the tokens before it, and a constant delay
 * before the first token. Attention compares each token with all before it, cached ones included, so a long prompt takes more than its
 * share. All three are learned from the difference between expected and measured times. An engine prefills one chunk of a prompt in each
 * step, so the time per token includes the step. The constant delay does not hold up other prompts.
 */
import type {EndpointRole} from './deployment.js';

/** Initial estimates of the time per prompt token. A decode engine is slower, because it prefills between its decode steps. */
const assumedMsPerToken: Readonly<Record<EndpointRole, number>> = {prefill: 0.016, decode: 0.04};
/** Initial estimates of the attention time per million pairs of tokens. */
const assumedMsPerMillionPairs: Readonly<Record<EndpointRole, number>> = {prefill: 0.3, decode: 0.6};
const assumedFirstTokenDelayMs = 60;
/**
 * The estimates converge to this quantile of the measured times. Anything that delays a prefill besides its own work, such as
 * prompts of other entries or a stalled connection, can only add to its time, so the shorter times are closer to the true latency.
 */
const targetQuantile = 0.35;
/** Relative size of one adjustment; the estimates converge within a few dozen requests. */
const adjustmentFraction = 0.06;
/** The first adjustments are larger by up to this fraction, and half of it after `initialAdjustments` of them. */
const initialAdjustmentFraction = 0.3;
const initialAdjustments = 3;
/** Prefills with less expected work than this adjust the first-token delay, longer ones the times per token and per pair. */
const delayUpdateMaxMs = 20;
/** Smallest fraction of the expected work that must be the prefill's own for its time to be used. */
const minOwnFraction = 0.6;
const million = 1_000_000;

/** Factor for an estimate that has been adjusted `count` times. */
const adjustmentFor = (isSlower: boolean, count: number): number => {
	const fraction = adjustmentFraction + (initialAdjustmentFraction * initialAdjustments / (initialAdjustments + count));
	return isSlower ? 1 + (fraction * targetQuantile) : 1 - (fraction * (1 - targetQuantile));
};

/** Prompt tokens that an engine prefills, and those before them that it has cached. */
export type PrefillSize = {readonly uncachedTokens: number; readonly cachedTokens: number};

export type ObservedPrefill = {readonly expectedMs: number; readonly ownMs: number; readonly tookMs: number; readonly size: PrefillSize};

/** Pairs of a prefilled token and one of the tokens before it, in millions. */
export const millionPairs = ({uncachedTokens, cachedTokens}: PrefillSize): number => uncachedTokens * (cachedTokens + (uncachedTokens / 2)) / million;

const meanOr = (values: readonly number[], fallback: number): number =>
	values.length === 0 ? fallback : values.reduce((sum, value) => sum + value, 0) / values.length;

export class PrefillLatencyModel {
	#msPerToken: number;
	#msPerMillionPairs: number;
	#firstTokenDelayMs: number;
	#delayAdjustments = 0;
	#workAdjustments = 0;

	/** Starts with the mean estimates of other engines of the role, or with assumed ones. */
	constructor(role: EndpointRole, others: readonly PrefillLatencyModel[] = []) {
		const known = others.filter(other => other.#workAdjustments + other.#delayAdjustments > 0);
		this.#msPerToken = meanOr(known.map(other => other.#msPerToken), assumedMsPerToken[role]);
		this.#msPerMillionPairs = meanOr(known.map(other => other.#msPerMillionPairs), assumedMsPerMillionPairs[role]);
		this.#firstTokenDelayMs = meanOr(known.map(other => other.#firstTokenDelayMs), assumedFirstTokenDelayMs);
	}

	/** Time per prompt token, without the attention to the tokens before it. */
	get msPerToken(): number {
		return this.#msPerToken;
	}

	/** Time from the end of a prompt's last chunk to the first token. */
	get firstTokenDelayMs(): number {
		return this.#firstTokenDelayMs;
	}

	prefillMs(size: PrefillSize): number {
		return this.workMs({tokens: size.uncachedTokens, pairs: millionPairs(size)});
	}

	/** Work of several prompts: the sums of their uncached tokens and of their pairs, the latter in millions. */
	workMs({tokens, pairs}: {readonly tokens: number; readonly pairs: number}): number {
		return (tokens * this.#msPerToken) + (pairs * this.#msPerMillionPairs);
	}

	/**
	 * Adjusts the estimates to one prefill: the work expected until its end, its own work among that, and the time that it took.
	 * A prefill with much work ahead of it is ignored, because more urgent prompts may have overtaken it.
	 */
	observe({expectedMs, ownMs, tookMs, size}: ObservedPrefill): void {
		if (ownMs < expectedMs * minOwnFraction) {
			return;
		}

		if (expectedMs < delayUpdateMaxMs) {
			this.#firstTokenDelayMs *= adjustmentFor(tookMs - expectedMs > this.#firstTokenDelayMs, this.#delayAdjustments);
			this.#delayAdjustments += 1;
			return;
		}

		// Each time is adjusted as far as it contributes, so prompts of different lengths tell the two apart.
		const adjustment = adjustmentFor(tookMs - this.#firstTokenDelayMs > expectedMs, this.#workAdjustments);
		this.#workAdjustments += 1;
		const pairsFraction = millionPairs(size) * this.#msPerMillionPairs / Math.max(Number.EPSILON, this.prefillMs(size));
		this.#msPerToken *= adjustment ** (1 - pairsFraction);
		this.#msPerMillionPairs *= adjustment ** pairsFraction;
	}
}
