/**
 * Reads the configuration from the platform's store: the head row, which names the latest version, and the deltas and
 * snapshots that it refers to.
 */
import {
	BaseError, createConfigView, emptySnapshot, type AdvancingView, type ConfigUpdate, type MakeId,
} from '@hawthorncleat/core';
import {
	validate, validators, type Delta, type Head, type Snapshot, type Validator,
} from '@hawthorncleat/schema';
import type {ObjectStore, Table} from './store.js';

/** Key of the table row that names the active version. */
export const headKey = 'config/head';

/** The head with the version of its row, which a conditional write checks; null means that the row does not exist yet. */
export type HeadRow = {readonly head: Head; readonly rowVersion: number | null};

export type ConfigStoreOptions = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly makeId: MakeId;
};

/** The update from a requested version to the head. */
export type FetchedUpdate = {readonly head: Head} & ConfigUpdate;

/** Reads the head and updates; the publisher uses it too. */
export type ConfigReader = {
	readHead(): Promise<HeadRow>;
	/** Reads the deltas after `version`, or a snapshot and the deltas after it if the head no longer lists them all. */
	fetchUpdate(head: Head, version: number): Promise<FetchedUpdate>;
};

const emptyHead: Head = {
	version: 0, writeId: '', snapshotKey: null, snapshotVersion: 0, deltaKeys: [],
};

/** Creates the error for stored content that is invalid or inconsistent. */
export const createInvalidContentError = (message: string): Error => new BaseError(message);

const parse = <Value>(validator: unknown, value: unknown, key: string): Value => {
	const checked = validate<Value>(validator as Validator, value);
	if (checked.ok) {
		return checked.value;
	}

	const [finding] = checked.findings;
	throw createInvalidContentError(`${key} in the store is not valid: ${finding?.place ?? ''} ${finding?.problem ?? ''}`);
};

const readDelta = async (objects: ObjectStore, key: string): Promise<Delta> =>
	parse(validators.validateDelta, await objects.read(key), key);

const readSnapshot = async (objects: ObjectStore, {snapshotKey}: Head): Promise<Snapshot> =>
	snapshotKey === null
		? emptySnapshot
		: parse(validators.validateSnapshot, await objects.read(snapshotKey), snapshotKey);

/** Returns the keys of the deltas after a version, or undefined if the head no longer lists all of them. */
const deltaKeysAfter = ({version: newest, deltaKeys}: Head, version: number): readonly string[] | undefined => {
	const missingVersions = Math.max(0, newest - version);
	return missingVersions <= deltaKeys.length ? deltaKeys.slice(deltaKeys.length - missingVersions) : undefined;
};

export const createConfigReader = ({table, objects}: ConfigStoreOptions): ConfigReader => ({
	async readHead() {
		const row = await table.read(headKey);
		return row
			? {head: parse(validators.validateHead, row.value, headKey), rowVersion: row.version}
			: {head: emptyHead, rowVersion: null};
	},
	async fetchUpdate(head, version) {
		const readAll = async (keys: readonly string[]): Promise<Delta[]> =>
			Promise.all(keys.map(async key => readDelta(objects, key)));
		const keys = deltaKeysAfter(head, version);
		if (keys) {
			return {head, deltas: await readAll(keys)};
		}

		const snapshot = await readSnapshot(objects, head);
		return {head, snapshot, deltas: await readAll(deltaKeysAfter(head, snapshot.version) ?? [])};
	},
});

/** Returns the view after an update. `base` is the view at the version for which the update was fetched. */
export const applyUpdate = (base: AdvancingView, {snapshot, deltas = []}: ConfigUpdate): AdvancingView => {
	let view = snapshot ? createConfigView(snapshot) : base;
	for (const delta of deltas) {
		view = view.advance(delta);
	}

	return view;
};
