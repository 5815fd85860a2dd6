/**
 * A list that keeps the newest items.
 */

/** So many tell the largest tenth of something; older ones may be of another mix. */
const keptItems = 100;

export class RecentSamples<Item> {
	readonly samples: Item[] = [];
	#next = 0;

	add(item: Item): void {
		this.samples[this.#next] = item;
		this.#next = (this.#next + 1) % keptItems;
	}
}
