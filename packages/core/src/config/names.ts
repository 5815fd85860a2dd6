/**
 * Names in four schemes: the canonical name and the inherited `dotted`, `path` and `code` names. The schemes have
 * disjoint syntaxes, so one table per kind holds all of them. A canonical name is unique among objects of its kind; an
 * inherited name is unique among all objects.
 */
import type {ConfigObject, ObjectKind} from '@hawthorncleat/schema';
import {objectKey, type ObjectOf} from './objects.js';

/** A name of an object with the field in which it stands. */
export type NameEntry = {readonly field: string; readonly name: string};

/** A name that two objects claim. */
export type NameClash = NameEntry & {readonly object: ConfigObject; readonly other: ConfigObject};

/** Finds objects by any of their names. */
export type NameIndex = {
	readonly clashes: readonly NameClash[];
	resolve<Kind extends ObjectKind>(kind: Kind, name: string): ObjectOf<Kind> | undefined;
	/** Finds an object of any kind; a canonical name may then lead to several. */
	resolveAnyKind(name: string): readonly ConfigObject[];
};

/** Inherited names of an object, empty for kinds that have none. */
export const inheritedNames = (object: ConfigObject): NameEntry[] => {
	const names = 'names' in object ? object.names ?? {} : {};
	return Object.entries(names).map(([scheme, name]) => ({field: `names/${scheme}`, name: name as string}));
};

/** All names of an object, the canonical one first. */
export const allNames = (object: ConfigObject): NameEntry[] =>
	[{field: 'name', name: object.name}, ...inheritedNames(object)];

const isCanonical = (field: string): boolean => field === 'name';

const claimsSameName = (entry: NameEntry, object: ConfigObject, other: ConfigObject): boolean =>
	objectKey(object) !== objectKey(other) && (!isCanonical(entry.field) || object.kind === other.kind);

/** Builds the name tables of a set of objects and reports names that are claimed twice. */
export const createNameIndex = (objects: readonly ConfigObject[]): NameIndex => {
	const byName = new Map<string, ConfigObject[]>();
	const clashes: NameClash[] = [];
	const add = (object: ConfigObject, entry: NameEntry): void => {
		const holders = byName.get(entry.name);
		if (!holders) {
			byName.set(entry.name, [object]);
			return;
		}

		const other = holders.find(holder => claimsSameName(entry, object, holder));
		if (other) {
			clashes.push({...entry, object, other});
		}

		holders.push(object);
	};

	for (const object of objects) {
		for (const entry of allNames(object)) {
			add(object, entry);
		}
	}

	return {
		resolve: <Kind extends ObjectKind>(kind: Kind, name: string) =>
			byName.get(name)?.find((object): object is ObjectOf<Kind> => object.kind === kind),
		resolveAnyKind: name => byName.get(name) ?? [],
		clashes,
	};
};
