/**
 * Answers to `config.since`. A snapshot of many objects is sent in parts, because a message between processes is one line
 * of at most 1 MiB and a longer one ends the connection.
 */
import type {ConfigUpdate, ActiveConfig} from '@hawthorncleat/core';
import type {ConfigObject, ConfigSinceParams, ConfigSinceResult} from '@hawthorncleat/schema';

/** Characters of one part as JSON; leaves room for multi-byte characters within a line. */
const maxPartCharacters = 256 * 1024;

type AnyRecord = Record<string, unknown>;

/** Objects from an offset on that fit into one part, at least one. */
export const takePart = (
	objects: readonly ConfigObject[],
	offset: number,
	maxCharacters: number = maxPartCharacters,
): readonly ConfigObject[] => {
	let characters = 0;
	let end = offset;
	while (end < objects.length) {
		characters += JSON.stringify(objects[end]).length + 1;
		if (characters > maxCharacters && end > offset) {
			break;
		}

		end += 1;
	}

	return objects.slice(offset, end);
};

const deltasFit = ({deltas}: ConfigUpdate): boolean =>
	deltas !== undefined && JSON.stringify(deltas).length <= maxPartCharacters;

/** Answers a peer that has the given version, or that asks for a further part. */
export const answerConfigSince = (inForce: ActiveConfig, {version, offset}: ConfigSinceParams): ConfigSinceResult => {
	const update = inForce.updateSince(version);
	if (offset === undefined && deltasFit(update)) {
		return {version: update.version, deltas: update.deltas as unknown as AnyRecord[]};
	}

	const {objects, version: newest} = inForce.view().snapshot;
	const part = takePart(objects, offset ?? 0);
	const nextOffset = (offset ?? 0) + part.length;
	return {
		version: newest,
		snapshot: {version: newest, objects: [...part]},
		...(nextOffset < objects.length && {nextOffset}),
	};
};
