/**
 * Which of two engines a refused split request speaks against. The decode engine refuses when it takes no work, as one does
 * whose role changes, and also when it cannot fetch the KV cache from the engine that prefilled. One refusal does not tell these
 * apart; refusals with different partners do.
 */

/** Partners with which requests of one engine were refused, since one was served. */
export class SplitRejections {
	readonly #partners = new Set<string>();

	/** A request over this engine and its partner has run. */
	recordSuccess(): void {
		this.#partners.clear();
	}

	/** Notes a refusal; returns whether it speaks against this engine. */
	recordRejection(partner: string): boolean {
		this.#partners.add(partner);
		return this.#partners.size > 1;
	}
}
