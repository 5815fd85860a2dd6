/**
 * Publishes a configuration change. The change is validated together with the version at the head and written as the next
 * version. If another publisher writes that version first, the change is validated against the new head and written
 * again, unless the versions in between touch the same objects.
 */
import {
	checkChange, diffSnapshots, overlappingObjects, touchedObjects, type AdvancingView, type ChangeCheck, type ConfigFinding,
	type ConfigUpdate,
} from '@hawthorncleat/core';
import {
	validate, validators, type Change, type Head, type ObjectId, type Validator,
} from '@hawthorncleat/schema';
import {
	applyUpdate, createInvalidContentError, headKey, type ConfigReader, type ConfigStoreOptions, type FetchedUpdate, type HeadRow,
} from './config-reader.js';
import {createStoreError, isStoreError} from './store.js';

/** Outcome of a publication. */
export type PublishResult
	= | {
		readonly kind: 'published';
		readonly view: AdvancingView;
		/** The update from the base of the request to the view. */
		readonly update: ConfigUpdate;
		/** False if the change is in the store but too few witnesses have confirmed it. */
		readonly confirmed: boolean;
	}
	| {readonly kind: 'findings'; readonly findings: readonly ConfigFinding[]}
	| {readonly kind: 'conflict'; readonly conflicts: readonly ObjectId[]; readonly version: number};

/** Outcome of an announced version, as it is reported to the witnesses. */
export type AnnouncementOutcome = 'accepted' | 'abandoned' | 'unknown';

/** A change to publish. */
export type PublishRequest = {
	/** The publisher's active version. */
	readonly base: AdvancingView;
	readonly change: unknown;
	/** Announces the version to the witnesses. If it rejects, the publication ends and the head row is not written. */
	readonly announce?: (version: number) => Promise<void>;
	/**
	 * Reports the outcome to the witnesses after each announcement, also after a rejected one. Returns whether the accepted
	 * version is confirmed.
	 */
	readonly reportOutcome?: (outcome: AnnouncementOutcome, version: number) => Promise<boolean>;
};

/** Publishes a change. If it rejects with a `StoreError`, the `outcome` states whether the change may be active. */
export type Publish = (request: PublishRequest) => Promise<PublishResult>;

/** A newly started process reads the newest snapshot and at most this many deltas. */
const snapshotIntervalVersions = 100;

/**
 * The head lists at least this many delta keys, also right after a snapshot. So a writer whose response was lost still
 * finds its own delta there, and a change that is based on a slightly older version can be rebased.
 */
const minListedDeltas = 50;

/** More conflicts in a row mean that something other than operators writes the row. */
const maxPublishAttempts = 20;

/** Attempts to write the head after lost responses, before the outcome is reported as unknown. */
const maxHeadWriteAttempts = 3;

type AcceptedChange = Extract<ChangeCheck, {ok: true}>;
type PublishContext = {readonly options: ConfigStoreOptions; readonly reader: ConfigReader};
type HeadWrite = {readonly row: HeadRow; readonly head: Head};

const listDeltas = ({deltaKeys}: Head, deltaKey: string, snapshotVersion: number, version: number): string[] => {
	const listedCount = Math.max(minListedDeltas, version - snapshotVersion);
	return [...deltaKeys, deltaKey].slice(-listedCount);
};

/** Writes the delta and, if it is due, the snapshot of a version. Returns the head that refers to them. */
const writeObjects = async ({objects, makeId}: ConfigStoreOptions, {head}: HeadRow, {next, delta}: AcceptedChange): Promise<Head> => {
	const {version} = delta;
	const uniqueSuffix = makeId();
	const deltaKey = `config/delta/${version}-${uniqueSuffix}`;
	await objects.write(deltaKey, delta);
	const isSnapshotDue = version % snapshotIntervalVersions === 0;
	const snapshotKey = isSnapshotDue ? `config/snapshot/${version}-${uniqueSuffix}` : head.snapshotKey;
	if (isSnapshotDue) {
		await objects.write(`config/snapshot/${version}-${uniqueSuffix}`, next.snapshot);
	}

	const snapshotVersion = isSnapshotDue ? version : head.snapshotVersion;
	const deltaKeys = listDeltas(head, deltaKey, snapshotVersion, version);
	return {
		version, writeId: makeId(), snapshotKey, snapshotVersion, deltaKeys,
	};
};

/** Whether the current head is the written one or a later one that lists its delta. */
const includesWrite = (current: Head, written: Head): boolean =>
	current.writeId === written.writeId || current.deltaKeys.includes(written.deltaKeys.at(-1) ?? '');

const tryHeadWrite = async ({options}: PublishContext, {row, head}: HeadWrite): Promise<'written' | 'refused' | 'unknown'> => {
	try {
		const result = await options.table.transact({
			writeId: head.writeId,
			checks: [{key: headKey, version: row.rowVersion}],
			puts: [{key: headKey, value: head}],
			deletes: [],
		});
		return result.ok ? 'written' : 'refused';
	} catch (error) {
		if (isStoreError(error) && error.outcome === 'unknown') {
			return 'unknown';
		}

		throw error;
	}
};

/**
 * Writes the head row and returns whether the write took effect. After a lost response the same write is sent again: if
 * the first one still arrives, the second one fails its check, and the head then contains the write id. A failed check
 * therefore counts as a success if the head contains this write.
 */
