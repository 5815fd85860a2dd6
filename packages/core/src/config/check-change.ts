/**
 * Checks a change of the configuration against the version that it applies to, and reports all findings together. That
 * version was checked when it was accepted, so only objects that the change can affect are checked again: the changed
 * objects, the keys that depend on them, and all objects except accounts and keys, of which there are few.
 */
import {
	validate, validators, type Change, type ConfigObject, type Delta, type Finding, type ObjectId, type ObjectKind, type Validator,
} from '@hawthorncleat/schema';
import {brandAs, type KeyHash} from '../ids.js';
import type {AdvancingView} from './create-view.js';
import {createFindingReporter, type ConfigFinding, type ReportFinding} from './findings.js';
import {objectKey, sortObjects} from './objects.js';
import {checkRules} from './rules.js';

/** The next version, or all findings because of which the change is rejected. */
export type ChangeCheck
	= | {readonly ok: true; readonly next: AdvancingView; readonly delta: Delta}
		| {readonly ok: false; readonly findings: readonly ConfigFinding[]};

/** Which objects are checked: those that the change can affect, or all, for a base that was never checked. */
export type CheckScope = 'affected' | 'whole';

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

const stringOrEmpty = (value: unknown): string => (typeof value === 'string' ? value : '');

const toConfigFinding = (object: unknown, pointer: string, {problem, value, place: innerPointer}: Finding): ConfigFinding => {
	const {kind, name} = isRecord(object) ? object : {};
	return {
		kind: stringOrEmpty(kind), name: stringOrEmpty(name), field: innerPointer.slice(1), value, problem, place: `${pointer}${innerPointer}`,
	};
};

const checkObject = (object: unknown, pointer: string): ConfigFinding[] => {
	const kind = isRecord(object) ? object.kind : undefined;
	if (typeof kind !== 'string' || !Object.hasOwn(objectValidators, kind)) {
		const allowed = Object.keys(objectValidators).join(', ');
		return [toConfigFinding(object, pointer, {place: '/kind', value: kind, problem: `must be one of ${allowed}`})];
	}

	const checked = validate(objectValidators[kind as ObjectKind], object);
	return checked.ok ? [] : checked.findings.map(finding => toConfigFinding(object, pointer, finding));
};

/** Checks the envelope without the objects. The validator of each kind gives clearer findings than the union of all kinds. */
const checkEnvelope = (change: unknown): ConfigFinding[] => {
	const envelope = isRecord(change) && Array.isArray(change.put) ? {...change, put: []} : change;
	const checked = validate(validators.validateChange as Validator, envelope);
	return checked.ok ? [] : checked.findings.map(finding => toConfigFinding(undefined, '', finding));
};

const checkSchema = (change: unknown): ConfigFinding[] => {
	const objects: unknown[] = isRecord(change) && Array.isArray(change.put) ? change.put : [];
	return [
		...checkEnvelope(change),
		...objects.flatMap((object, index) => checkObject(object, `/put/${index}`)),
	];
};

type LocatedId = {readonly id: ObjectId; readonly pointer: string};

const hasIdentity = (value: unknown): value is ObjectId =>
	isRecord(value) && typeof value.kind === 'string' && typeof value.name === 'string';

const locateIds = (change: Change): LocatedId[] => [
	...(change.put ?? []).map((id, index) => ({id, pointer: `/put/${index}`})),
	...(change.delete ?? []).map((id, index) => ({id, pointer: `/delete/${index}`})),
].filter(({id}) => hasIdentity(id));

/** Names of objects that violate the schema. References to them are not reported, because the objects themselves are. */
const namesOfInvalidObjects = (objects: readonly unknown[]): Set<string> => {
	const names = new Set<string>();
	for (const object of objects) {
		if (!hasIdentity(object)) {
			continue;
		}

		const inherited = 'names' in object && isRecord(object.names) ? Object.values(object.names) : [];
		for (const name of [object.name, ...inherited]) {
			names.add(stringOrEmpty(name));
		}
	}

	return names;
};

