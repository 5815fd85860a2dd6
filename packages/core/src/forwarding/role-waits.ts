/**
 * Predicts how long requests of a service wait for a given division of its engines between prefill and decode. Each role is a queue with
 * as many servers as it has engines, so a large role stands a higher utilisation than a small one, and a role of long or uneven prompts
 * less than one of short ones. The prediction covers the present mix, swings to longer prompts and to longer answers, and the loss of an engine.
 */

/** Demand on one role. */
export type RoleDemand = {
	/** Engines that the demand would keep busy. */
	readonly neededEngines: number;
	/** Mean time for which one request occupies an engine; for decode, its share of a full engine. */
	readonly serviceMs: number;
	/** Squared coefficient of variation of that time. */
	readonly squaredVariation: number;
};

export type ServiceDemand = {readonly prefill: RoleDemand; readonly decode: RoleDemand};

/** Number of engines in each role. */
export type RoleDivision = {readonly prefill: number; readonly decode: number};

/** Utilisation up to which the queue is assumed to be stable; the formula diverges at 1. */
const maxStableUtilisation = 0.95;
/** An overload is assumed to last this long, so callers wait for half of it times the excess. */
const overloadMs = 5000;
/** Wait in a role without engines: callers give up. */
const unservedMs = 10_000;
/** Fraction of a decode engine's full token rate that is usable at an even load; above it, its streams slow down quickly. */
export const usableDecodeFraction = 0.8;
/** Probability that a given engine is away during the horizon of a division. */
const lossProbability = 0.01;
/** Factor by which the demand of one role rises when the mix swings. */
const swingFactor = 1.2;
const swings = [{prefill: 1, decode: 1}, {prefill: swingFactor, decode: 1}, {prefill: 1, decode: swingFactor}] as const;

/** Mean wait in a queue with general service times, by Sakasegawa's approximation of several servers. */
const queueWaitMs = ({neededEngines, serviceMs, squaredVariation}: RoleDemand, engines: number): number => {
	if (neededEngines <= 0) {
		return 0;
	}

	if (engines <= 0) {
		return unservedMs;
	}

	const utilisation = neededEngines / engines;
	const stable = Math.min(maxStableUtilisation, utilisation);
	const busyFactor = (stable ** (Math.sqrt(2 * (engines + 1)) - 1)) / (engines * (1 - stable));
	const excess = Math.max(0, utilisation - maxStableUtilisation);
	return Math.min(unservedMs, (((1 + squaredVariation) / 2) * busyFactor * serviceMs) + (excess * overloadMs / 2));
};

const scale = (demand: RoleDemand, factor: number): RoleDemand => ({...demand, neededEngines: demand.neededEngines * factor});

/** Mean wait over the swings of the mix in one role. */
const roleWaitMs = (demand: RoleDemand, engines: number, factors: readonly number[]): number =>
	factors.reduce((sum, factor) => sum + queueWaitMs(scale(demand, factor), engines), 0) / factors.length;

const prefillSwings = swings.map(({prefill}) => prefill);
const decodeSwings = swings.map(({decode}) => decode);

const waitWithLossMs = (demand: RoleDemand, engines: number, factors: readonly number[]): number => {
	const lossFraction = Math.min(1, engines * lossProbability);
	return ((1 - lossFraction) * roleWaitMs(demand, engines, factors)) + (lossFraction * roleWaitMs(demand, engines - 1, factors));
};

const serviceWaitMs = ({prefill, decode}: ServiceDemand, division: RoleDivision): number =>
	waitWithLossMs(prefill, division.prefill, prefillSwings)
	+ waitWithLossMs(scale(decode, 1 / usableDecodeFraction), division.decode, decodeSwings);

/** Expected wait of a request, for prefill and decode together, as the mean over several demands; 0 without any. */
export const expectedWaitMs = (demands: readonly ServiceDemand[], division: RoleDivision): number =>
	demands.reduce((sum, demand) => sum + serviceWaitMs(demand, division), 0) / Math.max(1, demands.length);

/** From this number of engines on, two decode: the loss of the only one would stop all streams until another has changed its role. */
const minEnginesForTwoDecoders = 4;

/**
 * The division of the same engines with the lowest expected wait among those that leave each role enough engines to survive. Waits fall and then
 * rise with the number of prefill engines, so the search follows the slope from the present division.
 */
export const findBestDivision = (demands: readonly ServiceDemand[], division: RoleDivision): RoleDivision => {
	const engines = division.prefill + division.decode;
	const minDecode = engines >= minEnginesForTwoDecoders ? 2 : 1;
	let best = division;
	let bestMs = expectedWaitMs(demands, division);
	for (const step of [1, -1]) {
		for (let prefill = division.prefill + step; prefill >= 1 && prefill <= engines - minDecode; prefill += step) {
			const candidate = {prefill, decode: engines - prefill};
			const waitMs = expectedWaitMs(demands, candidate);
			if (waitMs >= bestMs) {
				break;
			}

			best = candidate;
			bestMs = waitMs;
		}
	}

	return best;
};