const writeHead = async (context: PublishContext, write: HeadWrite): Promise<boolean> => {
	// Also set after a failed check, because the table's client may have sent the write more than once.
	let mayBeWritten = false;
	for (let attempt = 0; attempt < maxHeadWriteAttempts; attempt += 1) {
		try {
			const outcome = await tryHeadWrite(context, write);
			if (outcome === 'written') {
				return true;
			}

			mayBeWritten = true;
			const {head} = await context.reader.readHead();
			if (includesWrite(head, write.head)) {
				return true;
			}

			if (head.version !== write.row.head.version) {
				return false;
			}
		} catch (error) {
			if (!mayBeWritten || !isStoreError(error)) {
				throw error;
			}
		}
	}

	throw createStoreError('the head of the configuration may or may not have been written', 'unknown');
};

/** Merges the changes after a version into one; undefined if the head no longer lists all deltas after that version. */
const mergeChangesAfter = (sinceVersion: number, base: AdvancingView, latest: AdvancingView, fetched: FetchedUpdate): Change | undefined => {
	if (fetched.snapshot) {
		return sinceVersion === base.version ? diffSnapshots(base.snapshot, latest.snapshot) : undefined;
	}

	const newer: Change[] = (fetched.deltas ?? []).filter(({version}) => version > sinceVersion).map(({change}) => change);
	return {
		put: newer.flatMap(({put = []}) => put),
		delete: newer.flatMap(({delete: deleted = []}) => deleted),
	};
};

/** The version at the head and the update that was fetched from the base of the request to it. */
type LatestConfig = {readonly row: HeadRow; readonly view: AdvancingView; readonly fetched: FetchedUpdate};

/**
 * Returns the objects of the change that versions after its base version also touch, or all objects of the change if the
 * changes of these versions are no longer available.
 */
const findConflicts = async (
	{reader}: PublishContext,
	{base}: PublishRequest,
	change: Change,
	{row: {head}, view, fetched}: LatestConfig,
): Promise<ObjectId[]> => {
	const sinceVersion = change.baseVersion ?? base.version;
	if (sinceVersion >= view.version) {
		return [];
	}

	const update = sinceVersion === base.version ? fetched : await reader.fetchUpdate(head, sinceVersion);
	const newer = mergeChangesAfter(sinceVersion, base, view, update);
	return newer ? overlappingObjects(change, newer) : touchedObjects(change);
};

/** Reports the outcome to the witnesses. If this fails, the announcement stays pending, which is safe. */
const reportOutcome = async (request: PublishRequest, outcome: AnnouncementOutcome, version: number): Promise<boolean> => {
	try {
		return await request.reportOutcome?.(outcome, version) ?? true;
	} catch {
		return false;
	}
};

const classifyAnnouncementOutcome = (error: unknown): AnnouncementOutcome =>
	isStoreError(error) && error.outcome === 'unknown' ? 'unknown' : 'abandoned';

const announceAndWrite = async (context: PublishContext, request: PublishRequest, write: HeadWrite): Promise<boolean> => {
	const {version} = write.head;
	try {
		await request.announce?.(version);
		return await writeHead(context, write);
	} catch (error) {
		await reportOutcome(request, classifyAnnouncementOutcome(error), version);
		throw error;
	}
};

/** Writes and announces one version. Returns undefined if another publisher has written the head first. */
const publishVersion = async (
	context: PublishContext,
	request: PublishRequest,
	{row, fetched}: LatestConfig,
	accepted: AcceptedChange,
): Promise<PublishResult | undefined> => {
	const {next, delta} = accepted;
	const head = await writeObjects(context.options, row, accepted);
	const isHeadWritten = await announceAndWrite(context, request, {row, head});
	const confirmed = await reportOutcome(request, isHeadWritten ? 'accepted' : 'abandoned', delta.version);
	const update = {snapshot: fetched.snapshot, deltas: [...fetched.deltas ?? [], delta]};
	return isHeadWritten
		? {
			kind: 'published', view: next, update, confirmed,
		}
		: undefined;
};

const fetchLatest = async ({reader}: PublishContext, base: AdvancingView): Promise<LatestConfig> => {
	const row = await reader.readHead();
	const fetched = await reader.fetchUpdate(row.head, base.version);
	const view = applyUpdate(base, fetched);
	if (view.version !== row.head.version) {
		throw createInvalidContentError(`the store is at version ${row.head.version}, behind the base version ${view.version}`);
	}

	return {row, view, fetched};
};

const tryPublish = async (context: PublishContext, request: PublishRequest): Promise<PublishResult | undefined> => {
	const checked = validate<Change>(validators.validateChange as Validator, request.change);
	const latest = await fetchLatest(context, request.base);
	const {view} = latest;
	const conflicts = checked.ok ? await findConflicts(context, request, checked.value, latest) : [];
	if (conflicts.length > 0) {
		return {kind: 'conflict', conflicts, version: view.version};
	}

	const accepted = checkChange(view, request.change);
	return accepted.ok ? publishVersion(context, request, latest, accepted) : {kind: 'findings', findings: accepted.findings};
};

export const createPublish = (options: ConfigStoreOptions, reader: ConfigReader): Publish => async request => {
	for (let attempt = 0; attempt < maxPublishAttempts; attempt += 1) {
		const result = await tryPublish({options, reader}, request);
		if (result) {
			return result;
		}
	}

	throw createStoreError(`the head of the configuration changed ${maxPublishAttempts} times in a row`, 'not-written');
};
