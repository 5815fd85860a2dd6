/**
 * Publishing a change. The change is checked as a whole against the head that it is to follow, written, and on a
 * conflict checked again against the newer head, unless the newer versions touch the same objects.
 */
import {
	checkChange, diffSnapshots, overlappingObjects, touchedObjects, type AdvancingView, type ChangeCheck, type ConfigFinding,
	type ConfigUpdate,
} from '@hawthorncleat/core';
import {
	check, validators, type Change, type Head, type ObjectId, type Validator,
} from '@hawthorncleat/schema';
import {
	applyUpdate, createInvalidContentError, headKey, type ConfigReader, type ConfigStoreOptions, type FetchedUpdate, type HeadRow,
} from './config-reader.js';
import {createStoreError, isStoreError} from './store.js';

/** How a publication ended. */
export type PublishResult
	= | {
		readonly kind: 'published';
		readonly view: AdvancingView;
		/** What leads from the base of the request to the view. */
		readonly update: ConfigUpdate;
		/** False when the change is in the store but too few witnesses have confirmed it. */
		readonly confirmed: boolean;
	}
	| {readonly kind: 'findings'; readonly findings: readonly ConfigFinding[]}
	| {readonly kind: 'conflict'; readonly conflicts: readonly ObjectId[]; readonly version: number};

/** How an announced version ended, as the witnesses are told. */
export type AnnouncementOutcome = 'accepted' | 'abandoned' | 'unknown';

/** A change to publish. */
export type PublishRequest = {
	/** The version that the publisher has in force. */
	readonly base: AdvancingView;
	readonly change: unknown;
	/** Runs before the head row is written. A rejection ends the publication with nothing in force. */
	readonly announce?: (version: number) => Promise<void>;
	/** Runs after each announcement, also a rejected one. Returns whether the accepted version is confirmed. */
	readonly reportOutcome?: (outcome: AnnouncementOutcome, version: number) => Promise<boolean>;
};

/** Publishes a change. Rejects with a `StoreError` whose `outcome` says whether it can be in force. */
export type Publish = (request: PublishRequest) => Promise<PublishResult>;

/** A new daemon reads the newest snapshot and at most this many deltas. */
const snapshotInterval = 100;

/**
 * The head keeps at least this many delta keys across a snapshot, so that a writer whose answer was lost still finds
 * its own delta there, and a change written against a slightly older version can be rebased.
 */
const minListedDeltas = 50;

/** More conflicts in a row than this mean that something other than operators writes the row. */
const maxAttempts = 20;

/** Reads of the head after a lost answer, before the outcome is reported as unknown. */
const resolveAttempts = 3;

type Accepted = Extract<ChangeCheck, {ok: true}>;
type Context = {readonly options: ConfigStoreOptions; readonly reader: ConfigReader};
type Write = {readonly row: HeadRow; readonly head: Head};

const listDeltas = ({deltaKeys}: Head, deltaKey: string, snapshotVersion: number, version: number): string[] => {
	const kept = Math.max(minListedDeltas, version - snapshotVersion);
	return [...deltaKeys, deltaKey].slice(-kept);
};

/** Writes the objects of a version and returns the head that refers to them. */
const writeObjects = async ({objects, makeId}: ConfigStoreOptions, {head}: HeadRow, {next, delta}: Accepted): Promise<Head> => {
	const {version} = delta;
	const part = makeId();
	const deltaKey = `config/delta/${version}-${part}`;
	await objects.write(deltaKey, delta);
	const isSnapshotDue = version % snapshotInterval === 0;
	const snapshotKey = isSnapshotDue ? `config/snapshot/${version}-${part}` : head.snapshotKey;
	if (isSnapshotDue) {
		await objects.write(`config/snapshot/${version}-${part}`, next.snapshot);
	}

	const snapshotVersion = isSnapshotDue ? version : head.snapshotVersion;
	const deltaKeys = listDeltas(head, deltaKey, snapshotVersion, version);
	return {
		version, writeId: makeId(), snapshotKey, snapshotVersion, deltaKeys,
	};
};

/** Whether the head is the given write or follows it. */
const includesWrite = (current: Head, written: Head): boolean =>
	current.writeId === written.writeId || current.deltaKeys.includes(written.deltaKeys.at(-1) ?? '');

