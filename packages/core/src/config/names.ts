/**
 * Names in four schemes: the canonical name and the inherited `dotted`, `path` and `code` names. The schemes have
 * disjoint syntaxes, so one table per kind holds all of them. A canonical name is unique among objects of its kind; an
 * inherited name is unique among all objects.
 */
import type {ConfigObject, ObjectId, ObjectKind} from '@hawthorncleat/schema';
import {objectKey, sortObjects, type ObjectOf} from './objects.js';

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

/** Finds an object by kind and canonical name. */
export type FindObject = (id: ObjectId) => ConfigObject | undefined;

/** Kinds without inherited names, of which there are many objects. */
const manyKinds = ['client-account', 'key'] as const satisfies readonly ObjectKind[];

const findNothing: FindObject = () => undefined;

/**
 * Builds the name tables of a set of objects and reports names that are claimed twice. Accounts and keys that are not in
 * the set are found by `findOther`: they have canonical names only, which never clash.
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

	const resolveAnyKind = (name: string): readonly ConfigObject[] => {
		const holders = byName.get(name) ?? [];
		const others = manyKinds
			.filter(kind => !holders.some(holder => holder.kind === kind))
			.map(kind => findOther({kind, name}))
			.filter(object => object !== undefined);
		return others.length === 0 ? holders : sortObjects([...others, ...holders]);
	};

	return {
		resolve: <Kind extends ObjectKind>(kind: Kind, name: string) =>
			resolveAnyKind(name).find((object): object is ObjectOf<Kind> => object.kind === kind),
		resolveAnyKind,
		clashes,
	};
};
