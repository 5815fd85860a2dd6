/**
 * Estimates of how fast an engine works in each role. A prefill engine works on prompts only, a decode engine on output
 * only; a mixed engine adds a chunk of prompt tokens to each decode step, which slows both.
 */

/** What an engine does. `service` is an endpoint that is not a model engine. */
export type EngineRole = 'mixed' | 'prefill' | 'decode' | 'service';

/** Stages of a model request: the prompt is processed, then tokens are produced. A plain service has one stage. */
export type Stage = 'prefill' | 'decode' | 'service';

/** Measured speeds of one kind of engine. */
export type EngineRates = {
	/** Prompt tokens a second while nothing else runs. */
	readonly prefillTokensPerSecond: number;
	/** Duration of a decode step apart from its requests. */
	readonly stepMs: number;
	/** Addition to a decode step for each running request. */
	readonly stepMsPerRequest: number;
	/** Prompt tokens that a mixed engine adds to one decode step. */
	readonly chunkTokens: number;
	/** Requests in one decode step at most. */
	readonly maxRunning: number;
};

/** Whether an engine of that role does work of that stage. */
export const servesStage = (role: EngineRole, stage: Stage): boolean =>
	role === stage || (role === 'mixed' && stage !== 'service');

/** Time of one prefill chunk on a mixed engine. */
export const prefillChunkMs = (rates: EngineRates): number => rates.chunkTokens * 1000 / rates.prefillTokensPerSecond;

const decodeStepMs = (rates: EngineRates, running: number): number => rates.stepMs + (rates.stepMsPerRequest * running);

/** Mean time between two tokens of a request when `running` requests share the engine. */
export const estimateMsPerToken = (rates: EngineRates, running: number, prefillBusy: boolean): number =>
	decodeStepMs(rates, running) + (prefillBusy ? prefillChunkMs(rates) : 0);

/** Prompt tokens a millisecond of an engine in its role with `running` requests in decode. */
export const estimatePrefillTokensPerMs = (rates: EngineRates, role: EngineRole, running: number): number => {
	if (role !== 'mixed' || running === 0) {
		return rates.prefillTokensPerSecond / 1000;
	}

	return rates.chunkTokens / estimateMsPerToken(rates, running, true);
};

// Without it, one answer in a hundred came up to 50 ms late; with a whole step none, but more were refused.
const waitedSteps = 0.25;

/**
 * Time until an engine has worked through `tokens` prompt tokens. On a mixed engine it includes part of a step, because a prompt
 * waits for the running step and its last chunk takes a whole one.
 */
export const estimatePrefillMs = (rates: EngineRates, role: EngineRole, running: number, tokens: number): number => {
	const stepMs = role === 'mixed' && running > 0 ? waitedSteps * estimateMsPerToken(rates, running, true) : 0;
	return stepMs + (tokens / estimatePrefillTokensPerMs(rates, role, running));
};

/** Most requests that an engine can decode at the pace limit. */
export const maxRunningWithinLatency = (rates: EngineRates, paceMs: number, prefillBusy: boolean): number => {
	const roomMs = paceMs - estimateMsPerToken(rates, 0, prefillBusy);
	const allowed = rates.stepMsPerRequest > 0 ? Math.floor(roomMs / rates.stepMsPerRequest) : rates.maxRunning;
	return Math.max(0, Math.min(rates.maxRunning, allowed));
};

/**
 * Requests that an engine is given at a time. One that misses the pace even alone gets as many as it takes: fewer would not
 * bring it within the pace, and without work its speeds could not be measured again.
 */
export const usableSlots = (rates: EngineRates, paceMs: number, prefillBusy: boolean): number => {
	const places = maxRunningWithinLatency(rates, paceMs, prefillBusy);
	return places < 1 ? rates.maxRunning : places;
};

/** Output tokens a second of a decode engine with a full batch that still meets the pace. */
export const decodeTokensPerSecond = (rates: EngineRates, paceMs: number): number => {
	const running = maxRunningWithinLatency(rates, paceMs, false);
	return running === 0 ? 0 : running * 1000 / estimateMsPerToken(rates, running, false);
};

/** Work of both stages, in tokens a second. */
export type TokenThroughput = {readonly promptTokensPerSecond: number; readonly outputTokensPerSecond: number};

/**
 * Whether one mixed engine can do that work at the pace. With `u` prompt and `v` output tokens a millisecond, a step takes
 * `s = stepMs / (1 - v * stepMsPerRequest - u / prefillRate)`; it may take no longer than the pace, `s * u` may not exceed
 * the chunk and `s * v` may not exceed the batch.
 */
export const canMixedEngineServe = (rates: EngineRates, paceMs: number, work: TokenThroughput): boolean => {
	const busy = (work.outputTokensPerSecond * rates.stepMsPerRequest / 1000)
		+ (work.promptTokensPerSecond / rates.prefillTokensPerSecond);
	if (busy >= 1) {
		return false;
	}

	const stepMs = rates.stepMs / (1 - busy);
	const chunkTokens = stepMs * work.promptTokensPerSecond / 1000;
	const running = stepMs * work.outputTokensPerSecond / 1000;
	return stepMs <= paceMs && chunkTokens <= rates.chunkTokens && running <= rates.maxRunning;
};
