/**
 * Estimates how much of a demand for prefill and decode a set of engines can serve, from the number of engines in each role
 * and the speed of one engine.
 */
import {
	decodeTokensPerSecond, canMixedEngineServe, servesStage, type EngineRates, type EngineRole, type TokenThroughput,
} from './engine-model.js';

/** Number of engines in each role. An engine that changes its role counts as its new role. */
export type RoleCounts = {readonly mixed: number; readonly prefill: number; readonly decode: number};

/** Work that callers request, without prompt tokens that are expected in a cache. */
export type TokenDemand = TokenThroughput;

export type CapacityModel = {readonly rates: EngineRates; readonly maxMsPerToken: number};

export const countRoles = (roles: readonly EngineRole[]): RoleCounts => ({
	mixed: roles.filter(role => role === 'mixed').length,
	prefill: roles.filter(role => role === 'prefill').length,
	decode: roles.filter(role => role === 'decode').length,
});

/** Adds up the engines of several groups, role by role. */
export const sumRoles = (counts: Iterable<RoleCounts>): RoleCounts => {
	const sum = {mixed: 0, prefill: 0, decode: 0};
	for (const {mixed, prefill, decode} of counts) {
		sum.mixed += mixed;
		sum.prefill += prefill;
		sum.decode += decode;
	}

	return sum;
};

/** Multiplies the number of engines in each role by the factor. */
export const scaleRoles = ({mixed, prefill, decode}: RoleCounts, factor: number): RoleCounts =>
	({mixed: mixed * factor, prefill: prefill * factor, decode: decode * factor});

/** Number of engines that the demand needs for each stage if no engine is mixed. */
export const enginesNeeded = (model: CapacityModel, demand: TokenDemand): Record<'decode' | 'prefill', number> => ({
	prefill: demand.promptTokensPerSecond / model.rates.prefillTokensPerSecond,
	decode: demand.outputTokensPerSecond / decodeTokensPerSecond(model.rates, model.maxMsPerToken),
});

/** Whether the engines can serve the fraction of the demand. Mixed engines serve what exceeds the capacity of the specialised ones. */
const isServable = (model: CapacityModel, demand: TokenDemand, counts: RoleCounts, fraction: number): boolean => {
	const {rates, maxMsPerToken} = model;
	const prefill = counts.prefill * rates.prefillTokensPerSecond;
	const decode = counts.decode * decodeTokensPerSecond(rates, maxMsPerToken);
	const mixedPromptTokens = Math.max(0, (demand.promptTokensPerSecond * fraction) - prefill);
	const mixedOutputTokens = Math.max(0, (demand.outputTokensPerSecond * fraction) - decode);
	if (counts.mixed === 0) {
		return mixedPromptTokens + mixedOutputTokens === 0;
	}

	return canMixedEngineServe(rates, maxMsPerToken, {
		promptTokensPerSecond: mixedPromptTokens / counts.mixed,
		outputTokensPerSecond: mixedOutputTokens / counts.mixed,
	});
};

/** Engine time for a request in seconds: the prefill of its uncached tokens plus the decode of its output. */
export const estimateEngineSeconds = ({rates, maxMsPerToken}: CapacityModel, uncachedTokens: number, outputTokens: number): number =>
	(uncachedTokens / rates.prefillTokensPerSecond) + (outputTokens / decodeTokensPerSecond(rates, maxMsPerToken));

const bisectionSteps = 30;

/** Fraction of the demand that the engines can serve. It is greater than 1 if they have spare capacity. */
export const servableFraction = (model: CapacityModel, demand: TokenDemand, counts: RoleCounts): number => {
	const needed = enginesNeeded(model, demand);
	let low = 0;
	let high = 2 * (counts.mixed + counts.prefill + counts.decode) / Math.max(1e-9, needed.prefill + needed.decode);
	for (let step = 0; step < bisectionSteps; step++) {
		const midpoint = (low + high) / 2;
		if (isServable(model, demand, counts, midpoint)) {
			low = midpoint;
		} else {
			high = midpoint;
		}
	}

	return low;
};

/** Whether at least one of the roles serves prefill and at least one serves decode. */
export const coversBothStages = (roles: readonly EngineRole[]): boolean =>
	roles.some(role => servesStage(role, 'prefill')) && roles.some(role => servesStage(role, 'decode'));
