/**
 * Admission control of an agent's queue. The agent measures the rates of its engine and estimates from them when a request
 * would get its first token, without more requests on the engine at once than the target for the time per output token
 * allows. A request whose first token would be late is rejected at once.
 */
import {admit} from './policy/admission.js';
import {usableSlots, type EngineRates, type EngineRole} from './policy/engine-model.js';
import {
	addDecodeStepSample, splitDecodeStep, type DecodeStepFit, type DecodeStepSample,
} from './policy/decode-step-fit.js';
import {defaultLatencyTarget} from './policy/targets.js';

// Weight of a new sample in the exponential averages. They follow a shift of the token mix within a few dozen requests.
const sampleWeight = 0.1;
const initialTokensPerCharacter = 0.25;
const minRetryAfterMs = 50;
const unmeasuredRetryAfterMs = 1000;
// Used until a prefill rate is measured. The first-token limit of the default target grows with the prompt at this rate.
const assumedPrefillTokensPerSecond = 8000;
/** Usual prefill chunk size of engines with continuous batching. The engine interface does not report the actual size. */
export const assumedPrefillChunkTokens = 256;

type Average = number | undefined;

/** Exponentially weighted averages of the finished requests, which are undefined until the first sample. */
export type MeasuredRates = {
	readonly prefillTokens: Average;
	readonly prefillMs: Average;
	readonly decodeTokens: Average;
	/** Fit of the decode step time; undefined until an answer had at least two tokens. */
	readonly step: DecodeStepFit | undefined;
	/** Prompt tokens per character of the prompt. */
	readonly tokensPerCharacter: number;
};

export const initialRates: MeasuredRates = {
	prefillTokens: undefined,
	prefillMs: undefined,
	decodeTokens: undefined,
	step: undefined,
	tokensPerCharacter: initialTokensPerCharacter,
};

/** The measurements of one finished request. */
export type RateSample = {
	readonly promptCharacters: number;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly outputTokens: number;
	/** Prefill time divided by the number of requests that shared the engine. */
	readonly prefillMs: number;
	/** Undefined if the answer had fewer than two tokens. */
	readonly step?: DecodeStepSample;
};

const average = (before: Average, sample: number): number =>
	before === undefined ? sample : before + (sampleWeight * (sample - before));

/**
 * Adds a sample to the averages. Tokens and durations are averaged separately, so that a prompt counts in proportion to its
 * length and the fixed cost of short prompts does not make the engine appear slow.
 */
export const addRateSample = (rates: MeasuredRates, sample: RateSample): MeasuredRates => ({
	prefillTokens: average(rates.prefillTokens, Math.max(0, sample.promptTokens - sample.cachedTokens)),
	prefillMs: average(rates.prefillMs, sample.prefillMs),
	decodeTokens: average(rates.decodeTokens, sample.outputTokens),
	step: sample.step ? addDecodeStepSample(rates.step, sample.step) : rates.step,
	tokensPerCharacter: sample.promptCharacters === 0
		? rates.tokensPerCharacter
		: average(rates.tokensPerCharacter, sample.promptTokens / sample.promptCharacters),
});

/**
 * Converts the measured rates to the form that admission and endpoint selection use. Returns undefined before the first
 * sample. The measured decode step time includes the prefill chunks that the engine processed in the same steps.
 */
export const toEngineRates = ({prefillTokens, prefillMs, step}: MeasuredRates, maxRunning: number): EngineRates | undefined => {
	if (prefillMs === undefined) {
		return undefined;
	}

	const {stepMs, stepMsPerRequest} = step ? splitDecodeStep(step) : {stepMs: 0, stepMsPerRequest: 0};
	return {
		prefillTokensPerSecond: prefillTokens && prefillMs ? 1000 * prefillTokens / prefillMs : assumedPrefillTokensPerSecond,
		stepMs,
		stepMsPerRequest,
		chunkTokens: assumedPrefillChunkTokens,
		maxRunning,
	};
};

/** Expected work of a request, in tokens. */
export type WorkEstimate = {readonly prefillTokens: number; readonly decodeTokens: number};

/** Estimates the work of a request from the length of its prompt and from the averages of earlier requests. */
export const estimateWork = (rates: MeasuredRates, promptCharacters: number, maxTokens: number): WorkEstimate => ({
	prefillTokens: Math.ceil(promptCharacters * rates.tokensPerCharacter),
	decodeTokens: Math.ceil(Math.min(maxTokens, rates.decodeTokens ?? maxTokens)),
});

/** State of an agent and its queue when a request arrives. */
export type QueueView = {
	readonly role: EngineRole;
	readonly running: number;
	readonly maxRunning: number;
	/** Whether the request fits within the size limit of the queue. */
	readonly hasCapacity: boolean;
	readonly waiting: number;
	/** Number of requests that the fair queue would start before this one, and their prompt tokens. */
	readonly ahead: {readonly requests: number; readonly promptTokens: number};
	readonly rates: MeasuredRates;
};

/**
 * Returns how many requests the agent runs on the engine at once within the target for the time per output token. A prefill
 * engine produces no output tokens, so the target does not limit it.
 */
export const agentSlots = ({role, maxRunning, rates}: Pick<QueueView, 'maxRunning' | 'rates' | 'role'>): number => {
	const engineRates = role === 'prefill' ? undefined : toEngineRates(rates, maxRunning);
	return engineRates ? usableSlots(engineRates, defaultLatencyTarget.maxMsPerToken, false) : maxRunning;
};

/** Whether the queue accepts a request. */
export type QueueDecision = {readonly accepted: true} | {readonly accepted: false; readonly retryAfterMs: number};

const accept: QueueDecision = {accepted: true};

/**
 * Accepts a request if its first token is expected within `firstTokenInMs`, including the wait for a usable slot. An agent
 * with a free slot and an empty queue accepts any request.
 */
export const decideQueueing = (view: QueueView, work: WorkEstimate, firstTokenInMs: number): QueueDecision => {
	const {role, running, ahead} = view;
	if (running < agentSlots(view) && view.waiting === 0) {
		return accept;
	}

	const rates = toEngineRates(view.rates, view.maxRunning);
	if (!rates) {
		return view.hasCapacity ? accept : {accepted: false, retryAfterMs: unmeasuredRetryAfterMs};
	}

	const state = {
		distanceMs: 0, rates, role, running,
	};
	const decode = {...state, running: running + ahead.requests, waitingTokens: 0};
	const admission = admit({
		prefill: {...state, waitingTokens: ahead.promptTokens},
		// A request that only needs a prefill uses no decode slot.
		...(work.decodeTokens > 0 && role !== 'prefill' && {decode: [decode]}),
	}, {
		target: {...defaultLatencyTarget, firstTokenMs: firstTokenInMs},
		promptTokens: work.prefillTokens,
		uncachedTokens: work.prefillTokens,
		outputTokens: work.decodeTokens,
		elapsedMs: 0,
		canWaitForSlot: true,
	});
	if (!admission.accepted) {
		return {accepted: false, retryAfterMs: admission.retryAfterMs};
	}

	// About the time in which half of the queued work is done.
	const retryAfterMs = Math.max(minRetryAfterMs, Math.round(admission.firstTokenInMs / 2));
	return view.hasCapacity ? accept : {accepted: false, retryAfterMs};
};
