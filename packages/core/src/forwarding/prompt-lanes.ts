/**
 * Size-based assignment of prompts to prefill engines, against head-of-line blocking: an engine finishes the prompt that it has begun, so one
 * long prompt delays all short ones behind it. While long prompts are a part of the demand, a few engines take them, as many as
 * their share of the work needs, and the short prompts go to the others. All entries derive the same engines from the demand that they
 * all learn of, so no message is needed; entries that differ by an engine for a moment only weigh that engine differently.
 */
import {largePromptTokens} from './priority-level.js';

/** Long prompts among the demand of a service. */
export type LongPromptDemand = {
	/** Fraction of the prefill work that is theirs. */
	readonly workFraction: number;
	/** Mean uncached tokens of one. */
	readonly meanTokens: number;
};

/** An engine that may belong to the lane. */
type LaneEngine = {
	readonly endpoint: {readonly id: string};
	readonly prefillLatency: {readonly msPerToken: number; prefillMs(size: {uncachedTokens: number; cachedTokens: number}): number};
};

export type PromptLane<Engine> = {
	/** Engines that take the long prompts; empty while prompts are not kept apart. */
	readonly engines: ReadonlySet<Engine>;
	readonly longTokens: number;
};

/** With fewer engines, keeping one for long prompts would take too large a part from the short ones. */
const minEngines = 6;
/** With less work than this fraction, long prompts are too rare for an engine of their own. */
const minWorkFraction = 0.05;
/** The short prompts, which are most of the requests, keep at least half of the engines. */
const maxEngineFraction = 0.5;
/** A slower engine than this multiple of the median does not take long prompts: they would miss their latency target by their own work alone. */
const maxSlowdown = 1.4;

export const isLongPrompt = (uncachedTokens: number): boolean => uncachedTokens > largePromptTokens;

const median = (values: readonly number[]): number => values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)]!;

/** Selects the engines for long prompts. Their order does not depend on the load, so that all entries select the same ones. */
export const findPromptLane = <Engine extends LaneEngine>(prefillers: readonly Engine[], demand: LongPromptDemand | undefined): PromptLane<Engine> => {
	if (!demand || prefillers.length < minEngines || demand.workFraction < minWorkFraction) {
		return {engines: new Set(), longTokens: 0};
	}

	const medianMs = median(prefillers.map(({prefillLatency}) => prefillLatency.msPerToken));
	const suited = prefillers
		.filter(({prefillLatency}) => prefillLatency.msPerToken <= medianMs * maxSlowdown)
		.toSorted((a, b) => a.endpoint.id < b.endpoint.id ? -1 : 1);
	const count = Math.ceil(prefillers.length * Math.min(maxEngineFraction, demand.workFraction));
	return {engines: new Set(suited.slice(0, count)), longTokens: demand.meanTokens};
};

/**
 * Cost of an engine of the other lane, in milliseconds of delay. A long prompt would hold up the short ones there for half of its work on average, and
 * a short prompt would wait as long for one that another entry has sent. A shorter wait can outweigh both.
 */
export const laneCostMs = <Engine extends LaneEngine>(engine: Engine, {uncachedTokens, ownMs}: {uncachedTokens: number; ownMs: number}, {engines, longTokens}: PromptLane<Engine>): number => {
	if (engines.size === 0 || isLongPrompt(uncachedTokens) === engines.has(engine)) {
		return 0;
	}

	const longMs = isLongPrompt(uncachedTokens) ? ownMs : engine.prefillLatency.prefillMs({uncachedTokens: longTokens, cachedTokens: 0});
	return longMs / 2;
};

/** Where a prompt went: a long one to an engine for long prompts, a short one to one for short prompts, or across because the wait was shorter there. */
export type LaneUse = 'crossed' | 'long' | 'short';

/** Undefined while prompts are not kept apart. */
export const laneUseOf = <Engine>(engine: Engine, uncachedTokens: number, {engines}: PromptLane<Engine>): LaneUse | undefined => {
	if (engines.size === 0) {
		return undefined;
	}

	const isLong = isLongPrompt(uncachedTokens);
	return isLong === engines.has(engine) ? (isLong ? 'long' : 'short') : 'crossed';
};
