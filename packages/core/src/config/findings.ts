/**
 * Findings of the configuration check: each states the problem, the object and field, and the location in the change file.
 */
import type {ConfigObject, Finding, ObjectId} from '@hawthorncleat/schema';
import {objectKey} from './objects.js';

/** One problem of a change. `place` is a JSON pointer into the change, and empty if the problem has no location in it. */
export type ConfigFinding = Finding & {
	/** Kind of the object as written in the change, or empty if it is missing there. */
	readonly kind: string;
	/** Canonical name of the object as written in the change, or empty if it is missing there. */
	readonly name: string;
	/** Path of the field inside the object, with `/` between levels, or empty for the object itself. */
	readonly field: string;
};

/** Reports a finding about a field of an object. */
export type ReportFinding = (object: ObjectId, field: string, value: unknown, problem: string) => void;

/** JSON pointers into a change, such as `/put/0`, by object key. */
export type ObjectPointers = ReadonlyMap<string, string>;

/** Returns a function that appends findings to the array, each with its location in the change. */
export const createFindingReporter = (findings: ConfigFinding[], pointers: ObjectPointers): ReportFinding =>
	({kind, name}, field, value, problem) => {
		const objectPointer = pointers.get(objectKey({kind, name}));
		const suffix = field === '' ? '' : `/${field}`;
		findings.push({
			kind, name, field, value, problem, place: objectPointer === undefined ? '' : `${objectPointer}${suffix}`,
		});
	};

/** Describes an object for a message. */
export const describeObject = ({kind, name}: ObjectId | ConfigObject): string => `${kind} ${name}`;
