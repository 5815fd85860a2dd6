/**
 * The work that callers ask for of each model service, measured at this entry and extrapolated to the region.
 */
import {
	DemandMeter, type AnswerTokenCounts, type Clock, type TokenDemand,
} from '@hawthorncleat/core';
import {estimateTokens} from './completion-format.js';

// Long enough to average out single requests, short against a swing of the mix.
const windowMs = 10_000;

/** Demand by service. */
export class ModelDemand {
	readonly #clock: Clock;
	readonly #liveEntries: () => number;
	readonly #meters = new Map<string, DemandMeter>();

	constructor(clock: Clock, liveEntries: () => number) {
		this.#clock = clock;
		this.#liveEntries = liveEntries;
	}

	/** Notes a request, refused ones included. */
	arrived(service: string, prompt: string, maxTokens: number): void {
		this.#meterOf(service).recordRequest(estimateTokens(prompt), maxTokens, this.#clock.nowMs());
	}

	/** Notes a complete answer. */
	answered(service: string, counts: AnswerTokenCounts): void {
		if (counts.promptTokens > 0) {
			this.#meterOf(service).recordAnswer(counts);
		}
	}

	/** Prompt tokens of a request that are expected to need work. */
	expectUncached(service: string, prompt: string): number {
		return this.#meterOf(service).estimateUncachedTokens(estimateTokens(prompt));
	}

	/** Expected output of a request with that limit. */
	expectOutput(service: string, maxTokens: number): number {
		return this.#meterOf(service).estimateOutputTokens(maxTokens);
	}

	/** Demand of the region over the last seconds. */
	measure(service: string): TokenDemand {
		return this.#meterOf(service).measure(this.#clock.nowMs());
	}

	#meterOf(service: string): DemandMeter {
		const liveEntries = this.#liveEntries;
		const meter = this.#meters.get(service) ?? new DemandMeter({
			windowMs,
			get entries() {
				return Math.max(1, liveEntries());
			},
		});
		this.#meters.set(service, meter);
		return meter;
	}
}
