/**
 * An immutable map in two layers: a large lower layer and a small upper layer with the recent changes. A changed map shares
 * the lower layer with its predecessor, so that a change of a few objects does not copy 48,000 accounts and their keys.
 */

/** An immutable map. */
export type LayeredMap<Value> = {
	get(key: string): Value | undefined;
	values(): Iterable<Value>;
	/** Returns a map with these changes applied. The value undefined removes an entry. */
	with(changes: ReadonlyMap<string, Value | undefined>): LayeredMap<Value>;
};

/**
 * Largest size of the upper layer, which is copied at each change. Above it the layers are merged, which costs about as much as
 * this many copies of the upper layer.
 */
const maxUpperEntries = 500;

const mergeLayers = <Value>(
	lower: ReadonlyMap<string, Value>,
	upper: ReadonlyMap<string, Value | undefined>,
): Map<string, Value> => {
	const merged = new Map(lower);
	for (const [key, value] of upper) {
		if (value === undefined) {
			merged.delete(key);
		} else {
			merged.set(key, value);
		}
	}

	return merged;
};

/** Creates a map from its two layers. */
export const createLayeredMap = <Value>(
	lower: ReadonlyMap<string, Value>,
	upper: ReadonlyMap<string, Value | undefined> = new Map(),
): LayeredMap<Value> => ({
	get: key => (upper.has(key) ? upper.get(key) : lower.get(key)),
	values: () => mergeLayers(lower, upper).values(),
	with(changes) {
		const next = new Map([...upper, ...changes]);
		return next.size > maxUpperEntries
			? createLayeredMap(mergeLayers(lower, next))
			: createLayeredMap(lower, next);
	},
});
