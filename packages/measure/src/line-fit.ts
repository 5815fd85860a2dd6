/**
 * Slopes: what one more of something costs, from measurements at two or more sizes.
 */

/** One measurement: the size and what it cost. */
export type Sample = {readonly size: number; readonly value: number};

/** A straight line through samples. */
export type Line = {readonly base: number; readonly slope: number};

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Fits a line by least squares. Throws unless there are two different sizes. */
export const fitLine = (samples: readonly Sample[]): Line => {
	const meanSize = mean(samples.map(({size}) => size));
	const meanValue = mean(samples.map(({value}) => value));
	const spread = samples.reduce((sum, {size}) => sum + ((size - meanSize) ** 2), 0);
	if (!(spread > 0)) {
		throw new RangeError('a slope needs two different sizes');
	}

	const slope = samples.reduce((sum, {size, value}) => sum + ((size - meanSize) * (value - meanValue)), 0) / spread;
	return {slope, base: meanValue - (slope * meanSize)};
};

/** Work of equal requests that differ only in their number of tokens. */
export type RequestCost = {readonly tokensPerRequest: number; readonly cpuMsPerRequest: number};

/** Splits the cost of requests into a part per request and a part per token. */
export const splitRequestCost = (costs: readonly RequestCost[]): {readonly perRequestMs: number; readonly perTokenMs: number} => {
	const line = fitLine(costs.map(({tokensPerRequest, cpuMsPerRequest}) => ({size: tokensPerRequest, value: cpuMsPerRequest})));
	return {perRequestMs: line.base, perTokenMs: line.slope};
};
