/**
 * The compared strategies by key. Keys pass between threads, strategies do not.
 */
import {followEveryReport, leastLoad, roundRobin} from './baselines.js';
import {createFixedSplit, hawthorncleat} from './hawthorncleat.js';
import type {Strategy} from './strategy.js';

/** Key of the strategy under test. */
export const testedKey = 'hawthorncleat';

/** Baselines that the bounds refer to. */
export const baselineKeys = ['round-robin', 'least-load', 'follow-reports'] as const;

const named: Readonly<Record<string, Strategy>> = {
	'round-robin': roundRobin,
	'least-load': leastLoad,
	'follow-reports': followEveryReport,
	[testedKey]: hawthorncleat,
};

/** Key of the decisions without a planner, with fixed numbers of prefill and decode engines and the rest mixed. */
export const splitKey = (prefill: number, decode: number): string => `split ${prefill}p ${decode}d`;

/** Finds the strategy of a key. */
export const findStrategy = (key: string): Strategy => {
	const split = /^split (\d+)p (\d+)d$/.exec(key);
	const strategy = split ? createFixedSplit(Number(split[1]), Number(split[2])) : named[key];
	if (!strategy) {
		throw new Error(`unknown strategy ${key}`);
	}

	return strategy;
};
