/**
 * Checks a change as a whole against the version that it is to follow, and reports all findings together.
 */
import {
	check, validators, type Change, type ConfigObject, type Delta, type Finding, type ObjectId, type ObjectKind, type Snapshot,
	type Validator,
} from '@hawthorncleat/schema';
import {applyChange} from './delta.js';
import {createReport, type ConfigFinding, type Report} from './findings.js';
import {objectKey} from './objects.js';
import {checkRules} from './rules.js';

/** The next version, or every reason why the change cannot become one. */
export type ChangeCheck
	= | {readonly ok: true; readonly snapshot: Snapshot; readonly delta: Delta}
		| {readonly ok: false; readonly findings: readonly ConfigFinding[]};

const objectValidators: Record<ObjectKind, Validator> = {
	'client-account': validators.validateClientAccount as Validator,
	key: validators.validateKey as Validator,
	place: validators.validatePlace as Validator,
	'model-version': validators.validateModelVersion as Validator,
	service: validators.validateService as Validator,
	route: validators.validateRoute as Validator,
};

const isRecord = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

const textOf = (value: unknown): string => (typeof value === 'string' ? value : '');

const withObject = (object: unknown, place: string, {problem, value, place: inner}: Finding): ConfigFinding => {
	const {kind, name} = isRecord(object) ? object : {};
	return {
		kind: textOf(kind), name: textOf(name), field: inner.slice(1), value, problem, place: `${place}${inner}`,
	};
};

const checkObject = (object: unknown, place: string): ConfigFinding[] => {
	const kind = isRecord(object) ? object.kind : undefined;
	if (typeof kind !== 'string' || !Object.hasOwn(objectValidators, kind)) {
		const allowed = Object.keys(objectValidators).join(', ');
		return [withObject(object, place, {place: '/kind', value: kind, problem: `must be one of ${allowed}`})];
	}

	const checked = check(objectValidators[kind as ObjectKind], object);
	return checked.ok ? [] : checked.findings.map(finding => withObject(object, place, finding));
};

/** Checks the envelope without the objects, whose own validators give clearer findings than the union of all kinds. */
const checkEnvelope = (change: unknown): ConfigFinding[] => {
	const envelope = isRecord(change) && Array.isArray(change.put) ? {...change, put: []} : change;
	const checked = check(validators.validateChange as Validator, envelope);
	return checked.ok ? [] : checked.findings.map(finding => withObject(undefined, '', finding));
};

const checkSchema = (change: unknown): ConfigFinding[] => {
	const objects: unknown[] = isRecord(change) && Array.isArray(change.put) ? change.put : [];
	return [
		...checkEnvelope(change),
		...objects.flatMap((object, index) => checkObject(object, `/put/${index}`)),
	];
};

type PlacedId = {readonly id: ObjectId; readonly place: string};

const hasIdentity = (value: unknown): value is ObjectId =>
	isRecord(value) && typeof value.kind === 'string' && typeof value.name === 'string';

const placedIds = (change: Change): PlacedId[] => [
	...(change.put ?? []).map((id, index) => ({id, place: `/put/${index}`})),
	...(change.delete ?? []).map((id, index) => ({id, place: `/delete/${index}`})),
].filter(({id}) => hasIdentity(id));

/** Names of objects that fail the schema. References to them are not reported, since the object's own finding is. */
const namesOfInvalid = (objects: readonly unknown[]): Set<string> => {
	const names = new Set<string>();
	for (const object of objects) {
		if (!hasIdentity(object)) {
			continue;
		}

		const inherited = 'names' in object && isRecord(object.names) ? Object.values(object.names) : [];
		for (const name of [object.name, ...inherited]) {
			names.add(textOf(name));
		}
	}

	return names;
};

const checkDuplicates = (ids: readonly PlacedId[], findings: ConfigFinding[]): void => {
	const seen = new Map<string, string>();
	for (const {id, place} of ids) {
		const earlier = seen.get(objectKey(id));
		if (earlier === undefined) {
			seen.set(objectKey(id), place);
			continue;
		}

		const problem = `the change already names this object at ${earlier}`;
		findings.push({
			kind: id.kind, name: id.name, field: 'name', value: id.name, problem, place: `${place}/name`,
		});
	}
};

const checkDeletions = (base: Snapshot, change: Change, report: Report): void => {
	const existing = new Set(base.objects.map(object => objectKey(object)));
	for (const id of change.delete ?? []) {
		if (!existing.has(objectKey(id))) {
			report(id, 'name', id.name, 'cannot be deleted because it does not exist');
		}
	}
};

const checkBaseVersion = (base: Snapshot, change: Change, findings: ConfigFinding[]): void => {
	const {baseVersion} = change;
	if (baseVersion !== undefined && baseVersion > base.version) {
		const problem = `the newest version is ${base.version}`;
		findings.push({
			kind: '', name: '', field: 'baseVersion', value: baseVersion, problem, place: '/baseVersion',
		});
	}
};

const checkWhole = (base: Snapshot, change: Change, valid: Change, objects: readonly ConfigObject[]): ConfigFinding[] => {
	const findings: ConfigFinding[] = [];
	const ids = placedIds(change);
	const report = createReport(findings, new Map(ids.map(({id, place}) => [objectKey(id), place])));
	checkBaseVersion(base, change, findings);
	checkDuplicates(ids, findings);
	checkDeletions(base, change, report);
	const invalid = namesOfInvalid((change.put ?? []).filter(object => !valid.put?.includes(object)));
	checkRules(objects, invalid, report);
	return findings;
};

/** Checks a change against a base. Objects with findings of the schema are not checked against the rules. */
export const checkChange = (base: Snapshot, change: unknown): ChangeCheck => {
	const schemaFindings = checkSchema(change);
	if (checkEnvelope(change).length > 0) {
		return {ok: false, findings: schemaFindings};
	}

	const {baseVersion: _, ...given} = change as Change;
	const valid = {...given, put: (given.put ?? []).filter(object => checkObject(object, '').length === 0)};
	// Without findings the valid objects are all that were given, so this is also the next version.
	const objects = applyChange(base.objects, valid);
	const findings = [...schemaFindings, ...checkWhole(base, change as Change, valid, objects)];
	if (findings.length > 0) {
		return {ok: false, findings};
	}

	const version = base.version + 1;
	return {
		ok: true,
		snapshot: {version, objects},
		delta: {version, change: given},
	};
};
