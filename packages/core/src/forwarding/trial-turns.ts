/**
 * Turns in which entries may try a request or a prompt segment after its quarantine. A trial is told to the other entries before the next turn begins. Entries
 * with few requests of that kind share a turn, because two of them hardly begin a trial at the same moment; otherwise a rare one would wait long for an arrival at
 * the entry whose turn it is.
 */
import {LatestTimes} from './latest-times.js';

/** Longer than the interval between two messages of an entry in all but the largest fleets. */
const turnMs = 1000;
const msPerSecond = 1000;
/** A trial begins in this part of a turn only, so that the others hear of it before the next turn. */
const beginMs = 500;
/** Requests a turn at the entries that share it. With more, trials would often begin side by side. */
const requestsPerTurn = 1;
/** Arrivals of this time tell how often a request or a segment is asked for. */
const arrivalWindowMs = 10_000;
/** With more arrivals in the window, an entry shares its turn with no other. */
const maxArrivalTimes = 16;

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

/** Arrivals of requests that wait for a trial, by what is tried. */
export class TrialArrivals<Key> {
	readonly #times = new LatestTimes<Key>(maxArrivalTimes);

	record(key: Key, nowMs: number): void {
		this.#times.record(key, nowMs);
	}

	forget(key: Key): void {
		this.#times.forget(key);
	}

	/** Arrivals a second lately; never zero. */
	perSecond(key: Key, nowMs: number): number {
		return Math.max(1, this.#times.countSince(key, nowMs - arrivalWindowMs)) / arrivalWindowMs * msPerSecond;
	}
}
