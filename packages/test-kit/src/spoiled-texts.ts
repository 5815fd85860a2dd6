/** Texts that a reader of values from outside may meet: arbitrary ones, arbitrary JSON, and a sound value with one part changed or left out. */
import fc from 'fast-check';

type Path = ReadonlyArray<number | string>;

/** Paths of all values in a value. */
const pathsOf = (value: unknown, path: Path = []): Path[] => [
	path,
	...typeof value === 'object' && value !== null ? Object.entries(value).flatMap(([key, inner]) => pathsOf(inner, [...path, key])) : [],
];

const replaceAt = (value: unknown, [key, ...rest]: Path, changed: unknown): unknown => {
	if (key === undefined) {
		return changed;
	}

	const copy = Array.isArray(value) ? [...value as unknown[]] : {...value as object};
	const fields = copy as Record<string, unknown>;
	fields[key] = replaceAt(fields[key], rest, changed);
	return copy;
};

/** Texts around the JSON of a sound value. */
export const spoiledTexts = (sound: unknown): fc.Arbitrary<string> => {
	const paths = pathsOf(sound);
	const changed = fc.tuple(fc.constantFrom(...paths), fc.oneof(fc.jsonValue({maxDepth: 2}), fc.constant(undefined)))
		.map(([path, value]) => JSON.stringify(replaceAt(sound, path, value)) ?? '');
	return fc.oneof(fc.string(), fc.json({maxDepth: 3}), changed);
};
