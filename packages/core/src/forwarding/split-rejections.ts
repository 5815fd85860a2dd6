/**
 * Finds out which of the two engines of a rejected split request is at fault. The decode engine rejects a request when it takes no work, for
 * example while its role changes, and also when it cannot fetch the KV cache from the prefill engine. A single rejection does not show
 * which; rejections with different partners do.
 */

/** Partners with which requests of one engine were rejected since its last success. */
export class SplitRejections {
	readonly #partners = new Set<string>();

	/** A request has run on this engine and a partner. */
	recordSuccess(): void {
		this.#partners.clear();
	}

	/** Records a rejection; returns whether this engine is at fault. */
	recordRejection(partner: string): boolean {
		this.#partners.add(partner);
		return this.#partners.size > 1;
	}
}
