/**
 * Which connection of a caller yields when a further one would exceed the limit: one without a request, of the address with the most connections, so that an
 * address that opens many takes no room from the others.
 */
export type YieldCandidate = {
	readonly address: string;
	/** A request on it has been read and not answered completely. */
	readonly isServing: boolean;
};

/** The candidate that yields to a further connection from this address; undefined if the new one does. The first of the candidates is the oldest. */
export const pickYielding = <Candidate extends YieldCandidate>(candidates: readonly Candidate[], newAddress: string): Candidate | undefined => {
	const counts = new Map([[newAddress, 1]]);
	for (const {address} of candidates) {
		counts.set(address, (counts.get(address) ?? 0) + 1);
	}

	const free = candidates.filter(({isServing}) => !isServing);
	let most = 0;
	for (const {address} of free) {
		most = Math.max(most, counts.get(address)!);
	}

	return most < counts.get(newAddress)! && !free.some(({address}) => address === newAddress)
		? free.at(0)
		: free.find(({address}) => counts.get(address) === most);
};
