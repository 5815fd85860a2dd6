/**
 * Reading of the configuration from the platform's store: the head row, deltas and snapshots.
 */
import {
	BaseError, createConfigView, emptySnapshot, type AdvancingView, type ConfigUpdate, type MakeId,
} from '@hawthorncleat/core';
import {
	check, validators, type Delta, type Head, type Snapshot, type Validator,
} from '@hawthorncleat/schema';
import type {ObjectStore, Table} from './store.js';

/** Key of the row that names the version in force. */
export const headKey = 'config/head';

/** The head with the version of its row, which a conditional write checks; null means that there is no row yet. */
export type HeadRow = {readonly head: Head; readonly rowVersion: number | null};

/** Parts that the store is made of. */
export type ConfigStoreOptions = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly makeId: MakeId;
};

/** What leads from a version to the head. */
export type FetchedUpdate = {readonly head: Head} & ConfigUpdate;

/** Reading side of the store, as the publishing side uses it. */
export type ConfigReader = {
	readHead(): Promise<HeadRow>;
	fetchUpdate(head: Head, version: number): Promise<FetchedUpdate>;
};

const emptyHead: Head = {
	version: 0, writeId: '', snapshotKey: null, snapshotVersion: 0, deltaKeys: [],
};

/** Creates the error for a store whose content contradicts itself. */
export const createInvalidContentError = (message: string): Error => new BaseError(message);

const parse = <Value>(validator: unknown, value: unknown, key: string): Value => {
	const checked = check<Value>(validator as Validator, value);
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

/** Keys of the deltas after a version, or undefined when the head no longer lists all of them. */
const deltaKeysAfter = ({version: newest, deltaKeys}: Head, version: number): readonly string[] | undefined => {
	const missing = Math.max(0, newest - version);
	return missing <= deltaKeys.length ? deltaKeys.slice(deltaKeys.length - missing) : undefined;
};

/** Creates the reading side. */
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

/** The newest view from a fetched update; the base is the view that the update starts from. */
export const applyUpdate = (base: AdvancingView, {snapshot, deltas = []}: ConfigUpdate): AdvancingView => {
	let view = snapshot ? createConfigView(snapshot) : base;
	for (const delta of deltas) {
		view = view.advance(delta);
	}

	return view;
};
