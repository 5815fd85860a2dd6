/**
 * Finds the engines whose decode latency is close to the lowest or to the highest one. The latencies are estimates, so small
 * differences are noise, and a choice of the very lowest estimate would alternate between equal engines.
 */

/** Latencies within this fraction of each other count as equal, because the estimates are no more accurate. */
const toleranceFraction = 0.15;

/** Returns the items whose latency is within the tolerance of the lowest one. */
export const findNearFastest = <Item>(items: readonly Item[], msPerTokenOf: (item: Item) => number): Item[] => {
	const lowestMs = Math.min(...items.map(item => msPerTokenOf(item)));
	return items.filter(item => msPerTokenOf(item) <= lowestMs * (1 + toleranceFraction));
};

/** Returns the items whose latency is within the tolerance of the highest one. */
export const findNearSlowest = <Item>(items: readonly Item[], msPerTokenOf: (item: Item) => number): Item[] => {
	const highestMs = Math.max(...items.map(item => msPerTokenOf(item)));
	return items.filter(item => msPerTokenOf(item) * (1 + toleranceFraction) >= highestMs);
};
