/**
 * How fast one engine prefills, learned from how long prefills took against what was expected. An engine takes a chunk of
 * a prompt in each of its steps, so its pace includes the step; the time before the first token comes on top and is not
 * taken from other prompts.
 */
import type {EndpointRole} from './deployment.js';

/** Time of one prompt token at an engine nobody has used yet. A decode engine prefills between its decode steps. */
const assumedMsPerToken: Readonly<Record<EndpointRole, number>> = {prefill: 0.016, decode: 0.04};
const assumedLatencyMs = 60;
const assumedStreamMs = 2000;
const assumedOutputMs = 6;
/** Weight of one observation; a few dozen requests settle the pace. */
const weight = 0.06;
/** Shorter queues tell about the latency, longer ones about the pace. */
const shortQueueMs = 20;
/** Part of the expected work that must be the prefill's own. */
const ownPart = 0.6;
const minRatio = 0.4;
const maxRatio = 2.5;

export type ObservedPrefill = {readonly expectedMs: number; readonly ownMs: number; readonly tookMs: number};

export class EnginePace {
	#msPerToken: number;
	#latencyMs = assumedLatencyMs;
	#streamMs = assumedStreamMs;
	#outputMs = assumedOutputMs;
	#outputTokens = 1;

	constructor(role: EndpointRole) {
		this.#msPerToken = assumedMsPerToken[role];
	}

	get msPerToken(): number {
		return this.#msPerToken;
	}

	/** Time from a prompt's last chunk to its first token. */
	get latencyMs(): number {
		return this.#latencyMs;
	}

	/** Mean time of a stream from its first to its last token, after which its place is free again. */
	get streamMs(): number {
		return this.#streamMs;
	}

	workMs(tokens: number): number {
		return tokens * this.#msPerToken;
	}

	/** Time between two output tokens of a stream, with the number of streams that it has had lately. */
	get msPerOutputToken(): number {
		return this.#outputMs / this.#outputTokens;
	}

	/** Takes in one stream. Single expectations of the output are far off, so only sums of them are used. */
	observeStream(tookMs: number, expectedTokens: number): void {
		this.#streamMs += weight * (tookMs - this.#streamMs);
		this.#outputMs += weight * (tookMs - this.#outputMs);
		this.#outputTokens += weight * (Math.max(1, expectedTokens) - this.#outputTokens);
	}

	/**
	 * Takes in one prefill: the work that was expected up to its end, the part of it that is its own, and the time that it took.
	 * One with much work before it tells nothing: more urgent prompts may have come in between.
	 */
	observe({expectedMs, ownMs, tookMs}: ObservedPrefill): void {
		if (ownMs < expectedMs * ownPart) {
			return;
		}

		if (expectedMs < shortQueueMs) {
			this.#latencyMs += weight * (Math.max(0, tookMs - expectedMs) - this.#latencyMs);
			return;
		}

		const ratio = Math.max(0, tookMs - this.#latencyMs) / expectedMs;
		this.#msPerToken *= 1 + (weight * (Math.min(maxRatio, Math.max(minRatio, ratio)) - 1));
	}
}
