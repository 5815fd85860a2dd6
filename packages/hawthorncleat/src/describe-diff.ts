/**
 * Describes what a change does to a configuration, for the operator who is about to apply it.
 */
import {isDeepStrictEqual} from 'node:util';
import {diffSnapshots, objectKey} from '@hawthorncleat/core';
import type {ConfigObject, Snapshot} from '@hawthorncleat/schema';

const describeFields = (before: ConfigObject, after: ConfigObject): string[] => {
	const old = new Map<string, unknown>(Object.entries(before));
	const current = new Map<string, unknown>(Object.entries(after));
	return [...new Set([...old.keys(), ...current.keys()])]
		.filter(field => !isDeepStrictEqual(old.get(field), current.get(field)))
		.map(field => `    ${field}: ${JSON.stringify(old.get(field)) ?? 'unset'} -> ${JSON.stringify(current.get(field)) ?? 'unset'}`);
};

/** Lines with `+` for created, `~` for changed and `-` for deleted objects; empty when the change does nothing. */
export const describeDiff = (base: Snapshot, next: Snapshot): string[] => {
	const before = new Map(base.objects.map(object => [objectKey(object), object]));
	const {put = [], delete: deleted = []} = diffSnapshots(base, next);
	const changed = put.flatMap(object => {
		const old = before.get(objectKey(object));
		const title = `${old ? '~' : '+'} ${object.kind} ${object.name}`;
		return old ? [title, ...describeFields(old, object)] : [title];
	});
	return [...changed, ...deleted.map(({kind, name}) => `- ${kind} ${name}`)];
};