const checkDuplicates = (ids: readonly LocatedId[], findings: ConfigFinding[]): void => {
	const firstPointers = new Map<string, string>();
	for (const {id, pointer} of ids) {
		const earlier = firstPointers.get(objectKey(id));
		if (earlier === undefined) {
			firstPointers.set(objectKey(id), pointer);
			continue;
		}

		const problem = `the change already names this object at ${earlier}`;
		findings.push({
			kind: id.kind, name: id.name, field: 'name', value: id.name, problem, place: `${pointer}/name`,
		});
	}
};

const checkDeletions = (base: AdvancingView, change: Change, report: ReportFinding): void => {
	for (const id of change.delete ?? []) {
		if (!base.findObject(id)) {
			report(id, 'name', id.name, 'cannot be deleted because it does not exist');
		}
	}
};

const checkBaseVersion = (base: AdvancingView, change: Change, findings: ConfigFinding[]): void => {
	const {baseVersion} = change;
	if (baseVersion !== undefined && baseVersion > base.version) {
		const problem = `the newest version is ${base.version}`;
		findings.push({
			kind: '', name: '', field: 'baseVersion', value: baseVersion, problem, place: '/baseVersion',
		});
	}
};

/** Keys whose account the change deletes. There is no index of keys by account, because accounts are rarely deleted. */
const keysOfDeletedAccounts = (base: AdvancingView, next: AdvancingView, change: Change): ConfigObject[] => {
	const deleted = new Set((change.delete ?? [])
		.filter(id => id.kind === 'client-account' && !next.findObject(id))
		.map(({name}) => name));
	return deleted.size === 0 ? [] : [...base.allObjects()].filter(object => object.kind === 'key' && deleted.has(object.account));
};

/** Keys of the base with the same hash as a key in the change. */
const keysWithSameHash = (base: AdvancingView, change: Change): ConfigObject[] => (change.put ?? [])
	.flatMap(object => object.kind === 'key' ? [base.findKey(brandAs<KeyHash>(object.hash))?.key] : [])
	.filter(key => key !== undefined);

/** Objects of the next version that may violate a rule because of the change. */
const affectedObjects = (base: AdvancingView, next: AdvancingView, change: Change): ConfigObject[] => {
	const affected = [
		...next.fleetObjects(),
		...(change.put ?? []),
		...keysOfDeletedAccounts(base, next, change),
		...keysWithSameHash(base, change),
	];
	const affectedByKey = new Map(affected.map(object => [objectKey(object), object]));
	return sortObjects([...affectedByKey.values()].map(object => next.findObject(object)).filter(object => object !== undefined));
};

type RuleCheckInput = {readonly base: AdvancingView; readonly next: AdvancingView; readonly givenChange: Change; readonly validChange: Change};

const checkAgainstRules = ({base, next, givenChange, validChange}: RuleCheckInput, scope: CheckScope): ConfigFinding[] => {
	const findings: ConfigFinding[] = [];
	const ids = locateIds(givenChange);
	const report = createFindingReporter(findings, new Map(ids.map(({id, pointer}) => [objectKey(id), pointer])));
	checkBaseVersion(base, givenChange, findings);
	checkDuplicates(ids, findings);
	checkDeletions(base, givenChange, report);
	const objects = scope === 'whole' ? sortObjects(next.allObjects()) : affectedObjects(base, next, validChange);
	const ignoredNames = namesOfInvalidObjects((givenChange.put ?? []).filter(object => !validChange.put?.includes(object)));
	checkRules({objects, findOther: next.findObject, ignoredNames}, report);
	return findings;
};

/** Checks a change against a base. Objects that violate the schema are not checked against the rules. */
export const checkChange = (base: AdvancingView, change: unknown, scope: CheckScope = 'affected'): ChangeCheck => {
	const schemaFindings = checkSchema(change);
	if (checkEnvelope(change).length > 0) {
		return {ok: false, findings: schemaFindings};
	}

	const {baseVersion: _, ...content} = change as Change;
	const valid = {...content, put: (content.put ?? []).filter(object => checkObject(object, '').length === 0)};
	const version = base.version + 1;
	// If there are no findings, the valid objects are all objects of the change, so this view is the next version.
	const next = base.advance({version, change: valid});
	const ruleFindings = checkAgainstRules({
		base, next, givenChange: change as Change, validChange: valid,
	}, scope);
	const findings = [...schemaFindings, ...ruleFindings];
	return findings.length > 0 ? {ok: false, findings} : {ok: true, next, delta: {version, change: content}};
};
