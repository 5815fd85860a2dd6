/**
 * Builds the immutable view in which daemons look up keys and routes: from a checked snapshot, or from the previous view and
 * a delta. A new view shares the unchanged data with the previous one, so that a small change costs little.
 */
import type {
	Change, ConfigObject, Delta, Key, ObjectId, Snapshot,
} from '@hawthorncleat/schema';
import {brandAs, type ConfigVersion} from '../ids.js';
import {createLayeredMap, type LayeredMap} from './layered-map.js';
import {
	objectKey, objectsOfKind, sortObjects, type ObjectOf,
} from './objects.js';
import {createRouteIndex, type RouteIndex} from './route-index.js';
import type {ConfigView, ResolvedKey} from './view.js';

/** The schema's default weight of a client account. */
export const defaultWeight = 1;

/** A view from which the next one can be built, with the lookups that the check of the next change needs. */
export type AdvancingView = ConfigView & {
	findObject(id: ObjectId): ConfigObject | undefined;
	/** All objects except accounts and keys, in no particular order. */
	fleetObjects(): Iterable<ConfigObject>;
	/** All objects, in no particular order. */
	allObjects(): Iterable<ConfigObject>;
	/** Builds the next view from the delta of the next version. */
	advance(delta: Delta): AdvancingView;
};

type ViewData = {
	readonly version: number;
	readonly objects: LayeredMap<ConfigObject>;
	readonly keys: LayeredMap<Key>;
	/** All objects except accounts and keys, which are few. */
	readonly fleet: ReadonlyMap<string, ConfigObject>;
	readonly routes: RouteIndex;
};

type ObjectChanges = ReadonlyMap<string, ConfigObject | undefined>;

const isFleetKey = (key: string): boolean => !key.startsWith('client-account:') && !key.startsWith('key:');

const createViewData = ({version, objects}: Snapshot): ViewData => {
	const entries = objects.map(object => [objectKey(object), object] as const);
	const fleet = new Map(entries.filter(([key]) => isFleetKey(key)));
	return {
		version,
		objects: createLayeredMap(new Map(entries)),
		keys: createLayeredMap(new Map(objectsOfKind(objects, 'key').map(key => [key.hash, key]))),
		fleet,
		routes: createRouteIndex(sortObjects(fleet.values())),
	};
};

const listChanges = ({put = [], delete: deleted = []}: Change): ObjectChanges => new Map<string, ConfigObject | undefined>([
	...deleted.map(id => [objectKey(id), undefined] as const),
	...put.map(object => [objectKey(object), object] as const),
]);

/** Old hashes are removed before new ones are set, because a hash may move from one key to another. */
const listKeyChanges = ({objects}: ViewData, changes: ObjectChanges): Map<string, Key | undefined> => {
	const removed = [...changes.keys()].map(key => objects.get(key)).filter(object => object?.kind === 'key');
	const added = [...changes.values()].filter(object => object?.kind === 'key');
	return new Map<string, Key | undefined>([
		...removed.map(key => [key.hash, undefined] as const),
		...added.map(key => [key.hash, key] as const),
	]);
};

const advanceFleet = ({fleet, routes}: ViewData, changes: ObjectChanges): Pick<ViewData, 'fleet' | 'routes'> => {
	const fleetChanges = [...changes].filter(([key]) => isFleetKey(key));
	if (fleetChanges.length === 0) {
		return {fleet, routes};
	}

	const next = new Map(fleet);
	for (const [key, object] of fleetChanges) {
		if (object) {
			next.set(key, object);
		} else {
			next.delete(key);
		}
	}

	return {fleet: next, routes: createRouteIndex(sortObjects(next.values()))};
};

const advanceViewData = (data: ViewData, {version, change}: Delta): ViewData => {
	if (version !== data.version + 1) {
		throw new RangeError(`delta of version ${version} does not follow version ${data.version}`);
	}

	const changes = listChanges(change);
	return {
		version,
		objects: data.objects.with(changes),
		keys: data.keys.with(listKeyChanges(data, changes)),
		...advanceFleet(data, changes),
	};
};

const findKey = ({keys, objects}: ViewData, hash: string): ResolvedKey | undefined => {
	const key = keys.get(hash);
	const account = key && objects.get(objectKey({kind: 'client-account', name: key.account}));
	if (!key || !account) {
		return undefined;
	}

	const found = account as ObjectOf<'client-account'>;
	return {key, account: {...found, weight: found.weight ?? defaultWeight}};
};

/** The snapshot is built on first use, because sorting all objects is slow and the snapshot of most views is never used. */
const createView = (data: ViewData, existingSnapshot?: Snapshot): AdvancingView => {
	let snapshot = existingSnapshot;
	return {
		version: brandAs<ConfigVersion>(data.version),
		get snapshot() {
			snapshot ??= {version: data.version, objects: sortObjects(data.objects.values())};
			return snapshot;
		},
		findKey: hash => findKey(data, hash),
		findObject: id => data.objects.get(objectKey(id)),
		fleetObjects: () => data.fleet.values(),
		allObjects: () => data.objects.values(),
		...data.routes,
		advance: delta => createView(advanceViewData(data, delta)),
	};
};

/** Creates the view of one version. */
export const createConfigView = (snapshot: Snapshot): AdvancingView => createView(createViewData(snapshot), snapshot);
