/** Returns the value of a key. If the map has none, creates and stores it first. */
export const getOrCreate = <Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value => {
	const existing = map.get(key);
	if (existing !== undefined) {
		return existing;
	}

	const created = create();
	map.set(key, created);
	return created;
};
