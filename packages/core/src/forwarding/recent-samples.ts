/**
 * A ring buffer of the most recent samples, in no particular order.
 */

/** Enough samples to estimate a 90th percentile; older samples may stem from another mix of requests. */
const maxSamples = 100;

export class RecentSamples<Sample> {
	readonly samples: Sample[] = [];
	#nextIndex = 0;

	add(sample: Sample): void {
		this.samples[this.#nextIndex] = sample;
		this.#nextIndex = (this.#nextIndex + 1) % maxSamples;
	}
}
