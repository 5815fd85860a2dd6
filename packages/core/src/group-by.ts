/** Groups items by key. The groups and the items of each group stay in the order in which they were given. */
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
