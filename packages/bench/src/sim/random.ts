/**
 * Random numbers of a run, all from its seed. Each part of a run draws from a stream of its own, so that one strategy's
 * draws do not change the workload of another.
 */
import type {Random} from '@hawthorncleat/core';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

// Odd, so that neighbouring seeds and streams give different states.
const streamFactor = 0x9E_37_79_B1;

/** Creates one of the random streams of a seed. */
export const createRandom = (seed: number, stream: number): Random => {
	const generator = xoroshiro128plus(Math.trunc(seed + (stream * streamFactor)));
	// The first values of neighbouring seeds are alike.
	for (let skipped = 0; skipped < 16; skipped++) {
		uniformFloat64(generator);
	}

	return () => uniformFloat64(generator);
};

/** Time until the next event of a Poisson process. */
export const drawExponential = (random: Random, mean: number): number => -Math.log(1 - random()) * mean;

/** Log-normal value with the given mean. */
export const drawLogNormal = (random: Random, mean: number, sigma: number): number => {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return mean * Math.exp((sigma * normal) - (sigma * sigma / 2));
};

/** Index drawn in proportion to the weights. */
export const drawIndex = (random: Random, weights: readonly number[]): number => {
	let left = random() * weights.reduce((sum, weight) => sum + weight, 0);
	const index = weights.findIndex(weight => {
		left -= weight;
		return left < 0;
	});
	return Math.max(0, index);
};
