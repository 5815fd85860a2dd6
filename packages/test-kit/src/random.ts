/** A random source whose values depend on a seed alone. */

const multiplier = 1_103_515_245;
const increment = 12_345;
const modulus = 2_147_483_648;

/** Creates a deterministic sequence in the range [0, 1). */
export const createSeededRandom = (seed: number): (() => number) => {
	let state = seed;
	return () => {
		state = ((state * multiplier) + increment) % modulus;
		return state / modulus;
	};
};
