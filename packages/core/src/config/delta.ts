/**
 * Differences between versions of the configuration: computing, applying and comparing changes.
 */
import {isDeepStrictEqual} from 'node:util';
import type {
	Change, ConfigObject, Delta, ObjectId, Snapshot,
} from '@hawthorncleat/schema';
import {objectKey, sortObjects, touchedObjects} from './objects.js';

/** The configuration before the first change. */
export const emptySnapshot: Snapshot = {version: 0, objects: []};

const changeObjects = (byKey: Map<string, ConfigObject>, change: Change): void => {
	for (const id of change.delete ?? []) {
		byKey.delete(objectKey(id));
	}

	for (const object of change.put ?? []) {
		byKey.set(objectKey(object), object);
	}
};

/** The objects of a snapshot after a change, in order; the change is taken to be checked. */
export const applyChange = (objects: readonly ConfigObject[], change: Change): ConfigObject[] => {
	const byKey = new Map(objects.map(object => [objectKey(object), object]));
	changeObjects(byKey, change);
	return sortObjects(byKey.values());
};

/** Applies consecutive deltas; the objects are sorted once. */
export const applyDeltas = (snapshot: Snapshot, deltas: readonly Delta[]): Snapshot => {
	const byKey = new Map(snapshot.objects.map(object => [objectKey(object), object]));
	let {version} = snapshot;
	for (const delta of deltas) {
		if (delta.version !== version + 1) {
			throw new RangeError(`delta of version ${delta.version} does not follow version ${version}`);
		}

		version = delta.version;
		changeObjects(byKey, delta.change);
	}

	return {version, objects: sortObjects(byKey.values())};
};

/** Applies the delta of the next version. Throws when the delta belongs to another version. */
export const applyDelta = (snapshot: Snapshot, delta: Delta): Snapshot => applyDeltas(snapshot, [delta]);

/** The change that turns one snapshot into another. */
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

/** Objects that both changes create, replace or delete. */
export const overlappingObjects = (a: Change, b: Change): ObjectId[] => {
	const inB = new Set(touchedObjects(b).map(id => objectKey(id)));
	return touchedObjects(a).filter(id => inB.has(objectKey(id)));
};
