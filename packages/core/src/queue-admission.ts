/**
 * Measured rates of one engine, and the agent's decision, made from them, whether a request may wait in its queue. An
 * agent refuses a request at once whose first token or pace would be late.
 */
import {admit} from './policy/admission.js';
import {placesAtPace, type EngineRates, type EngineRole} from './policy/engine-model.js';
import {
	addStepSample, stepParts, type StepFit, type StepSample,
} from './policy/step-fit.js';
import {defaultTarget} from './policy/targets.js';

// Each sample moves an average by this share, so that a shift of the token mix shows after a few dozen requests.
const sampleShare = 0.1;
const initialTokensPerCharacter = 0.25;
const minRetryAfterMs = 50;
const unmeasuredRetryAfterMs = 1000;
// Prefill rate that the allowance for long prompts is made for.
const unmeasuredPrefillRate = 8000;
/** Usual chunk of engines with continuous batching; the engine interface does not tell it. */
export const assumedPrefillChunkTokens = 256;

type Average = number | undefined;

/** Exponentially weighted averages; undefined until the first sample. */
export type MeasuredRates = {
	readonly prefillTokens: Average;
	readonly prefillMs: Average;
	readonly decodeTokens: Average;
	/** Time of a decode step; undefined until an answer of at least two tokens. */
	readonly step: StepFit | undefined;
	/** Prompt tokens for each character of the prompt. */
	readonly tokensPerCharacter: number;
};

export const initialRates: MeasuredRates = {
	prefillTokens: undefined,
	prefillMs: undefined,
	decodeTokens: undefined,
	step: undefined,
	tokensPerCharacter: initialTokensPerCharacter,
};

/** What one finished request shows. */
export type RateSample = {
	readonly promptCharacters: number;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly outputTokens: number;
	/** Divided by the number of requests that shared the engine. */
	readonly prefillMs: number;
	/** Undefined for an answer without two tokens. */
	readonly step?: StepSample;
};

const average = (before: Average, sample: number): number =>
	before === undefined ? sample : before + (sampleShare * (sample - before));

/**
 * Adds a sample. Tokens and durations are averaged apart, so that long prompts count by their length and the fixed cost
 * of short ones does not make the engine look slow.
 */
export const addRateSample = (rates: MeasuredRates, sample: RateSample): MeasuredRates => ({
	prefillTokens: average(rates.prefillTokens, Math.max(0, sample.promptTokens - sample.cachedTokens)),
	prefillMs: average(rates.prefillMs, sample.prefillMs),
	decodeTokens: average(rates.decodeTokens, sample.outputTokens),
	step: sample.step ? addStepSample(rates.step, sample.step) : rates.step,
	tokensPerCharacter: sample.promptCharacters === 0
		? rates.tokensPerCharacter
		: average(rates.tokensPerCharacter, sample.promptTokens / sample.promptCharacters),
});

/**
 * The measured speeds in the form in which admission and endpoint choice use them; undefined before the first sample. The
 * measured step contains the prompts that were worked on meanwhile.
 */
export const toEngineRates = ({prefillTokens, prefillMs, step}: MeasuredRates, maxRunning: number): EngineRates | undefined => {
	if (prefillMs === undefined) {
		return undefined;
	}

	const {stepMs, stepMsPerRequest} = step ? stepParts(step) : {stepMs: 0, stepMsPerRequest: 0};
	return {
		prefillTokensPerSecond: prefillTokens && prefillMs ? 1000 * prefillTokens / prefillMs : unmeasuredPrefillRate,
		stepMs,
		stepMsPerRequest,
		chunkTokens: assumedPrefillChunkTokens,
		maxRunning,
	};
};

/** Expected work of a request, in tokens. */
export type WorkEstimate = {readonly prefillTokens: number; readonly decodeTokens: number};

/** Estimates the work of a request from its size and from what earlier requests produced. */
export const estimateWork = (rates: MeasuredRates, promptCharacters: number, maxTokens: number): WorkEstimate => ({
	prefillTokens: Math.ceil(promptCharacters * rates.tokensPerCharacter),
	decodeTokens: Math.ceil(Math.min(maxTokens, rates.decodeTokens ?? maxTokens)),
});

/** The state of an agent when a request arrives. */
export type QueueView = {
	readonly role: EngineRole;
	readonly running: number;
	readonly maxRunning: number;
	/** Whether the queue's bound allows the request. */
	readonly hasSpareCapacity: boolean;
	readonly waiting: number;
	/** Requests that the fair queue would start before this one, and their prompt tokens. */
	readonly ahead: {readonly requests: number; readonly promptTokens: number};
	readonly rates: MeasuredRates;
};

/** Requests that the agent gives to the engine at a time. A prefill engine has no pace to keep. */
export const usableSlots = ({role, maxRunning, rates}: Pick<QueueView, 'maxRunning' | 'rates' | 'role'>): number => {
	const engineRates = role === 'prefill' ? undefined : toEngineRates(rates, maxRunning);
	return engineRates ? placesAtPace(engineRates, defaultTarget.paceMs, false) : maxRunning;
};

/** Whether a queue takes a request. */
export type QueueDecision = {readonly accepted: true} | {readonly accepted: false; readonly retryAfterMs: number};

const accept: QueueDecision = {accepted: true};

/**
 * Accepts a request whose first token can be in time, the wait for a place at the pace included. An engine with a free
 * place and no queue takes any request.
 */
export const decideQueueing = (view: QueueView, own: WorkEstimate, firstTokenInMs: number): QueueDecision => {
	const {role, running, ahead} = view;
	if (running < usableSlots(view) && view.waiting === 0) {
		return accept;
	}

	const rates = toEngineRates(view.rates, view.maxRunning);
	if (!rates) {
		return view.hasSpareCapacity ? accept : {accepted: false, retryAfterMs: unmeasuredRetryAfterMs};
	}

	const state = {
		distanceMs: 0, rates, role, running,
	};
	const decode = {...state, running: running + ahead.requests, waitingTokens: 0};
	const admission = admit({
		prefill: {...state, waitingTokens: ahead.promptTokens},
		// A prefill alone takes no place in decode.
		...(own.decodeTokens > 0 && role !== 'prefill' && {decode: [decode]}),
	}, {
		target: {...defaultTarget, firstTokenMs: firstTokenInMs},
		promptTokens: own.prefillTokens,
		uncachedTokens: own.prefillTokens,
		outputTokens: own.decodeTokens,
		elapsedMs: 0,
		waitsForPlace: true,
	});
	if (!admission.accepted) {
		return {accepted: false, retryAfterMs: admission.retryAfterMs};
	}

	// About the time in which half of the queue is worked off.
	const retryAfterMs = Math.max(minRetryAfterMs, Math.round(admission.firstTokenInMs / 2));
	return view.hasSpareCapacity ? accept : {accepted: false, retryAfterMs};
};
