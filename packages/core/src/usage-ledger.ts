/**
 * Which usage counts in which frozen window. Parts are cumulative, so what a part holds beyond its last counted state is
 * the usage that has not been billed yet.
 */
import {createHash} from 'node:crypto';
import type {UsageFigure} from '@hawthorncleat/schema';
import type {PartState} from './usage.js';

/**
 * Number of shards of client accounts. A change of this number moves accounts to other shards, whose rows do not say what
 * was counted for them; the reporter therefore refuses to work on rows of another number.
 */
export const usageShardCount = 2;

/**
 * How long after its end a window is frozen. Covers two flush intervals of an entry (5 s), the time of a slow write and
 * the difference between the hosts' clocks; usage that comes later is added to a later window.
 */
export const usageGraceMs = 15_000;

/**
 * How many windows after its own a window is looked at again for late usage. The gaps grow because each look reads all
 * parts of the window, while usage that is late by hours (an outage of the object store) may be billed late as well.
 */
export const lateCheckAgesInWindows: readonly number[] = [1, 4, 16, 64, 256, 1024];

/** A state of a part as the reporter reads it; `key` names the part, whatever its state. */
export type UsagePartState = {readonly key: string; readonly sequence: number; readonly figures: readonly UsageFigure[]};

/** The state of a window's parts up to which their usage is in frozen windows, for one shard. */
export type CountedParts = Readonly<Record<string, {readonly sequence: number; readonly figures: readonly UsageFigure[]}>>;

/** Usage that was not counted before, and the counted state that includes it. */
export type UsageCount = {readonly added: readonly UsageFigure[]; readonly counted: CountedParts; readonly changedKeys: readonly string[]};

/** Assigns an account to a shard. */
export const shardOfAccount = (clientAccount: string, shards: number = usageShardCount): number =>
	createHash('sha256').update(clientAccount).digest().readUInt32BE(0) % shards;

/** The earlier windows that are looked at again when `windowStartMs` is frozen. */
export const lateCheckWindowStarts = (windowStartMs: number, windowMs: number): number[] =>
	lateCheckAgesInWindows.map(age => windowStartMs - (age * windowMs)).filter(startMs => startMs >= 0);

/** Start of the window after the one that starts at `windowStartMs`. */
export const nextWindowStartMs = (windowStartMs: number, windowMs: number): number =>
	(Math.floor(windowStartMs / windowMs) + 1) * windowMs;

/** Whether a window has ended and its grace time has passed. */
export const isWindowDue = (windowStartMs: number, windowMs: number, wallNowMs: number): boolean =>
	wallNowMs >= nextWindowStartMs(windowStartMs, windowMs) + usageGraceMs;

const isZero = (figure: UsageFigure): boolean =>
	figure.promptTokens === 0 && figure.outputTokens === 0 && figure.serviceCalls === 0;

/** Adds figures up per account, ordered by account. */
export const sumFigures = (figures: readonly UsageFigure[]): UsageFigure[] => {
	const sums = new Map<string, UsageFigure>();
	for (const figure of figures) {
		const sum = sums.get(figure.clientAccount);
		sums.set(figure.clientAccount, {
			clientAccount: figure.clientAccount,
			promptTokens: (sum?.promptTokens ?? 0) + figure.promptTokens,
			outputTokens: (sum?.outputTokens ?? 0) + figure.outputTokens,
			serviceCalls: (sum?.serviceCalls ?? 0) + figure.serviceCalls,
		});
	}

	return [...sums.values()].toSorted((a, b) => a.clientAccount < b.clientAccount ? -1 : 1);
};

// A damaged part whose figures fall must not make a figure negative.
const subtract = (now: UsageFigure, before: UsageFigure | undefined): UsageFigure => ({
	clientAccount: now.clientAccount,
	promptTokens: Math.max(0, now.promptTokens - (before?.promptTokens ?? 0)),
	outputTokens: Math.max(0, now.outputTokens - (before?.outputTokens ?? 0)),
	serviceCalls: Math.max(0, now.serviceCalls - (before?.serviceCalls ?? 0)),
});

const countPart = (before: readonly UsageFigure[], now: readonly UsageFigure[]): {added: UsageFigure[]; counted: UsageFigure[]} => {
	const known = new Map(before.map(figure => [figure.clientAccount, figure]));
	const added = now.map(figure => subtract(figure, known.get(figure.clientAccount))).filter(figure => !isZero(figure));
	return {added, counted: sumFigures([...before, ...added])};
};

/**
 * The newest state of each part that is beyond its counted state. The others need not be read, because states are
 * cumulative.
 */
export const selectUncountedStates = (counted: CountedParts, states: readonly PartState[]): PartState[] => {
	const newest = new Map<string, PartState>();
	for (const state of states) {
		if (state.sequence > (newest.get(state.partKey)?.sequence ?? counted[state.partKey]?.sequence ?? 0)) {
			newest.set(state.partKey, state);
		}
	}

	return [...newest.values()];
};

/**
 * Counts what the parts of one window hold beyond the counted state. A part at a lower or equal sequence than counted adds
 * nothing, so that a list of objects from before the last count does no harm.
 */
export const countUsageParts = (before: CountedParts, parts: readonly UsagePartState[], shard: number, shards: number = usageShardCount): UsageCount => {
	const newer = parts.filter(part => part.sequence > (before[part.key]?.sequence ?? 0));
	const counts = newer.map(part => {
		const inShard = part.figures.filter(({clientAccount}) => shardOfAccount(clientAccount, shards) === shard);
		return {part, ...countPart(before[part.key]?.figures ?? [], inShard)};
	});
	const news = counts.map(({part, counted}) => [part.key, {sequence: part.sequence, figures: counted}] as const);
	return {
		added: sumFigures(counts.flatMap(({added}) => added)),
		counted: {...before, ...Object.fromEntries(news)},
		changedKeys: newer.map(({key}) => key),
	};
};
