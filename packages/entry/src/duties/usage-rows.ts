/**
 * Rows and objects of the usage reporter and the checks of what is read from them.
 */
import {
	validate, validators, type TableRow, type UsageFigure, type Validator,
} from '@hawthorncleat/schema';
import type {CountedParts, UsagePartState, PartState} from '@hawthorncleat/core';

/** Where the reporter of a shard stands. Windows are frozen and reported in order, without gaps. */
export type Progress = {
	/** Number of shards for which the rows were written. */
	readonly shards: number;
	/** Length of the windows; a window of another length would overlap those that were frozen. */
	readonly windowMs: number;
	/** Start of the next window to freeze, in milliseconds of the day's clock that names windows. */
	readonly nextMs: number;
	/** Start of the first window whose report is not confirmed. */
	readonly unreportedMs: number;
	readonly writeId: string;
};

/** A state of a part whose usage a frozen window counts; the key names window, entry and incarnation, not the object. */
export type CountedState = {readonly key: string; readonly sequence: number};

/** The figures of a window, written once and never changed. */
export type FrozenWindow = {
	readonly epoch: number;
	readonly figures: readonly UsageFigure[];
	readonly counted: readonly CountedState[];
};

export const progressPrefix = 'usage-progress/';

export const progressKey = (shard: number): string => `${progressPrefix}${shard}`;

export const frozenKey = (windowMs: number, shard: number): string => `usage/${windowMs}/${shard}`;

/** Key of the row with the parts of a window that frozen windows have counted, this window or later ones. */
export const countedKey = (windowMs: number, shard: number): string => `usage-counted/${windowMs}/${shard}`;

/** Prefix of the objects with the parts of a window. */
export const partsPrefix = (windowMs: number): string => `usage/${windowMs}/`;

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null && !Array.isArray(value);

const isFigures = (value: unknown): value is UsageFigure[] => Array.isArray(value)
	&& value.every(figure => validate<UsageFigure>(validators.validateUsageFigure as Validator, figure).ok);

const isNatural = (value: unknown): value is number => Number.isSafeInteger(value) && Number(value) >= 0;

const fail = (row: TableRow): never => {
	throw new TypeError(`row ${row.key} has an unexpected form`);
};

/** Reads the progress of a shard. */
export const readProgress = (row: TableRow): Progress => {
	const value = row.value as Partial<Progress> | null;
	const isValid = isRecord(value) && isNatural(value.shards) && isNatural(value.windowMs) && isNatural(value.nextMs) && isNatural(value.unreportedMs);
	return isValid ? value as Progress : fail(row);
};

/** Reads a frozen window. */
export const readFrozen = (row: TableRow): FrozenWindow => {
	const value = row.value as Partial<FrozenWindow> | null;
	return isRecord(value) && isFigures(value.figures) ? value as FrozenWindow : fail(row);
};

/** Reads the counted parts of a window; no row means that nothing of it was counted. */
export const readCounted = (row: TableRow | undefined): CountedParts => {
	if (!row) {
		return {};
	}

	const isValid = isRecord(row.value)
		&& Object.values(row.value).every(part => isRecord(part) && isNatural(part.sequence) && isFigures(part.figures));
	return isValid ? row.value as CountedParts : fail(row);
};

/** Reads a state of a part from its object; undefined if it has another form or is not the state that the key names. */
export const readPart = ({partKey, sequence}: PartState, value: unknown): UsagePartState | undefined => {
	const isState = isRecord(value) && value.sequence === sequence && isFigures(value.figures);
	return isState ? {key: partKey, sequence, figures: value.figures as UsageFigure[]} : undefined;
};

const windowOfPart = (key: string): number | undefined => {
	const startMs = Number(/^usage\/(\d+)\/./.exec(key)?.[1]);
	return isNatural(startMs) ? startMs : undefined;
};

/** Start of the earliest window that the keys of parts name. */
export const findFirstWindow = (partKeys: readonly string[]): number | undefined => partKeys
	.map(key => windowOfPart(key))
	.filter(startMs => startMs !== undefined)
	.toSorted((a, b) => a - b)[0];
