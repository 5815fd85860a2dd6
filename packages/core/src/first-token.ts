/**
 * Measured rates of one engine and the estimate, made from them, of when a request gets its first token. An agent
 * refuses a request at once whose first token would be late.
 */

// Each sample moves an average by this share, so that a shift of the token mix shows after a few dozen requests.
const sampleShare = 0.1;
const initialTokensPerCharacter = 0.25;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 10_000;
const unmeasuredRetryAfterMs = 1000;

type Average = number | undefined;

/** Exponentially weighted averages; undefined until the first sample. */
export type EngineRates = {
	readonly prefillTokens: Average;
	readonly prefillMs: Average;
	readonly decodeTokens: Average;
	readonly decodeMs: Average;
	/** Prompt tokens for each character of the prompt. */
	readonly tokensPerCharacter: number;
};

export const initialRates: EngineRates = {
	prefillTokens: undefined,
	prefillMs: undefined,
	decodeTokens: undefined,
	decodeMs: undefined,
	tokensPerCharacter: initialTokensPerCharacter,
};

/** What one finished request shows. Durations are divided by the number of requests that shared the engine. */
export type RateSample = {
	readonly promptCharacters: number;
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly outputTokens: number;
	readonly prefillMs: number;
	readonly decodeMs: number;
};

const average = (before: Average, sample: number): number =>
	before === undefined ? sample : before + (sampleShare * (sample - before));

/**
 * Adds a sample. Tokens and durations are averaged apart, so that long prompts count by their length and the fixed cost
 * of short ones does not make the engine look slow.
 */
export const addSample = (rates: EngineRates, sample: RateSample): EngineRates => ({
	prefillTokens: average(rates.prefillTokens, Math.max(0, sample.promptTokens - sample.cachedTokens)),
	prefillMs: average(rates.prefillMs, sample.prefillMs),
	decodeTokens: average(rates.decodeTokens, sample.outputTokens),
	decodeMs: average(rates.decodeMs, sample.decodeMs),
	tokensPerCharacter: sample.promptCharacters === 0
		? rates.tokensPerCharacter
		: average(rates.tokensPerCharacter, sample.promptTokens / sample.promptCharacters),
});

const duration = (tokens: number, averageTokens: Average, averageMs: Average): number =>
	averageTokens === undefined || averageMs === undefined ? 0 : tokens * (averageMs / Math.max(1, averageTokens));

/** Expected work of a request, in tokens. */
export type WorkEstimate = {readonly prefillTokens: number; readonly decodeTokens: number};

/** Estimates the work of a request from its size and from what earlier requests produced. */
export const estimateWork = (rates: EngineRates, promptCharacters: number, maxTokens: number): WorkEstimate => ({
	prefillTokens: Math.ceil(promptCharacters * rates.tokensPerCharacter),
	decodeTokens: Math.ceil(Math.min(maxTokens, rates.decodeTokens ?? maxTokens)),
});

export type QueueView = {
	readonly running: number;
	readonly maxRunning: number;
	readonly waitingTokens: number;
	readonly maxWaitingTokens: number;
	/** Work that waits, split by kind. */
	readonly waiting: WorkEstimate;
	readonly rates: EngineRates;
};

/** Estimated time until the first token of a request that is queued now. */
export const estimateFirstTokenMs = (view: QueueView, own: WorkEstimate): number => {
	const {rates} = view;
	const isFull = view.running >= view.maxRunning;
	// With every place taken, one of them becomes free after about an average request's share of the engine.
	const decodeAhead = view.waiting.decodeTokens + (isFull ? rates.decodeTokens ?? 0 : 0);
	const prefillAhead = view.waiting.prefillTokens + own.prefillTokens;
	return duration(decodeAhead, rates.decodeTokens, rates.decodeMs)
		+ duration(prefillAhead, rates.prefillTokens, rates.prefillMs);
};

/** Whether a queue takes a request. */
export type QueueDecision = {readonly accepted: true} | {readonly accepted: false; readonly retryAfterMs: number};

const refuse = (retryAfterMs: number): QueueDecision => ({
	accepted: false,
	retryAfterMs: Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, retryAfterMs))),
});

/** Accepts a request whose first token can be in time. An engine with a free place and no queue takes any request. */
export const decideQueueing = (view: QueueView, own: WorkEstimate, firstTokenInMs: number): QueueDecision => {
	if (view.running < view.maxRunning && view.waitingTokens === 0) {
		return {accepted: true};
	}

	const estimateMs = estimateFirstTokenMs(view, own);
	if (view.waitingTokens + own.prefillTokens + own.decodeTokens > view.maxWaitingTokens) {
		return refuse(estimateMs === 0 ? unmeasuredRetryAfterMs : estimateMs / 2);
	}

	return estimateMs > firstTokenInMs ? refuse(estimateMs - firstTokenInMs) : {accepted: true};
};
