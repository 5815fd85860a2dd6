/**
 * Chooses the endpoint of a request by the estimated time until it is served. The estimates use reports that lag, so
 * endpoints whose estimates differ by less than their uncertainty count as equal, and the better of two random ones of them
 * is chosen. Otherwise all entries would send their requests to the endpoint that has just reported that it is idle.
 */
import type {Random} from '../clock.js';
import {
	estimateMsPerToken, estimatePrefillMs, servesStage, type Stage,
} from './engine-model.js';
import type {EndpointState} from './load-estimator.js';

/** A prefix of the prompt that an engine may have in its cache, identified by its hash. */
export type PromptPrefix = {readonly prefix: string; readonly tokens: number};

export type EndpointChoiceRequest = {
	readonly stage: Stage;
	readonly promptTokens: number;
	/** Longest first. */
	readonly prefixes: readonly PromptPrefix[];
	/** Endpoints that have rejected this request or failed while they ran it. */
	readonly excluded: ReadonlySet<string>;
	/** Tokens of KV cache that the request occupies when its output is complete. */
	readonly kvTokens: number;
};

export type EndpointChoice = {
	readonly endpoint: EndpointState;
	/** For prefill the time until it is complete. For decode the distance plus the time per output token, and a penalty for a full engine. */
	readonly scoreMs: number;
	/** Expected number of prompt tokens that are not in the endpoint's cache. */
	readonly uncachedTokens: number;
};

// Maximum number of endpoints, with the best one, that count as equal.
const maxCandidates = 3;
// Smaller differences are noise even with fresh readings.
const minToleranceMs = 5;
const maxToleranceMs = 250;
// Error of the estimated wait as a fraction of the age of the reading: other entries fill a queue at about this rate.
const toleranceFractionOfAge = 0.1;
// A decode engine with a full batch or too little KV cache is chosen only when there is no other.
const overloadPenaltyMs = 10_000;

/** Expected number of prompt tokens that are not in the endpoint's cache. */
export const estimateUncachedTokens = (endpoint: EndpointState, request: EndpointChoiceRequest): number => {
	let cached = 0;
	for (const {prefix, tokens} of request.prefixes) {
		cached = Math.max(cached, tokens * endpoint.holdsPrefix(prefix));
	}

	return Math.max(1, request.promptTokens - cached);
};

const scorePrefill = (endpoint: EndpointState, uncachedTokens: number): number => {
	const {distanceMs, rates, role, running, waitingTokens} = endpoint;
	return distanceMs + estimatePrefillMs(rates, role, running, waitingTokens + uncachedTokens);
};

const scoreDecode = (endpoint: EndpointState, kvTokens: number): number => {
	const hasPrefillWork = endpoint.role === 'mixed' && endpoint.waitingTokens > 0;
	const msPerToken = estimateMsPerToken(endpoint.rates, endpoint.running + 1, hasPrefillWork);
	const isFull = endpoint.running >= endpoint.rates.maxRunning || endpoint.freeTokens < kvTokens;
	return endpoint.distanceMs + msPerToken + (isFull ? overloadPenaltyMs + endpoint.running : 0);
};

export const scoreEndpoint = (endpoint: EndpointState, request: EndpointChoiceRequest): EndpointChoice => {
	const uncachedTokens = request.stage === 'decode' ? 0 : estimateUncachedTokens(endpoint, request);
	const scoreMs = request.stage === 'decode'
		? scoreDecode(endpoint, request.kvTokens)
		: scorePrefill(endpoint, uncachedTokens);
	return {endpoint, scoreMs, uncachedTokens};
};

const toleranceMs = (best: EndpointChoice, request: EndpointChoiceRequest): number => {
	if (request.stage === 'decode') {
		return minToleranceMs;
	}

	return Math.min(maxToleranceMs, minToleranceMs + (toleranceFractionOfAge * best.endpoint.readingAgeMs));
};

/** Draws two random items of a list that is sorted from best to worst, and returns the better one. */
export const pickBetterOfTwo = <Item>(choices: readonly Item[], random: Random): Item | undefined => {
	const first = Math.floor(random() * choices.length);
	const second = Math.floor(random() * choices.length);
	return choices[Math.min(first, second)];
};

/** Chooses the endpoint for one stage of a request, or undefined when no endpoint serves the stage. */
export const chooseEndpoint = (
	states: readonly EndpointState[],
	request: EndpointChoiceRequest,
	random: Random,
): EndpointChoice | undefined => {
	const choices = states
		.filter(state => !state.leaving && servesStage(state.role, request.stage) && !request.excluded.has(state.id))
		.map(state => scoreEndpoint(state, request))
		.toSorted((a, b) => a.scoreMs - b.scoreMs);
	const best = choices[0];
	if (!best) {
		return undefined;
	}

	const limit = best.scoreMs + toleranceMs(best, request);
	return pickBetterOfTwo(choices.slice(0, maxCandidates).filter(({scoreMs}) => scoreMs <= limit), random);
};
