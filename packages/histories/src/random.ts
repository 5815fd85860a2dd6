/**
 * Seeded random choices, so that a run of a history test can be repeated from its seed.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Random choices that follow from a seed. */
export type SeededRandom = {
	/** An integer from `from` to `to`, both included. */
	integer(from: number, to: number): number;
	/** One of the values. */
	pick<Value>(values: readonly Value[]): Value;
	/** True with the given probability. */
	chance(probability: number): boolean;
	/** An independent generator whose choices do not depend on how often this one is used later. */
	fork(): SeededRandom;
};

const chanceSteps = 1_000_000;

/** Creates the generator of a seed. */
export const createSeededRandom = (seed: number): SeededRandom => {
	const generator = xoroshiro128plus(seed);
	const integer = (from: number, to: number): number => uniformInt(generator, from, to);
	return {
		integer,
		pick(values) {
			if (values.length === 0) {
				throw new RangeError('there is nothing to pick from');
			}

			return values[integer(0, values.length - 1)]!;
		},
		chance: probability => integer(1, chanceSteps) <= probability * chanceSteps,
		fork: () => createSeededRandom(integer(0, 0x7F_FF_FF_FF)),
	};
};
