/**
 * Chooses the endpoint of a request by the estimated time until it is served. The estimate rests on lagging reports, so
 * endpoints that differ by less than the uncertainty of the readings count as equal, and of these the better of two
 * random ones is taken. Otherwise all entries would send to the endpoint that has just reported idle.
 */
import type {Random} from '../clock.js';
import {
	estimateMsPerToken, estimatePrefillMs, servesStage, type Stage,
} from './engine-model.js';
import type {EndpointState} from './load-estimator.js';

/** A prefix of the prompt that a cache may hold, named by its hash. */
export type PromptPrefix = {readonly prefix: string; readonly tokens: number};

export type EndpointChoiceRequest = {
	readonly stage: Stage;
	readonly promptTokens: number;
	/** Longest first. */
	readonly prefixes: readonly PromptPrefix[];
	/** Endpoints that have refused or failed this request. */
	readonly excluded: ReadonlySet<string>;
	/** Tokens of KV cache that the request takes at its end. */
	readonly kvTokens: number;
};

export type EndpointChoice = {
	readonly endpoint: EndpointState;
	/** Time until the stage is done for prefill, or until the first decode step, with the pace weighted in. */
	readonly scoreMs: number;
	/** Prompt tokens that are expected to need work. */
	readonly uncachedTokens: number;
};

// At most this many endpoints count as equal to the best one.
const shortListSize = 3;
// Differences below this are noise even with fresh readings.
const minToleranceMs = 5;
const maxToleranceMs = 250;
// Part of a reading's age by which the estimated wait may be wrong: other entries fill a queue about that fast.
const tolerancePerAge = 0.1;
// A decode engine over its pace or without KV space is taken only when there is no other.
const overloadPenaltyMs = 10_000;

/** Prompt tokens that are expected to need work at the endpoint. */
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
	const prefillBusy = endpoint.role === 'mixed' && endpoint.waitingTokens > 0;
	const pace = estimateMsPerToken(endpoint.rates, endpoint.running + 1, prefillBusy);
	const full = endpoint.running >= endpoint.rates.maxRunning || endpoint.freeTokens < kvTokens;
	return endpoint.distanceMs + pace + (full ? overloadPenaltyMs + endpoint.running : 0);
};

/** Scores one endpoint for a request. */
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

	return Math.min(maxToleranceMs, minToleranceMs + (tolerancePerAge * best.endpoint.readingAgeMs));
};

/** Takes the better of two random ones of a list in order of score. */
export const pickBetterOfTwo = <Item>(choices: readonly Item[], random: Random): Item | undefined => {
	const first = Math.floor(random() * choices.length);
	const second = Math.floor(random() * choices.length);
	return choices[Math.min(first, second)];
};

/** Chooses the endpoint for one stage of a request; undefined when none serves it. */
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
	return pickBetterOfTwo(choices.slice(0, shortListSize).filter(({scoreMs}) => scoreMs <= limit), random);
};
