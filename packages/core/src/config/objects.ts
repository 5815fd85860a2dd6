/**
 * Identity and order of configuration objects. An object is identified by its kind and its canonical name together.
 */
import {createHash} from 'node:crypto';
import type {Change, ConfigObject, ObjectId} from '@hawthorncleat/schema';
import {brandAs, type KeyHash} from '../ids.js';

/** Type of the objects of one kind. */
export type ObjectOf<Kind extends ConfigObject['kind']> = Extract<ConfigObject, {kind: Kind}>;

/** Returns a string that identifies an object. It is unambiguous because canonical names contain no colon. */
export const objectKey = ({kind, name}: ObjectId): string => `${kind}:${name}`;

/** Returns the objects of one kind, in the order in which they were given. */
export const objectsOfKind = <Kind extends ConfigObject['kind']>(
	objects: readonly ConfigObject[],
	kind: Kind,
): Array<ObjectOf<Kind>> =>
	objects.filter((object): object is ObjectOf<Kind> => object.kind === kind);

/** Sorts objects by kind and name, so that equal configurations have equal snapshots. */
export const sortObjects = (objects: Iterable<ConfigObject>): ConfigObject[] => {
	const keyed = [...objects].map(object => ({object, key: objectKey(object)}));
	keyed.sort((a, b) => (a.key < b.key ? -1 : Number(a.key > b.key)));
	return keyed.map(({object}) => object);
};

/** Returns the identities of all objects that a change creates, replaces or deletes. */
export const touchedObjects = (change: Change): ObjectId[] =>
	[...change.put ?? [], ...change.delete ?? []].map(({kind, name}) => ({kind, name}));

/** Returns the stored form of a key, its SHA-256 in hex. Neither the store nor a log ever contains a usable key. */
export const hashKey = (key: string): KeyHash => brandAs<KeyHash>(createHash('sha256').update(key).digest('hex'));
