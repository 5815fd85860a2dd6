/**
 * Figures over the seeds of one strategy on one workload.
 */
import {divideCapacity} from '@hawthorncleat/core';
import {mean, sampleStandardDeviation} from 'simple-statistics';
import type {AccountResult, RunResult} from './run.js';

/** Mean over the seeds, with standard deviation and extremes. */
export type Spread = {readonly mean: number; readonly deviation: number; readonly min: number; readonly max: number};

export type Summary = {
	readonly deployment: string;
	readonly workload: string;
	readonly strategy: string;
	readonly runs: number;
	/** Parts of the offered requests and tokens that were answered on time. */
	readonly onTimeRequests: Spread;
	readonly onTimeTokens: Spread;
	/** Worst account against the mean of all: served part of its entitlement. */
	readonly worstAccount: Spread;
	/** The same with each account's plain part of on-time answers, which counts a burst's refused excess as unfairness. */
	readonly worstAccountPlain: Spread;
	readonly roleChanges: Spread;
	readonly endpointHours: Spread;
	readonly refused: Spread;
	readonly refusalMedianMs: Spread;
	readonly refusalP99Ms: Spread;
	readonly late: Spread;
	readonly lost: Spread;
	readonly deskOnTime: Spread;
	/** On-time requests a second and role changes, by 10 s of the run, mean over the seeds. */
	readonly onTimePerSecond: readonly number[];
	readonly roleChangesByBucket: readonly number[];
};

/** Summarises one figure over the seeds. */
export const spread = (values: readonly number[]): Spread => ({
	mean: mean([...values]),
	deviation: values.length > 1 ? sampleStandardDeviation([...values]) : 0,
	min: Math.min(...values),
	max: Math.max(...values),
});

const worstAgainstMean = (parts: readonly number[]): number => {
	const average = mean([...parts]);
	return average === 0 ? 0 : Math.min(...parts) / average;
};

/**
 * An account is entitled to its weighted max-min fair part of the work that was served on time, and to no more than it
 * asked for. The worst account's served part of this is compared with the mean.
 */
export const worstEntitled = (accounts: readonly AccountResult[]): number => {
	const served = accounts.reduce((sum, {onTimeWork}) => sum + onTimeWork, 0);
	const entitled = divideCapacity(accounts.map(({weight, offeredWork}) => ({weight, work: offeredWork})), served);
	return worstAgainstMean(accounts.map(({onTimeWork}, index) => {
		const work = entitled[index]!;
		return work === 0 ? 1 : Math.min(1, onTimeWork / work);
	}));
};

const worstPlain = (accounts: readonly AccountResult[]): number =>
	worstAgainstMean(accounts.map(({offered, onTime}) => offered === 0 ? 1 : onTime / offered));

const byBucket = (results: readonly RunResult[], bucketMs: number): number[] => {
	const buckets = results[0]!.onTimeByBucket.map(() => 0);
	for (const changeMs of results.flatMap(({roleChangesMs}) => roleChangesMs)) {
		const bucket = Math.floor(changeMs / bucketMs);
		if (bucket < buckets.length) {
			buckets[bucket]! += 1 / results.length;
		}
	}

	return buckets;
};

/** Summarises the runs of one strategy on one workload. */
export const summarise = (
	names: Pick<Summary, 'deployment' | 'strategy' | 'workload'>,
	results: readonly RunResult[],
	bucketMs: number,
): Summary => {
	const over = (figure: (result: RunResult) => number): Spread => spread(results.map(result => figure(result)));
	return {
		...names,
		runs: results.length,
		onTimeRequests: over(({onTime, offered}) => onTime.requests / offered.requests),
		onTimeTokens: over(({onTime, offered}) => onTime.tokens / offered.tokens),
		worstAccount: over(({accounts}) => worstEntitled(accounts)),
		worstAccountPlain: over(({accounts}) => worstPlain(accounts)),
		roleChanges: over(({roleChangesMs}) => roleChangesMs.length),
		endpointHours: over(({endpointHours}) => endpointHours),
		refused: over(({refused}) => refused),
		refusalMedianMs: over(({refusalMs}) => refusalMs.median),
		refusalP99Ms: over(({refusalMs}) => refusalMs.p99),
		late: over(({late}) => late),
		lost: over(({lost}) => lost),
		deskOnTime: over(({desk}) => desk.onTime / desk.offered),
		onTimePerSecond: results[0]!.onTimeByBucket.map((_, bucket) =>
			mean(results.map(({onTimeByBucket}) => onTimeByBucket[bucket]!)) * 1000 / bucketMs),
		roleChangesByBucket: byBucket(results, bucketMs),
	};
};
