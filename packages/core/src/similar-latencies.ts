/**
 * Engines that are about as fast. Paces are learned, so small differences between them mean nothing, and a choice by the least of them would
 * jump to and fro.
 */

/** Paces that differ by less are the same for all that is known. */
const samePart = 0.15;

/** Items that are about as quick as the quickest one. */
export const findNearFastest = <Item>(items: readonly Item[], msPerTokenOf: (item: Item) => number): Item[] => {
	const quickest = Math.min(...items.map(item => msPerTokenOf(item)));
	return items.filter(item => msPerTokenOf(item) <= quickest * (1 + samePart));
};

/** Items that are about as slow as the slowest one. */
export const findNearSlowest = <Item>(items: readonly Item[], msPerTokenOf: (item: Item) => number): Item[] => {
	const slowest = Math.max(...items.map(item => msPerTokenOf(item)));
	return items.filter(item => msPerTokenOf(item) * (1 + samePart) >= slowest);
};
