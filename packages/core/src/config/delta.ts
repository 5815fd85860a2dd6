/**
 * Computes the change between two versions of the configuration, and the objects that two changes have in common.
 */
import {isDeepStrictEqual} from 'node:util';
import type {
	Change, ObjectId, Snapshot,
} from '@hawthorncleat/schema';
import {objectKey, touchedObjects} from './objects.js';

/** The configuration before the first change. */
export const emptySnapshot: Snapshot = {version: 0, objects: []};

/** Returns the change that turns one snapshot into another. */
export const diffSnapshots = (from: Snapshot, to: Snapshot): Change => {
	const before = new Map(from.objects.map(object => [objectKey(object), object]));
	const after = new Set(to.objects.map(object => objectKey(object)));
	return {
		put: to.objects.filter(object => !isDeepStrictEqual(before.get(objectKey(object)), object)),
		delete: from.objects
			.filter(object => !after.has(objectKey(object)))
			.map(({kind, name}) => ({kind, name})),
	};
};

/** Returns the objects that both changes create, replace or delete. */
export const overlappingObjects = (a: Change, b: Change): ObjectId[] => {
	const inB = new Set(touchedObjects(b).map(id => objectKey(id)));
	return touchedObjects(a).filter(id => inB.has(objectKey(id)));
};
