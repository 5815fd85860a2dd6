/**
 * Estimates the speed of an engine in each role. A prefill engine processes only prompts, and a decode engine only generates
 * output. A mixed engine adds a chunk of prompt tokens to each decode step, which slows down both.
 */

/** The stages that an endpoint serves. `service` is the role of an endpoint that is not a model engine. */
export type EngineRole = 'mixed' | 'prefill' | 'decode' | 'service';

/** Stages of a request: a model request has prefill and decode, and a call of a plain service has one stage. */
export type Stage = 'prefill' | 'decode' | 'service';

/** Speed of one kind of engine. */
export type EngineRates = {
	/** Prefill rate while no request is in decode. */
	readonly prefillTokensPerSecond: number;
	/** Fixed duration of a decode step, without the addition for its requests. */
	readonly stepMs: number;
	/** Addition to a decode step for each running request. */
	readonly stepMsPerRequest: number;
	/** Prompt tokens that a mixed engine adds to one decode step. */
	readonly chunkTokens: number;
	/** Maximum number of requests in one decode step. */
	readonly maxRunning: number;
};

/** Whether an endpoint with this role serves the stage. */
export const servesStage = (role: EngineRole, stage: Stage): boolean =>
	role === stage || (role === 'mixed' && stage !== 'service');

/** Duration of one prefill chunk on a mixed engine. */
export const prefillChunkMs = (rates: EngineRates): number => rates.chunkTokens * 1000 / rates.prefillTokensPerSecond;

const decodeStepMs = (rates: EngineRates, running: number): number => rates.stepMs + (rates.stepMsPerRequest * running);

/** Mean time per output token of a request when `running` requests share the engine. */
export const estimateMsPerToken = (rates: EngineRates, running: number, hasPrefillWork: boolean): number =>
	decodeStepMs(rates, running) + (hasPrefillWork ? prefillChunkMs(rates) : 0);

/** Prefill rate of an engine in its role, in tokens per millisecond, with `running` requests in decode. */
export const estimatePrefillTokensPerMs = (rates: EngineRates, role: EngineRole, running: number): number => {
	if (role !== 'mixed' || running === 0) {
		return rates.prefillTokensPerSecond / 1000;
	}

	return rates.chunkTokens / estimateMsPerToken(rates, running, true);
};

// With 0, one answer in a hundred was up to 50 ms late. With a whole step none was late, but more requests were rejected.
const waitedStepFraction = 0.25;

/**
 * Time until an engine has processed `tokens` prompt tokens. On a mixed engine it includes a fraction of a step, because a prompt
 * waits for the end of the running step and its last chunk takes a whole step.
 */
export const estimatePrefillMs = (rates: EngineRates, role: EngineRole, running: number, tokens: number): number => {
	const stepMs = role === 'mixed' && running > 0 ? waitedStepFraction * estimateMsPerToken(rates, running, true) : 0;
	return stepMs + (tokens / estimatePrefillTokensPerMs(rates, role, running));
};

/** Maximum number of requests that an engine can decode within the limit for the time per output token. */
export const maxRunningWithinLatency = (rates: EngineRates, maxMsPerToken: number, hasPrefillWork: boolean): number => {
	const remainingMs = maxMsPerToken - estimateMsPerToken(rates, 0, hasPrefillWork);
	const allowed = rates.stepMsPerRequest > 0 ? Math.floor(remainingMs / rates.stepMsPerRequest) : rates.maxRunning;
	return Math.max(0, Math.min(rates.maxRunning, allowed));
};

/**
 * Number of requests that an engine should run at a time. An engine that misses the latency limit even with one request gets
 * its full batch: fewer requests would not bring it within the limit, and without work its speed could not be measured again.
 */
export const usableSlots = (rates: EngineRates, maxMsPerToken: number, hasPrefillWork: boolean): number => {
	const slots = maxRunningWithinLatency(rates, maxMsPerToken, hasPrefillWork);
	return slots < 1 ? rates.maxRunning : slots;
};

/** Output rate of a decode engine with the largest batch that meets the limit for the time per output token. */
export const decodeTokensPerSecond = (rates: EngineRates, maxMsPerToken: number): number => {
	const running = maxRunningWithinLatency(rates, maxMsPerToken, false);
	return running === 0 ? 0 : running * 1000 / estimateMsPerToken(rates, running, false);
};

/** Work of both stages, as token rates. */
export type TokenThroughput = {readonly promptTokensPerSecond: number; readonly outputTokensPerSecond: number};

/**
 * Whether one mixed engine can serve the work within the limit for the time per output token. With `u` prompt and `v` output
 * tokens per millisecond, a step takes `s = stepMs / (1 - v * stepMsPerRequest - u / prefillRate)`. It must not exceed the
 * limit, `s * u` must not exceed the chunk size, and `s * v` must not exceed the batch size.
 */
export const canMixedEngineServe = (rates: EngineRates, maxMsPerToken: number, work: TokenThroughput): boolean => {
	const utilization = (work.outputTokensPerSecond * rates.stepMsPerRequest / 1000)
		+ (work.promptTokensPerSecond / rates.prefillTokensPerSecond);
	if (utilization >= 1) {
		return false;
	}

	const stepMs = rates.stepMs / (1 - utilization);
	const chunkTokens = stepMs * work.promptTokensPerSecond / 1000;
	const running = stepMs * work.outputTokensPerSecond / 1000;
	return stepMs <= maxMsPerToken && chunkTokens <= rates.chunkTokens && running <= rates.maxRunning;
};
