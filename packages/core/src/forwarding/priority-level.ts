/**
 * Priority levels of model requests in the queue of an engine, and how long callers wait in it. In a burst beyond the capacity of the engines, a
 * request that can no longer meet its latency target is queued behind all that can, and one whose caller would give up first is rejected at once.
 */
import {priorityLevelCount} from './prefill-backlog.js';

/** Levels for each priority, so that large prompts are queued behind small ones of the same priority. */
const levelsPerPriority = 3;
/** Prompts up to this length are served first within their priority. */
const smallPromptTokens = 4000;
export const largePromptTokens = 16_000;
/** Level of requests that will miss their latency target. */
export const lowestPriorityLevel = priorityLevelCount - 1;

/** Level of a request in the queue. A large prompt gets a later level, so that it does not hold up many small ones of the same priority. */
export const choosePriorityLevel = (priority: number, promptTokens: number): number => {
	const sizeClass = Number(promptTokens > smallPromptTokens) + Number(promptTokens > largePromptTokens);
	return Math.max(0, Math.min(lowestPriorityLevel - 1, (priority * levelsPerPriority) + sizeClass));
};

/** Priority to which a level belongs. */
export const priorityOfLevel = (level: number): number => Math.floor(level / levelsPerPriority);

/** Callers give up on a stream without a first event after the longest of this time and the multiples of latency target and gap below. */
const minQueueLimitMs = 2000;
const queueLimitLatencyTargets = 4;
const queueLimitGaps = 8;

/** How long a caller waits for the first event of a stream. */
export const maxQueueMs = ({latencyTargetMs, maxGapMs}: {readonly latencyTargetMs: number; readonly maxGapMs: number}): number =>
	Math.max(minQueueLimitMs, latencyTargetMs * queueLimitLatencyTargets, maxGapMs * queueLimitGaps);
