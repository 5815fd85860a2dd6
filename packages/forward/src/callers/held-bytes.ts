/**
 * The memory budget of callers: whoever keeps bytes for a caller takes them from it first. A group of callers, such as a client account or an address,
 * may take as much as is still free, so that one group leaves half of the budget to others and any number of groups leave a part to the next one.
 * The first bytes of a request may take a multiple of that, so that small requests get in while large ones are refused.
 */

/** What one request may hold as a small one. */
export const smallBytes = 65_536;
/** Bytes of a group for each byte that stays free. */
const largeFactor = 1;
const smallFactor = 8;

export class HeldBytes {
	readonly #capacity: number;
	readonly #byGroup = new Map<string, number>();
	#held = 0;
	#refused = 0;

	constructor(capacity: number) {
		this.#capacity = capacity;
	}

	get held(): number {
		return this.#held;
	}

	/** How often bytes were refused since the start. */
	get refused(): number {
		return this.#refused;
	}

	/** Opens the account of one request. `groups` are what it has in common with others. */
	open(groups: readonly string[]): Holding {
		return new Holding(this, groups);
	}

	/** Whether a request that holds `own` bytes could take these too. */
	allows(groups: readonly string[], own: number, bytes: number): boolean {
		const free = this.#capacity - this.#held - bytes;
		const factor = own + bytes <= smallBytes ? smallFactor : largeFactor;
		return free >= 0 && groups.every(group => (this.#byGroup.get(group) ?? 0) + bytes <= free * factor);
	}

	recordRefusal(): void {
		this.#refused += 1;
	}

	/** Adds taken bytes, or negative ones that were given back. */
	add(groups: readonly string[], bytes: number): void {
		this.#held += bytes;
		for (const group of groups) {
			const held = (this.#byGroup.get(group) ?? 0) + bytes;
			if (held > 0) {
				this.#byGroup.set(group, held);
			} else {
				this.#byGroup.delete(group);
			}
		}
	}
}

/** What one request holds. */
export class Holding {
	readonly #budget: HeldBytes;
	readonly #groups: readonly string[];
	#bytes = 0;
	#isReleased = false;

	constructor(budget: HeldBytes, groups: readonly string[]) {
		this.#budget = budget;
		this.#groups = groups;
	}

	get bytes(): number {
		return this.#bytes;
	}

	/** Whether these bytes could be taken now. */
	allows(bytes: number): boolean {
		return !this.#isReleased && this.#budget.allows(this.#groups, this.#bytes, bytes);
	}

	/** Takes bytes before they are kept; false if there is no room for them. */
	take(bytes: number): boolean {
		if (!this.allows(bytes)) {
			this.#budget.recordRefusal();
			return false;
		}

		this.#bytes += bytes;
		this.#budget.add(this.#groups, bytes);
		return true;
	}

	/** Gives part of the bytes back. A reader that ends after the request was released has none left to give. */
	give(bytes: number): void {
		const given = Math.max(0, Math.min(bytes, this.#bytes));
		this.#bytes -= given;
		this.#budget.add(this.#groups, -given);
	}

	/** Gives everything back. Nothing can be taken afterwards. */
	release(): void {
		this.give(this.#bytes);
		this.#isReleased = true;
	}
}
