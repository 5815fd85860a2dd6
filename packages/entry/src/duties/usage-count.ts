/**
 * Reads the parts of a window and of the earlier windows that are looked at again, and counts what is new in them.
 */
import {
	countUsageParts, parseUsageObjectKey, selectUncountedStates, sumFigures, lateCheckWindowStarts, type CountedParts, type UsagePartState, type PartState,
} from '@hawthorncleat/core';
import type {ObjectStore, Table} from '@hawthorncleat/store';
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

const noteInvalid = ({metrics, log}: CountOptions, key: string): void => {
	metrics.invalidParts.inc();
	log.warn('usage part is not readable', {key});
};

const listStates = async (options: CountOptions, startMs: number): Promise<PartState[]> => {
	const keys = await options.objects.list(partsPrefix(startMs));
	return keys.flatMap(key => {
		const state = parseUsageObjectKey(key);
		if (!state) {
			noteInvalid(options, key);
		}

		return state ?? [];
	});
};

const readNewParts = async (options: CountOptions, startMs: number, counted: CountedParts): Promise<UsagePartState[]> => {
	const states = selectUncountedStates(counted, await listStates(options, startMs));
	const parts: UsagePartState[] = [];
	for (let first = 0; first < states.length; first += readsAtOnce) {
		const batch = states.slice(first, first + readsAtOnce);
		const values = await Promise.all(batch.map(async state => ({
			state, part: readPart(state, await options.objects.read(state.objectKey)),
		})));
		for (const {state, part} of values) {
			if (part) {
				parts.push(part);
			} else {
				noteInvalid(options, state.objectKey);
			}
		}
	}

	return parts;
};

const countOne = async (options: CountOptions, startMs: number) => {
	const row = await options.table.read(countedKey(startMs, options.shard));
	const before = readCounted(row);
	const parts = await readNewParts(options, startMs, before);
	const {added, counted, changedKeys} = countUsageParts(before, parts, options.shard);
	return {
		startMs, version: row?.version ?? null, counted, added, changedKeys,
	};
};

/** Counts the window that starts at `startMs` together with late usage of earlier windows. */
export const countWindow = async (options: CountOptions, startMs: number): Promise<WindowCount> => {
	const counts = [];
	for (const countedMs of [startMs, ...lateCheckWindowStarts(startMs, options.windowMs)]) {
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
