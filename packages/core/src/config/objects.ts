/**
 * Identity and order of configuration objects. An object is identified by its kind and its canonical name.
 */
import {createHash} from 'node:crypto';
import type {Change, ConfigObject, ObjectId} from '@hawthorncleat/schema';
import {brandAs, type KeyHash} from '../ids.js';

/** The object of one kind. */
export type ObjectOf<Kind extends ConfigObject['kind']> = Extract<ConfigObject, {kind: Kind}>;

/** A string that is equal for equal identities; canonical names contain no colon. */
export const objectKey = ({kind, name}: ObjectId): string => `${kind}:${name}`;

/** All objects of one kind, in their order. */
export const objectsOfKind = <Kind extends ConfigObject['kind']>(
	objects: readonly ConfigObject[],
	kind: Kind,
): Array<ObjectOf<Kind>> =>
	objects.filter((object): object is ObjectOf<Kind> => object.kind === kind);

/** Orders objects by kind and name, so that equal configurations have equal snapshots. */
export const sortObjects = (objects: Iterable<ConfigObject>): ConfigObject[] => {
	const keyed = [...objects].map(object => ({object, key: objectKey(object)}));
	keyed.sort((a, b) => (a.key < b.key ? -1 : Number(a.key > b.key)));
	return keyed.map(({object}) => object);
};

/** Identities of all objects that a change creates, replaces or deletes. */
export const touchedObjects = (change: Change): ObjectId[] =>
	[...change.put ?? [], ...change.delete ?? []].map(({kind, name}) => ({kind, name}));

/** The stored form of a key: SHA-256 in hex, so that neither the store nor a log contains a usable key. */
export const hashKey = (key: string): KeyHash => brandAs<KeyHash>(createHash('sha256').update(key).digest('hex'));
