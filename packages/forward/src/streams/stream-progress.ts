/**
 * Progress of one stream at one engine: how many events arrived in which time, and the load of the engine meanwhile.
 */
import type {StreamView} from '../requests/attempt-result.js';

export type ArrivedEvents = {
	/** Complete events that arrived together; 0 if only a part of one arrived. */
	readonly events: number;
	/** Load of the engine when they arrived. */
	readonly load: number;
	readonly atMs: number;
};

export class StreamProgress {
	eventCount = 0;
	/** Events that arrived together first. They were generated earlier, so they must not count for the time per event. */
	#firstEventCount = 0;
	#firstMs = 0;
	#lastMs = 0;
	#loadSum = 0;
	#loadSamples = 0;
	#maxLoad = 0;

	/** Events that arrived after the first ones. */
	get laterEventCount(): number {
		return this.eventCount - this.#firstEventCount;
	}

	/** Time in which the later events arrived. */
	get laterEventsMs(): number {
		return this.#lastMs - this.#firstMs;
	}

	get meanLoad(): number {
		return this.#loadSum / Math.max(1, this.#loadSamples);
	}

	get view(): StreamView {
		return {events: this.eventCount, meanLoad: this.meanLoad, maxLoad: this.#maxLoad};
	}

	record({events, load, atMs}: ArrivedEvents): void {
		if (events === 0) {
			return;
		}

		if (this.eventCount === 0) {
			this.#firstMs = atMs;
			this.#firstEventCount = events;
		}

		this.eventCount += events;
		this.#lastMs = atMs;
		this.#loadSum += load;
		this.#loadSamples += 1;
		this.#maxLoad = Math.max(this.#maxLoad, load);
	}
}
