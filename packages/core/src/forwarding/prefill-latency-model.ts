/**
 * How fast one engine prefills, learned from how long prefills took against what was expected. An engine takes a chunk of
 * a prompt in each of its steps, so its pace includes the step; the time before the first token comes on top and is not
 * taken from other prompts.
 */
import type {EndpointRole} from './deployment.js';

/** Time of one prompt token at an engine nobody has used yet. A decode engine prefills between its decode steps. */
const assumedMsPerToken: Readonly<Record<EndpointRole, number>> = {prefill: 0.016, decode: 0.04};
const assumedLatencyMs = 60;
/**
 * The estimates settle where this part of the prefills took less time. What delays a prefill besides its own work, such as
 * prompts of other entries or a silent connection, only ever adds to its time, so the shorter ones tell the pace.
 */
const quicker = 0.35;
/** Step of the estimates, in parts of their value; a few dozen requests settle them. */
const step = 0.06;
/** Shorter queues tell about the latency, longer ones about the pace. */
const shortQueueMs = 20;
/** Part of the expected work that must be the prefill's own. */
const ownPart = 0.6;

const factorFor = (isSlower: boolean): number => isSlower ? 1 + (step * quicker) : 1 - (step * (1 - quicker));

export type ObservedPrefill = {readonly expectedMs: number; readonly ownMs: number; readonly tookMs: number};

export class PrefillLatencyModel {
	#msPerToken: number;
	#latencyMs = assumedLatencyMs;

	constructor(role: EndpointRole) {
		this.#msPerToken = assumedMsPerToken[role];
	}

	get msPerToken(): number {
		return this.#msPerToken;
	}

	/** Time from a prompt's last chunk to its first token. */
	get firstTokenDelayMs(): number {
		return this.#latencyMs;
	}

	prefillMs(tokens: number): number {
		return tokens * this.#msPerToken;
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
			this.#latencyMs *= factorFor(tookMs - expectedMs > this.#latencyMs);
		} else {
			this.#msPerToken *= factorFor(tookMs - this.#latencyMs > expectedMs);
		}
	}
}
