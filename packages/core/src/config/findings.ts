/**
 * Findings of the configuration check: what is wrong, in which object and where in the change file.
 */
import type {ConfigObject, Finding, ObjectId} from '@hawthorncleat/schema';
import {objectKey} from './objects.js';

/** One problem of a change. `place` is a JSON pointer into the change, empty when no part of it can be named. */
export type ConfigFinding = Finding & {
	/** Kind of the object, as written; empty when the change does not say it. */
	readonly kind: string;
	/** Canonical name of the object, as written; empty when the change does not say it. */
	readonly name: string;
	/** Field inside the object, with `/` between levels; empty for the object itself. */
	readonly field: string;
};

/** Creates a finding about a field of an object. */
export type ReportFinding = (object: ObjectId, field: string, value: unknown, problem: string) => void;

/** Where objects stand in a change: `/put/0` and the like. */
export type ObjectPointers = ReadonlyMap<string, string>;

/** Collects findings and gives each its place in the change. */
export const createFindingReporter = (findings: ConfigFinding[], places: ObjectPointers): ReportFinding =>
	({kind, name}, field, value, problem) => {
		const objectPlace = places.get(objectKey({kind, name}));
		const suffix = field === '' ? '' : `/${field}`;
		findings.push({
			kind, name, field, value, problem, place: objectPlace === undefined ? '' : `${objectPlace}${suffix}`,
		});
	};

/** Describes an object in a message. */
export const describeObject = ({kind, name}: ObjectId | ConfigObject): string => `${kind} ${name}`;
