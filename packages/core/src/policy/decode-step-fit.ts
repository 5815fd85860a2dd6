/**
 * Splits the measured duration of a decode step into a fixed duration and an addition for each running request, by a linear
 * regression on exponentially weighted samples. Without the split, the duration with a few requests would be extrapolated in
 * proportion to a full batch, and admission by the time per output token would reject requests that the engine can serve.
 */

/** Weighted means of the samples, and the fitted slope. */
export type DecodeStepFit = {
	readonly running: number;
	readonly stepMs: number;
	/** Mean of the squares of `running`. */
	readonly runningSquared: number;
	/** Mean of the products of `running` and `stepMs`. */
	readonly product: number;
	/** The slope. It stays unchanged while the number of running requests does not vary enough to measure it. */
	readonly stepMsPerRequest: number;
};

export type DecodeStepSample = {
	/** Mean number of requests in the decode batch. */
	readonly running: number;
	/** Mean time between two tokens of one of these requests. */
	readonly stepMs: number;
};

// Weight of each new sample in the exponentially weighted means. The other measured rates use the same weight.
const smoothingFactor = 0.1;
// Below this ratio of the standard deviation of the running requests to their mean, the slope would be noise.
const minRelativeDeviation = 0.1;

const fitSlope = ({running, stepMs, runningSquared, product, stepMsPerRequest}: DecodeStepFit): number => {
	const variance = runningSquared - (running ** 2);
	if (variance < (minRelativeDeviation * running) ** 2) {
		return stepMsPerRequest;
	}

	// Neither the fixed duration nor the addition for each request can be negative.
	return Math.min(stepMs / running, Math.max(0, (product - (running * stepMs)) / variance));
};

/** Adds a sample to a fit, or starts a fit with it. */
export const addDecodeStepSample = (fit: DecodeStepFit | undefined, {running, stepMs}: DecodeStepSample): DecodeStepFit => {
	const sample = {
		running, stepMs, runningSquared: running ** 2, product: running * stepMs,
	};
	if (!fit) {
		return {...sample, stepMsPerRequest: 0};
	}

	const smooth = (before: number, value: number): number => before + (smoothingFactor * (value - before));
	const smoothed = {
		running: smooth(fit.running, running),
		stepMs: smooth(fit.stepMs, stepMs),
		runningSquared: smooth(fit.runningSquared, sample.runningSquared),
		product: smooth(fit.product, sample.product),
		stepMsPerRequest: fit.stepMsPerRequest,
	};
	return {...smoothed, stepMsPerRequest: fitSlope(smoothed)};
};

/** The fixed duration of a decode step and the addition for each running request. */
export const splitDecodeStep = ({running, stepMs, stepMsPerRequest}: DecodeStepFit): {readonly stepMs: number; readonly stepMsPerRequest: number} => {
	const perRequest = Math.min(stepMsPerRequest, stepMs / running);
	return {stepMs: stepMs - (perRequest * running), stepMsPerRequest: perRequest};
};
