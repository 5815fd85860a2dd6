/**
 * Defines the latency target of an answer and whether the answer meets it. Admission, endpoint choice and the benchmark use
 * this definition.
 */

/** Latency limits that the system guarantees the caller of a request. */
export type LatencyTarget = {
	/** Limit of the time to first token for an empty prompt, in milliseconds from the arrival of the request. */
	readonly firstTokenMs: number;
	/** Addition to the limit of the time to first token for each prompt token. */
	readonly firstTokenMsPerPromptToken: number;
	/** Limit of the mean time per output token after the first one. */
	readonly maxMsPerToken: number;
};

/** Allows 125 ms for each thousand prompt tokens, which is a prefill rate of 8,000 tokens/s. */
export const defaultLatencyTarget: LatencyTarget = {firstTokenMs: 420, firstTokenMsPerPromptToken: 0.125, maxMsPerToken: 66};

/** Limit of the time to first token for a prompt of this length, in milliseconds from the arrival of the request. */
export const firstTokenLimitMs = (target: LatencyTarget, promptTokens: number): number =>
	target.firstTokenMs + (target.firstTokenMsPerPromptToken * promptTokens);

/** Times of a complete answer, in milliseconds from the arrival of the request. */
export type AnswerTiming = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	readonly firstTokenMs: number;
	readonly lastTokenMs: number;
};

/** Whether the time to first token and the mean time per output token are both within the target. */
export const meetsTarget = (target: LatencyTarget, answer: AnswerTiming): boolean => {
	const intervals = Math.max(0, answer.outputTokens - 1);
	const decodeMs = answer.lastTokenMs - answer.firstTokenMs;
	return answer.firstTokenMs <= firstTokenLimitMs(target, answer.promptTokens) && decodeMs <= intervals * target.maxMsPerToken;
};
