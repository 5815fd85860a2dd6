/**
 * Splits the measured time of a decode step into a fixed part and a part for each running request, by a line through
 * exponentially weighted samples. Without the split, a few requests on an idle engine would look as slow for each request
 * as a full batch, and admission by pace would refuse what the engine can do.
 */

/** Weighted means of the samples. */
export type DecodeStepFit = {
	readonly running: number;
	readonly stepMs: number;
	readonly runningSquared: number;
	readonly product: number;
	/** Kept while the number of running requests does not vary enough to show it. */
	readonly stepMsPerRequest: number;
};

export type DecodeStepSample = {
	/** Mean number of requests that decoded together. */
	readonly running: number;
	/** Mean time between two tokens of one of them. */
	readonly stepMs: number;
};

// Each sample moves the means by this share, like the other measured rates.
const sampleShare = 0.1;
// Standard deviation of the running requests against their mean below which a slope would be noise.
const minVariation = 0.1;

const fitSlope = ({running, stepMs, runningSquared, product, stepMsPerRequest}: DecodeStepFit): number => {
	const variance = runningSquared - (running ** 2);
	if (variance < (minVariation * running) ** 2) {
		return stepMsPerRequest;
	}

	// Neither part of a step can be negative.
	return Math.min(stepMs / running, Math.max(0, (product - (running * stepMs)) / variance));
};

/** Adds a sample; the first one starts the fit. */
export const addDecodeStepSample = (fit: DecodeStepFit | undefined, {running, stepMs}: DecodeStepSample): DecodeStepFit => {
	const sample = {
		running, stepMs, runningSquared: running ** 2, product: running * stepMs,
	};
	if (!fit) {
		return {...sample, stepMsPerRequest: 0};
	}

	const move = (before: number, value: number): number => before + (sampleShare * (value - before));
	const moved = {
		running: move(fit.running, running),
		stepMs: move(fit.stepMs, stepMs),
		runningSquared: move(fit.runningSquared, sample.runningSquared),
		product: move(fit.product, sample.product),
		stepMsPerRequest: fit.stepMsPerRequest,
	};
	return {...moved, stepMsPerRequest: fitSlope(moved)};
};

/** The two parts of a step. */
export const splitDecodeStep = ({running, stepMs, stepMsPerRequest}: DecodeStepFit): {readonly stepMs: number; readonly stepMsPerRequest: number} => {
	const perRequest = Math.min(stepMsPerRequest, stepMs / running);
	return {stepMs: stepMs - (perRequest * running), stepMsPerRequest: perRequest};
};
