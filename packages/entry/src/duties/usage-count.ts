/**
 * Reads the parts of a window and of the earlier windows that are looked at again, and counts what is new in them.
 */
import {
	countParts, sumFigures, windowsToCheck, type CountedParts, type KeyedPart,
} from '@hawthorncleat/core';
import type {ObjectStore, Table} from '@hawthorncleat/platform';
import type {UsageFigure} from '@hawthorncleat/schema';
import type {Log} from '@hawthorncleat/telemetry';
import type {DutyMetrics} from './duty-metrics.js';
import {
	countedKey, partsPrefix, readCounted, readPart, type CountedState,
} from './usage-rows.js';

// Bounds the memory and the connections that one count uses.
const readsAtOnce = 16;

export type CountOptions = {
	readonly shard: number;
	readonly windowMs: number;
	readonly table: Table;
	readonly objects: Pick<ObjectStore, 'list' | 'read'>;
	readonly metrics: DutyMetrics;
	readonly log: Log;
};

/** New state of the row with the counted parts of one window, and the version at which it was read. */
export type CountedRow = {readonly startMs: number; readonly version: number | null; readonly counted: CountedParts};

/** What a window is frozen with. */
export type WindowCount = {
	readonly figures: readonly UsageFigure[];
	readonly states: readonly CountedState[];
	/** Rows whose counted state changes. */
	readonly rows: readonly CountedRow[];
	/** Number of parts of earlier windows that had new usage. */
	readonly lateParts: number;
};

const readParts = async ({objects, metrics, log}: CountOptions, startMs: number): Promise<KeyedPart[]> => {
	const keys = await objects.list(partsPrefix(startMs));
	const parts: KeyedPart[] = [];
	for (let first = 0; first < keys.length; first += readsAtOnce) {
		const batch = keys.slice(first, first + readsAtOnce);
		const values = await Promise.all(batch.map(async key => ({key, part: readPart(key, await objects.read(key))})));
		for (const {key, part} of values) {
			if (part) {
				parts.push(part);
			} else {
				metrics.invalidParts.inc();
				log.warn('usage part is not readable', {key});
			}
		}
	}

	return parts;
};

const countOne = async (options: CountOptions, startMs: number) => {
	const row = await options.table.read(countedKey(startMs, options.shard));
	const parts = await readParts(options, startMs);
	const {added, counted, changedKeys} = countParts(readCounted(row), parts, options.shard);
	return {
		startMs, version: row?.version ?? null, counted, added, changedKeys,
	};
};

/** Counts the window that starts at `startMs` together with late usage of earlier windows. */
export const countWindow = async (options: CountOptions, startMs: number): Promise<WindowCount> => {
	const counts = [];
	for (const countedMs of [startMs, ...windowsToCheck(startMs, options.windowMs)]) {
		counts.push(await countOne(options, countedMs));
	}

	const changed = counts.filter(({changedKeys}) => changedKeys.length > 0);
	return {
		figures: sumFigures(changed.flatMap(({added}) => added)),
		states: changed.flatMap(({counted, changedKeys}) => changedKeys.map(key => ({key, sequence: counted[key]!.sequence}))),
		rows: changed.map(({startMs: countedMs, version, counted}) => ({startMs: countedMs, version, counted})),
		lateParts: changed.filter(count => count.startMs !== startMs).flatMap(({changedKeys}) => changedKeys).length,
	};
};