const transact = async ({options}: Context, {row, head}: Write): Promise<'written' | 'refused' | 'unknown'> => {
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
 * Writes the head row. After a lost answer the same write is sent again: a late first one makes the second fail its
 * check, and the head then shows the write id. A refusal also counts as won when the head shows the write.
 */
const writeHead = async (context: Context, write: Write): Promise<boolean> => {
	// A refusal sets it too, because the table's client may have sent the write more than once.
	let mayBeWritten = false;
	for (let attempt = 0; attempt < resolveAttempts; attempt += 1) {
		try {
			const outcome = await transact(context, write);
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

/** What happened after a version, as one change; undefined when the store no longer lists the versions between. */
const mergeChangesAfter = (since: number, base: AdvancingView, newest: AdvancingView, fetched: FetchedUpdate): Change | undefined => {
	if (fetched.snapshot) {
		return since === base.version ? diffSnapshots(base.snapshot, newest.snapshot) : undefined;
	}

	const newer: Change[] = (fetched.deltas ?? []).filter(({version}) => version > since).map(({change}) => change);
	return {
		put: newer.flatMap(({put = []}) => put),
		delete: newer.flatMap(({delete: deleted = []}) => deleted),
	};
};

/** The newest version with what led there from the base of the request. */
type Newest = {readonly row: HeadRow; readonly view: AdvancingView; readonly fetched: FetchedUpdate};

/** Objects of the change that versions after its own base touch; all of them when those versions are not known. */
const findConflicts = async (
	{reader}: Context,
	{base}: PublishRequest,
	change: Change,
	{row: {head}, view, fetched}: Newest,
): Promise<ObjectId[]> => {
	const since = change.baseVersion ?? base.version;
	if (since >= view.version) {
		return [];
	}

	const known = since === base.version ? fetched : await reader.fetchUpdate(head, since);
	const newer = mergeChangesAfter(since, base, view, known);
	return newer ? overlappingObjects(change, newer) : touchedObjects(change);
};

/** Tells the witnesses the outcome. A failure leaves the announcement pending, which is safe. */
const finish = async (request: PublishRequest, outcome: AnnouncementOutcome, version: number): Promise<boolean> => {
	try {
		return await request.reportOutcome?.(outcome, version) ?? true;
	} catch {
		return false;
	}
};

const outcomeOf = (error: unknown): AnnouncementOutcome =>
	isStoreError(error) && error.outcome === 'unknown' ? 'unknown' : 'abandoned';

const announceAndWrite = async (context: Context, request: PublishRequest, write: Write): Promise<boolean> => {
	const {version} = write.head;
	try {
		await request.announce?.(version);
		return await writeHead(context, write);
	} catch (error) {
		await finish(request, outcomeOf(error), version);
		throw error;
	}
};

/** Announces and writes one version. */
const tryWrite = async (
	context: Context,
	request: PublishRequest,
	{row, fetched}: Newest,
	accepted: Accepted,
): Promise<PublishResult | undefined> => {
	const {next, delta} = accepted;
	const head = await writeObjects(context.options, row, accepted);
	const won = await announceAndWrite(context, request, {row, head});
	const confirmed = await finish(request, won ? 'accepted' : 'abandoned', delta.version);
	const update = {snapshot: fetched.snapshot, deltas: [...fetched.deltas ?? [], delta]};
	return won
		? {
			kind: 'published', view: next, update, confirmed,
		}
		: undefined;
};

const fetchNewest = async ({reader}: Context, base: AdvancingView): Promise<Newest> => {
	const row = await reader.readHead();
	const fetched = await reader.fetchUpdate(row.head, base.version);
	const view = applyUpdate(base, fetched);
	if (view.version !== row.head.version) {
		throw createInvalidContentError(`the store is at version ${row.head.version}, behind the base version ${view.version}`);
	}

	return {row, view, fetched};
};

const attemptPublish = async (context: Context, request: PublishRequest): Promise<PublishResult | undefined> => {
	const checked = check<Change>(validators.validateChange as Validator, request.change);
	const newest = await fetchNewest(context, request.base);
	const {view} = newest;
	const conflicts = checked.ok ? await findConflicts(context, request, checked.value, newest) : [];
	if (conflicts.length > 0) {
		return {kind: 'conflict', conflicts, version: view.version};
	}

	const accepted = checkChange(view, request.change);
	return accepted.ok ? tryWrite(context, request, newest, accepted) : {kind: 'findings', findings: accepted.findings};
};

/** Creates the publishing function of a store. */
export const createPublish = (options: ConfigStoreOptions, reader: ConfigReader): Publish => async request => {
	for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
		const result = await attemptPublish({options, reader}, request);
		if (result) {
			return result;
		}
	}

	throw createStoreError(`the head of the configuration changed ${maxAttempts} times in a row`, 'not-written');
};
