/**
 * The one definition of an answer that is on time. Admission, endpoint choice and the benchmark all use it.
 */

/** What a caller is promised for one request. */
export type LatencyTarget = {
	/** Limit of the first token before the prompt allowance, in milliseconds from arrival. */
	readonly firstTokenMs: number;
	/** Prompt allowance: added to the first token's limit for each prompt token, in milliseconds. */
	readonly firstTokenMsPerPromptToken: number;
	/** Limit of the mean time between two tokens, in milliseconds. */
	readonly maxMsPerToken: number;
};

/** Allows 125 ms for each thousand prompt tokens, which is a prefill rate of 8,000 tokens/s. */
export const defaultLatencyTarget: LatencyTarget = {firstTokenMs: 420, firstTokenMsPerPromptToken: 0.125, maxMsPerToken: 66};

/** Latest time of the first token, in milliseconds from arrival. */
export const firstTokenLimitMs = (target: LatencyTarget, promptTokens: number): number =>
	target.firstTokenMs + (target.firstTokenMsPerPromptToken * promptTokens);

/** Times of a complete answer, in milliseconds from the request's arrival. */
export type AnswerTiming = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly firstTokenMs: number;
	readonly lastTokenMs: number;
};

/** An answer is on time when its first token and its mean pace are both within the target. */
export const meetsTarget = (target: LatencyTarget, answer: AnswerTiming): boolean => {
	const gaps = Math.max(0, answer.outputTokens - 1);
	const pacedMs = answer.lastTokenMs - answer.firstTokenMs;
	return answer.firstTokenMs <= firstTokenLimitMs(target, answer.promptTokens) && pacedMs <= gaps * target.maxMsPerToken;
};
