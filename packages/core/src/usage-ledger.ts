/**
 * Assigns usage to the windows in which it is billed. Usage parts are cumulative, so the unbilled usage of a part is the
 * difference between its current state and the state that was last counted. Usage that arrives after its window was frozen
 * is billed in a later window. The accounts are divided into shards, each with a reporter of its own.
 */
import {createHash} from 'node:crypto';
import type {UsageFigure} from '@hawthorncleat/schema';
import type {PartState} from './usage.js';

/**
 * Number of shards of client accounts. Another number would move accounts to shards whose rows do not contain what was
 * already counted for them, so the reporter rejects rows that were written with another number.
 */
export const usageShardCount = 2;

/**
 * Time between the end of a window and its freezing. It covers two flush intervals of an entry (5 s), a slow write and the
 * difference between the clocks of the hosts. Usage that arrives later is added to a later window.
 */
export const usageGraceMs = 15_000;

/**
 * Ages, in windows, at which a frozen window is checked again for late usage. The gaps grow because each check reads all
 * parts of the window, and usage that arrives hours late, after an outage of the object store, may also be billed late.
 */
export const lateCheckAgesInWindows: readonly number[] = [1, 4, 16, 64, 256, 1024];

/** One state of a usage part, as read by the reporter. `key` identifies the part and is the same for all its states. */
export type UsagePartState = {readonly key: string; readonly sequence: number; readonly figures: readonly UsageFigure[]};

/** For each part of a window, the state up to which its usage has been counted in frozen windows. It covers one shard. */
export type CountedParts = Readonly<Record<string, {readonly sequence: number; readonly figures: readonly UsageFigure[]}>>;

/** Newly counted usage, and the counted states that include it. */
export type UsageCount = {readonly added: readonly UsageFigure[]; readonly counted: CountedParts; readonly changedKeys: readonly string[]};

/** Assigns an account to a shard. */
export const shardOfAccount = (clientAccount: string, shards: number = usageShardCount): number =>
	createHash('sha256').update(clientAccount).digest().readUInt32BE(0) % shards;

/** Returns the start times of the earlier windows that are checked for late usage when `windowStartMs` is frozen. */
export const lateCheckWindowStarts = (windowStartMs: number, windowMs: number): number[] =>
	lateCheckAgesInWindows.map(age => windowStartMs - (age * windowMs)).filter(startMs => startMs >= 0);

/** Returns the start time of the window after the one that starts at `windowStartMs`. */
export const nextWindowStartMs = (windowStartMs: number, windowMs: number): number =>
	(Math.floor(windowStartMs / windowMs) + 1) * windowMs;

/** Whether a window has ended and its grace time has passed. */
export const isWindowDue = (windowStartMs: number, windowMs: number, wallNowMs: number): boolean =>
	wallNowMs >= nextWindowStartMs(windowStartMs, windowMs) + usageGraceMs;

const isZero = (figure: UsageFigure): boolean =>
	figure.promptTokens === 0 && figure.outputTokens === 0 && figure.serviceCalls === 0;

/** Adds up figures per account. The result is ordered by account. */
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

// The figures of a part never decrease unless it is damaged; even then no billed figure may be negative.
const subtract = (now: UsageFigure, before: UsageFigure | undefined): UsageFigure => ({
	clientAccount: now.clientAccount,
	promptTokens: Math.max(0, now.promptTokens - (before?.promptTokens ?? 0)),
	outputTokens: Math.max(0, now.outputTokens - (before?.outputTokens ?? 0)),
	serviceCalls: Math.max(0, now.serviceCalls - (before?.serviceCalls ?? 0)),
});

const countPart = (before: readonly UsageFigure[], now: readonly UsageFigure[]): {added: UsageFigure[]; counted: UsageFigure[]} => {
	const figuresByAccount = new Map(before.map(figure => [figure.clientAccount, figure]));
	const added = now.map(figure => subtract(figure, figuresByAccount.get(figure.clientAccount))).filter(figure => !isZero(figure));
	return {added, counted: sumFigures([...before, ...added])};
};

/**
 * Selects the newest state of each part, unless it has been counted. Older states need not be read, because states are
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
 * Counts the usage of the parts of one window that was not counted before. A state whose sequence number is not higher than
 * the counted one adds nothing, so an outdated list of objects causes no double billing.
 */
export const countUsageParts = (before: CountedParts, parts: readonly UsagePartState[], shard: number, shards: number = usageShardCount): UsageCount => {
	const newerParts = parts.filter(part => part.sequence > (before[part.key]?.sequence ?? 0));
	const counts = newerParts.map(part => {
		const inShard = part.figures.filter(({clientAccount}) => shardOfAccount(clientAccount, shards) === shard);
		return {part, ...countPart(before[part.key]?.figures ?? [], inShard)};
	});
	const countedEntries = counts.map(({part, counted}) => [part.key, {sequence: part.sequence, figures: counted}] as const);
	return {
		added: sumFigures(counts.flatMap(({added}) => added)),
		counted: {...before, ...Object.fromEntries(countedEntries)},
		changedKeys: newerParts.map(({key}) => key),
	};
};
