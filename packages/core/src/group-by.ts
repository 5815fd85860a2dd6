/** Divides items into groups of equal keys; groups and items keep their order. */
export const groupBy = <Item>(items: Iterable<Item>, keyOf: (item: Item) => string): Map<string, Item[]> => {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		const group = groups.get(key) ?? [];
		group.push(item);
		groups.set(key, group);
	}

	return groups;
};
