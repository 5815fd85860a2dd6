/**
 * Who writes the usage counts of the fleet to the store, and when. All entries have the counts of all others from their broadcasts, so in each round of a
 * fleet that hears itself two entries write those of everyone. The rounds pass from entry to entry, so that one which does not reach the store delays
 * the others' counts by a round. The load that this answers: the loss of all entries at once, among 20 and more of which each would write for itself.
 */
import type {EntryPosition} from '@hawthorncleat/core';
import type {UsageCounts} from '../ports.js';
import {isFields, parseJson} from '../utils/value-checks.js';

/** With the age of a broadcast, all counts are in the store sooner than if each of 20 entries wrote its own. */
export const roundMs = 1400;
/** The second one covers for one that does not reach the store. */
const writersPerRound = 2;
/** A window of which broadcasts are late, or whose report is, is still written for this time after its end. */
const lateMs = 4000;
/** A row may have 64 KB, encoded in base64. */
const maxRowBytes = 32_000;
/** Row keys of counts that one entry wrote for others. */
const relayedPrefix = '~';

/** Number of the round. Entries agree about it as far as their times of day do. */
export const roundOf = (nowMs: number): number => Math.floor(nowMs / roundMs);

/** Whether an entry writes the counts of the fleet in a round. */
export const isWriterIn = (round: number, {index, count}: EntryPosition): boolean =>
	Array.from({length: writersPerRound}, (_, turn) => ((round * writersPerRound) + turn) % count).includes(index);

/** Each process writes its own counts of a window within this span after its end, before the report is due. */
const ownWriteFromMs = 300;
const ownWriteSpanMs = 1000;

/** When a process writes its own counts after the end of a window; not all at the same moment. */
export const ownWriteDelayMs = ({index, count}: EntryPosition): number => ownWriteFromMs + (ownWriteSpanMs * index / count);

/** Whether the counts of a window may still be needed by others. */
export const isWindowNeeded = (window: number, windowMs: number, nowMs: number): boolean => ((window + 1) * windowMs) + lateMs > nowMs;

export type OwnerCounts = ReadonlyMap<string, UsageCounts>;

/** Splits the counts of many processes into values that fit into rows. */
const splitCounts = (counts: OwnerCounts): string[] => {
	const values: string[] = [];
	let part: Record<string, UsageCounts> = {};
	let bytes = 0;
	for (const [owner, ownCounts] of counts) {
		const size = JSON.stringify([owner, ownCounts]).length;
		if (bytes > 0 && bytes + size > maxRowBytes) {
			values.push(JSON.stringify({relayed: part}));
			part = {};
			bytes = 0;
		}

		part[owner] = ownCounts;
		bytes += size;
	}

	return bytes > 0 ? [...values, JSON.stringify({relayed: part})] : values;
};

/**
 * Rows in which a process writes the counts of others. They are rows of their own, because a delayed write of them must not replace newer counts that
 * their owner has written. Entries of earlier versions take them for damaged and count nothing twice.
 */
export const relayedRows = (writer: string, counts: OwnerCounts, rowKey: (owner: string) => string): Array<{readonly key: string; readonly value: string}> =>
	splitCounts(counts).map((value, part) => ({key: rowKey(`${relayedPrefix}${part}/${writer}`), value}));

/** Counts by process of a row with those of others; undefined for any other row. */
export const readRelayedCounts = (value: string): Readonly<Record<string, unknown>> | undefined => {
	const row = parseJson(value);
	return isFields(row) && isFields(row.relayed) ? row.relayed : undefined;
};
