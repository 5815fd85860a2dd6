/**
 * Position of model requests in the queue of an engine. Answers the load of a burst beyond what the engines can do: a request
 * that can no longer be on time stands behind all that can, and one that its caller would not wait for is refused at once.
 */
import {priorityLevelCount} from './prefill-backlog.js';

/** Levels of the engine's queue between two priorities, for large prompts to stand behind small ones. */
const levelsPerPriority = 3;
/** Prompts of up to so many tokens go first within their priority. */
const smallPromptTokens = 4000;
export const largePromptTokens = 16_000;
/** Level of requests that will be late. */
export const lowestPriorityLevel = priorityLevelCount - 1;

/** A large prompt must not hold up many small ones of the same priority. */
export const choosePriorityLevel = (priority: number, promptTokens: number): number => {
	const size = Number(promptTokens > smallPromptTokens) + Number(promptTokens > largePromptTokens);
	return Math.max(0, Math.min(lowestPriorityLevel - 1, (priority * levelsPerPriority) + size));
};

/** Priority that a level stands for. */
export const priorityOfLevel = (level: number): number => Math.floor(level / levelsPerPriority);

/** Callers leave a stream without its first event after this time, or after so many latency targets or longest gaps. */
const minPatienceMs = 2000;
const patienceTargets = 4;
const patienceGaps = 8;

/** How long a caller waits for the first event of a stream. */
export const maxQueueMs = ({latencyTargetMs, maxGapMs}: {readonly latencyTargetMs: number; readonly maxGapMs: number}): number =>
	Math.max(minPatienceMs, latencyTargetMs * patienceTargets, maxGapMs * patienceGaps);
