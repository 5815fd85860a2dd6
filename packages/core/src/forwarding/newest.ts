/**
 * A list that keeps the newest items.
 */

/** So many tell the largest tenth of something; older ones may be of another mix. */
const keptItems = 100;

export class Newest<Item> {
	readonly items: Item[] = [];
	#next = 0;

	add(item: Item): void {
		this.items[this.#next] = item;
		this.#next = (this.#next + 1) % keptItems;
	}
}
