/**
 * How much of a demand for prefill and decode a set of engines in given roles can serve.
 */
import {
	decodeTokensPerSecond, canMixedEngineServe, servesStage, type EngineRates, type EngineRole, type TokenThroughput,
} from './engine-model.js';

/** Engines by role; a changing engine counts as its new role. */
export type RoleCounts = {readonly mixed: number; readonly prefill: number; readonly decode: number};

/** Work that callers ask for; prompt tokens that are expected in a cache do not count. */
export type TokenDemand = TokenThroughput;

export type CapacityModel = {readonly rates: EngineRates; readonly maxMsPerToken: number};

/** Counts the engines of each role. */
export const countRoles = (roles: readonly EngineRole[]): RoleCounts => ({
	mixed: roles.filter(role => role === 'mixed').length,
	prefill: roles.filter(role => role === 'prefill').length,
	decode: roles.filter(role => role === 'decode').length,
});

/** Sum of the engines of several groups. */
export const sumRoles = (counts: Iterable<RoleCounts>): RoleCounts => {
	const sum = {mixed: 0, prefill: 0, decode: 0};
	for (const {mixed, prefill, decode} of counts) {
		sum.mixed += mixed;
		sum.prefill += prefill;
		sum.decode += decode;
	}

	return sum;
};

/** A part or a multiple of the engines, in the same proportion of the roles. */
export const scaleRoles = ({mixed, prefill, decode}: RoleCounts, factor: number): RoleCounts =>
	({mixed: mixed * factor, prefill: prefill * factor, decode: decode * factor});

/** Engines that the demand needs for each stage when no engine is mixed. */
export const enginesNeeded = (model: CapacityModel, demand: TokenDemand): Record<'decode' | 'prefill', number> => ({
	prefill: demand.promptTokensPerSecond / model.rates.prefillTokensPerSecond,
	decode: demand.outputTokensPerSecond / decodeTokensPerSecond(model.rates, model.maxMsPerToken),
});

/** Whether the mixed engines can do what the specialised ones leave of a part of the demand. */
const isServable = (model: CapacityModel, demand: TokenDemand, counts: RoleCounts, part: number): boolean => {
	const {rates, maxMsPerToken: paceMs} = model;
	const prefill = counts.prefill * rates.prefillTokensPerSecond;
	const decode = counts.decode * decodeTokensPerSecond(rates, paceMs);
	const promptLeft = Math.max(0, (demand.promptTokensPerSecond * part) - prefill);
	const outputLeft = Math.max(0, (demand.outputTokensPerSecond * part) - decode);
	if (counts.mixed === 0) {
		return promptLeft + outputLeft === 0;
	}

	return canMixedEngineServe(rates, paceMs, {
		promptTokensPerSecond: promptLeft / counts.mixed,
		outputTokensPerSecond: outputLeft / counts.mixed,
	});
};

/** Time in seconds that engines spend on a request, the prompt's without its cached tokens. */
export const estimateEngineSeconds = ({rates, maxMsPerToken: paceMs}: CapacityModel, uncachedTokens: number, outputTokens: number): number =>
	(uncachedTokens / rates.prefillTokensPerSecond) + (outputTokens / decodeTokensPerSecond(rates, paceMs));

const bisectionSteps = 30;

/** Part of the demand, above 1 where there is room, that the engines can serve with the mixed ones filling gaps. */
export const servableFraction = (model: CapacityModel, demand: TokenDemand, counts: RoleCounts): number => {
	const needed = enginesNeeded(model, demand);
	let low = 0;
	let high = 2 * (counts.mixed + counts.prefill + counts.decode) / Math.max(1e-9, needed.prefill + needed.decode);
	for (let step = 0; step < bisectionSteps; step++) {
		const middle = (low + high) / 2;
		if (isServable(model, demand, counts, middle)) {
			low = middle;
		} else {
			high = middle;
		}
	}

	return low;
};

/** Whether both stages have an endpoint among the roles. */
export const coversBothStages = (roles: readonly EngineRole[]): boolean =>
	roles.some(role => servesStage(role, 'prefill')) && roles.some(role => servesStage(role, 'decode'));
