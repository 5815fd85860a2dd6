/**
 * Finds configuration objects by name. There are four naming schemes: the canonical name and the inherited `dotted`, `path`
 * and `code` names. Their syntaxes are disjoint, so one table holds the names of all schemes. A canonical name is unique
 * among the objects of its kind; an inherited name is unique among all objects.
 */
import type {ConfigObject, ObjectId, ObjectKind} from '@hawthorncleat/schema';
import {objectKey, sortObjects, type ObjectOf} from './objects.js';

/** A name of an object and the field that contains it. */
export type NameEntry = {readonly field: string; readonly name: string};

/** A name that two objects have, although it must be unique. */
export type NameClash = NameEntry & {readonly object: ConfigObject; readonly other: ConfigObject};

/** Finds objects by any of their names. */
export type NameIndex = {
	readonly clashes: readonly NameClash[];
	resolve<Kind extends ObjectKind>(kind: Kind, name: string): ObjectOf<Kind> | undefined;
	/** Finds the objects of any kind with this name. A canonical name may belong to several objects of different kinds. */
	resolveAnyKind(name: string): readonly ConfigObject[];
};

/** Returns the inherited names of an object. Some kinds have none. */
export const inheritedNames = (object: ConfigObject): NameEntry[] => {
	const names = 'names' in object ? object.names ?? {} : {};
	return Object.entries(names).map(([scheme, name]) => ({field: `names/${scheme}`, name: name as string}));
};

/** Returns all names of an object, the canonical one first. */
export const allNames = (object: ConfigObject): NameEntry[] =>
	[{field: 'name', name: object.name}, ...inheritedNames(object)];

const isCanonical = (field: string): boolean => field === 'name';

const conflictsWith = (entry: NameEntry, object: ConfigObject, other: ConfigObject): boolean =>
	objectKey(object) !== objectKey(other) && (!isCanonical(entry.field) || object.kind === other.kind);

/** Finds an object by kind and canonical name. */
export type FindObject = (id: ObjectId) => ConfigObject | undefined;

/** There are many objects of these kinds, so they need not be among the objects of an index. */
const kindsWithoutInheritedNames = ['client-account', 'key'] as const satisfies readonly ObjectKind[];

const findNothing: FindObject = () => undefined;

/**
 * Builds the name index of a set of objects and lists the names that are not unique. Accounts and keys that are not in the
 * set are looked up with `findOther`. They have only canonical names, which cannot clash.
 */
export const createNameIndex = (objects: readonly ConfigObject[], findOther: FindObject = findNothing): NameIndex => {
	const byName = new Map<string, ConfigObject[]>();
	const clashes: NameClash[] = [];
	const add = (object: ConfigObject, entry: NameEntry): void => {
		const holders = byName.get(entry.name);
		if (!holders) {
			byName.set(entry.name, [object]);
			return;
		}

		const other = holders.find(holder => conflictsWith(entry, object, holder));
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

	const resolveAnyKind = (name: string): readonly ConfigObject[] => {
		const holders = byName.get(name) ?? [];
		const othersFound = kindsWithoutInheritedNames
			.filter(kind => !holders.some(holder => holder.kind === kind))
			.map(kind => findOther({kind, name}))
			.filter(object => object !== undefined);
		return othersFound.length === 0 ? holders : sortObjects([...othersFound, ...holders]);
	};

	return {
		resolve: <Kind extends ObjectKind>(kind: Kind, name: string) =>
			resolveAnyKind(name).find((object): object is ObjectOf<Kind> => object.kind === kind),
		resolveAnyKind,
		clashes,
	};
};
