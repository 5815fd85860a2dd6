/**
 * Behaviour of plain services in history tests, chosen by seed: some time on both sides of the effect, so that faults
 * meet calls under way, and some calls that fail.
 */
import type {PlainServiceOptions, ServiceBehaviour} from '@hawthorncleat/stand-ins';
import {createSeededRandom, type SeededRandom} from './random.js';

const maxDelayMs = 60;
const failureShare = 0.04;

const chooseFailure = (random: SeededRandom): ServiceBehaviour => random.pick([
	{drop: 'before-effect'}, {drop: 'after-effect'}, {status: 503}, {status: 500, effect: true},
] as const);

/** Options of a plain service that is slow and fails now and then. */
export const createServiceOptions = (seed: number): PlainServiceOptions => {
	const random = createSeededRandom(seed);
	return {
		chooseBehaviour: () => ({
			delayBeforeMs: random.integer(0, maxDelayMs),
			delayAfterMs: random.integer(0, maxDelayMs),
			...random.chance(failureShare) && chooseFailure(random),
		}),
	};
};
