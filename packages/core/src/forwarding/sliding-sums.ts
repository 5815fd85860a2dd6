/**
 * Sums over a sliding window of time, kept in buckets of equal length that are used again.
 */

export type SlidingSumsOptions<Name extends string> = {
	readonly windowMs: number;
	readonly buckets: number;
	readonly names: readonly Name[];
};

export class SlidingSums<Name extends string> {
	readonly #options: SlidingSumsOptions<Name>;
	readonly #buckets: Array<{index: number; sums: Record<Name, number>}>;

	constructor(options: SlidingSumsOptions<Name>) {
		this.#options = options;
		this.#buckets = Array.from({length: options.buckets}, () => ({index: -1, sums: this.#zeros()}));
	}

	/** Adds to the sums of the present moment. The function returned takes amounts back, unless their bucket is in use again for a later time. */
	add(nowMs: number, amounts: Readonly<Partial<Record<Name, number>>>): (unused: Readonly<Partial<Record<Name, number>>>) => void {
		const index = this.#indexAt(nowMs);
		const bucket = this.#buckets[index % this.#options.buckets]!;
		if (bucket.index !== index) {
			bucket.index = index;
			bucket.sums = this.#zeros();
		}

		const {sums} = bucket;
		this.#change(sums, amounts, 1);
		return unused => {
			this.#change(sums, unused, -1);
		};
	}

	/** The sums over the window that ends now. */
	totals(nowMs: number): Readonly<Record<Name, number>> {
		const index = this.#indexAt(nowMs);
		const totals = this.#zeros();
		for (const bucket of this.#buckets) {
			if (bucket.index > index - this.#options.buckets) {
				this.#change(totals, bucket.sums, 1);
			}
		}

		return totals;
	}

	#indexAt(nowMs: number): number {
		return Math.floor(nowMs * this.#options.buckets / this.#options.windowMs);
	}

	#zeros(): Record<Name, number> {
		return Object.fromEntries(this.#options.names.map(name => [name, 0])) as Record<Name, number>;
	}

	#change(sums: Record<Name, number>, amounts: Readonly<Partial<Record<Name, number>>>, sign: 1 | -1): void {
		for (const name of this.#options.names) {
			sums[name] += sign * (amounts[name] ?? 0);
		}
	}
}
