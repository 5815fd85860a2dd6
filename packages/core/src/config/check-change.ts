/**
 * Checks a change as a whole against the version that it is to follow, and reports all findings together. The version was
 * checked when it was accepted, so only what the change can affect is checked again: the changed objects, the accounts
 * and keys that depend on them, and all other objects, of which there are few.
 */
import {
	check, validators, type Change, type ConfigObject, type Delta, type Finding, type ObjectId, type ObjectKind, type Validator,
} from '@hawthorncleat/schema';
import {brandAs, type KeyHash} from '../ids.js';
import type {AdvancingView} from './create-view.js';
import {createFindingReporter, type ConfigFinding, type ReportFinding} from './findings.js';
import {objectKey, sortObjects} from './objects.js';
import {checkRules} from './rules.js';

/** The next version, or every reason why the change cannot become one. */
export type ChangeCheck
	= | {readonly ok: true; readonly next: AdvancingView; readonly delta: Delta}
		| {readonly ok: false; readonly findings: readonly ConfigFinding[]};

/** What is checked: all that the change can affect, or everything, for a base that nobody has checked. */
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

/** Keys whose account the change deletes. Deletions of accounts are rare, so there is no index for them. */
const keysOfDeletedAccounts = (base: AdvancingView, next: AdvancingView, change: Change): ConfigObject[] => {
	const deleted = new Set((change.delete ?? [])
		.filter(id => id.kind === 'client-account' && !next.findObject(id))
		.map(({name}) => name));
	return deleted.size === 0 ? [] : [...base.allObjects()].filter(object => object.kind === 'key' && deleted.has(object.account));
};

/** Keys of the base that have the hash of a key in the change. */
const keysWithSameHash = (base: AdvancingView, change: Change): ConfigObject[] => (change.put ?? [])
	.flatMap(object => object.kind === 'key' ? [base.findKey(brandAs<KeyHash>(object.hash))?.key] : [])
	.filter(key => key !== undefined);

/** The objects of the next version that can violate a rule because of the change. */
const affectedObjects = (base: AdvancingView, next: AdvancingView, change: Change): ConfigObject[] => {
	const affected = [
		...next.fleetObjects(),
		...(change.put ?? []),
		...keysOfDeletedAccounts(base, next, change),
		...keysWithSameHash(base, change),
	];
	const ids = new Map(affected.map(object => [objectKey(object), object]));
	return sortObjects([...ids.values()].map(object => next.findObject(object)).filter(object => object !== undefined));
};

type CheckedParts = {readonly base: AdvancingView; readonly next: AdvancingView; readonly given: Change; readonly valid: Change};

const checkAgainstRules = ({base, next, given, valid}: CheckedParts, scope: CheckScope): ConfigFinding[] => {
	const findings: ConfigFinding[] = [];
	const ids = placedIds(given);
	const report = createFindingReporter(findings, new Map(ids.map(({id, place}) => [objectKey(id), place])));
	checkBaseVersion(base, given, findings);
	checkDuplicates(ids, findings);
	checkDeletions(base, given, report);
	const objects = scope === 'whole' ? sortObjects(next.allObjects()) : affectedObjects(base, next, valid);
	const ignored = namesOfInvalid((given.put ?? []).filter(object => !valid.put?.includes(object)));
	checkRules({objects, findOther: next.findObject, ignoredNames: ignored}, report);
	return findings;
};

/** Checks a change against a base. Objects with findings of the schema are not checked against the rules. */
export const checkChange = (base: AdvancingView, change: unknown, scope: CheckScope = 'affected'): ChangeCheck => {
	const schemaFindings = checkSchema(change);
	if (checkEnvelope(change).length > 0) {
		return {ok: false, findings: schemaFindings};
	}

	const {baseVersion: _, ...content} = change as Change;
	const valid = {...content, put: (content.put ?? []).filter(object => checkObject(object, '').length === 0)};
	const version = base.version + 1;
	// Without findings the valid objects are all that were given, so this is also the next version.
	const next = base.advance({version, change: valid});
	const ruleFindings = checkAgainstRules({
		base, next, given: change as Change, valid,
	}, scope);
	const findings = [...schemaFindings, ...ruleFindings];
	return findings.length > 0 ? {ok: false, findings} : {ok: true, next, delta: {version, change: content}};
};
