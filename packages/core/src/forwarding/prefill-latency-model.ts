/**
 * Prefill latency of one engine: a time per prompt token plus a constant delay before the first token, both learned from the difference
 * between expected and measured times. An engine prefills one chunk of a prompt in each step, so the time per token includes the
 * step. The constant delay does not hold up other prompts.
 */
import type {EndpointRole} from './deployment.js';

/** Initial estimates of the time per prompt token. A decode engine is slower, because it prefills between its decode steps. */
const assumedMsPerToken: Readonly<Record<EndpointRole, number>> = {prefill: 0.016, decode: 0.04};
const assumedFirstTokenDelayMs = 60;
/**
 * The estimates converge to this quantile of the measured times. Anything that delays a prefill besides its own work, such as
 * prompts of other entries or a stalled connection, can only add to its time, so the shorter times are closer to the true latency.
 */
const targetQuantile = 0.35;
/** Relative size of one adjustment; the estimates converge within a few dozen requests. */
const adjustmentFraction = 0.06;
/** Prefills with less expected work than this adjust the first-token delay, longer ones the time per token. */
const delayUpdateMaxMs = 20;
/** Smallest fraction of the expected work that must be the prefill's own for its time to be used. */
const minOwnFraction = 0.6;

const adjustmentFor = (isSlower: boolean): number => isSlower ? 1 + (adjustmentFraction * targetQuantile) : 1 - (adjustmentFraction * (1 - targetQuantile));

export type ObservedPrefill = {readonly expectedMs: number; readonly ownMs: number; readonly tookMs: number};

export class PrefillLatencyModel {
	#msPerToken: number;
	#firstTokenDelayMs = assumedFirstTokenDelayMs;

	constructor(role: EndpointRole) {
		this.#msPerToken = assumedMsPerToken[role];
	}

	get msPerToken(): number {
		return this.#msPerToken;
	}

	/** Time from the end of a prompt's last chunk to the first token. */
	get firstTokenDelayMs(): number {
		return this.#firstTokenDelayMs;
	}

	prefillMs(tokens: number): number {
		return tokens * this.#msPerToken;
	}

	/**
	 * Adjusts the estimates to one prefill: the work expected until its end, its own work among that, and the time that it took.
	 * A prefill with much work ahead of it is ignored, because more urgent prompts may have overtaken it.
	 */
	observe({expectedMs, ownMs, tookMs}: ObservedPrefill): void {
		if (ownMs < expectedMs * minOwnFraction) {
			return;
		}

		if (expectedMs < delayUpdateMaxMs) {
			this.#firstTokenDelayMs *= adjustmentFor(tookMs - expectedMs > this.#firstTokenDelayMs);
		} else {
			this.#msPerToken *= adjustmentFor(tookMs - this.#firstTokenDelayMs > expectedMs);
		}
	}
}
