/** Checks of values that come from outside: from JSON of the store, of other entries and of the platform. */

export type Fields = Readonly<Record<string, unknown>>;

export const isFields = (value: unknown): value is Fields => typeof value === 'object' && value !== null && !Array.isArray(value);

export const isText = (value: unknown): value is string => typeof value === 'string';

/** A finite number that is not negative. */
export const isAmount = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0;

export const isListOf = <Item>(value: unknown, isItem: (item: unknown) => item is Item): value is readonly Item[] => Array.isArray(value) && value.every(item => isItem(item));

/** Parses JSON; undefined if the text is none. */
export const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		// The callers treat undefined like any other invalid value.
		return undefined;
	}
};
