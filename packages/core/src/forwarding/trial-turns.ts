/**
 * Turns in which entries may try a prompt segment after its quarantine. A trial is told to the other entries before the next turn begins. Entries with few
 * requests that have the segment share a turn, because two of them hardly begin a trial at the same moment; otherwise a rare segment would wait long for a
 * request that arrives at the entry whose turn it is.
 */

/** Longer than the interval between two messages of an entry in all but the largest fleets. */
const turnMs = 1000;
const msPerSecond = 1000;
/** A trial begins in this part of a turn only, so that the others hear of it before the next turn. */
const beginMs = 500;
/** Requests a turn at the entries that share it. With more, trials would often begin side by side. */
const requestsPerTurn = 1;

/** Position of an entry among those of the fleet, in an order that all of them know. */
export type EntryPosition = {readonly index: number; readonly count: number};

/** Number of turns in a round, as an entry with this many requests a second sees it. */
const turnCount = (entries: number, requestsPerSecond: number): number => {
	const entriesPerTurn = Math.max(1, Math.floor(requestsPerTurn / (requestsPerSecond * turnMs / msPerSecond)));
	return Math.ceil(entries / entriesPerTurn);
};

/** Time until an entry may begin a trial; 0 if it may now. `elapsedMs`: time since the quarantine has ended; `requestsPerSecond`: those of this entry. */
export const trialWaitMs = (elapsedMs: number, {index, count}: EntryPosition, requestsPerSecond: number): number => {
	const turns = turnCount(count, requestsPerSecond);
	const roundMs = turns * turnMs;
	const ownBeginMs = (index % turns) * turnMs;
	const sinceOwnMs = (elapsedMs - ownBeginMs + roundMs) % roundMs;
	return sinceOwnMs < beginMs ? 0 : roundMs - sinceOwnMs;
};
