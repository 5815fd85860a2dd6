/**
 * The course of one stream at one engine: how many events came in which time, and how loaded the engine was meanwhile.
 */
import type {StreamView} from './forward-types.js';

export type ArrivedEvents = {
	/** Whole events that came together; none when it was only a part of one. */
	readonly events: number;
	/** Load of the engine at that moment. */
	readonly load: number;
	readonly atMs: number;
};

export class StreamProgress {
	eventCount = 0;
	/** Events that came together first; they had been made before. */
	#firstEvents = 0;
	#firstMs = 0;
	#lastMs = 0;
	#loadSum = 0;
	#loads = 0;
	#maxLoad = 0;

	/** Events that came after the first ones. */
	get laterEventCount(): number {
		return this.eventCount - this.#firstEvents;
	}

	/** Time in which those came. */
	get laterEventsMs(): number {
		return this.#lastMs - this.#firstMs;
	}

	get meanLoad(): number {
		return this.#loadSum / Math.max(1, this.#loads);
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
			this.#firstEvents = events;
		}

		this.eventCount += events;
		this.#lastMs = atMs;
		this.#loadSum += load;
		this.#loads += 1;
		this.#maxLoad = Math.max(this.#maxLoad, load);
	}
}
