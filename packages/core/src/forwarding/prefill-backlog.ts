/**
 * Estimate of the prefill backlog of an engine, in milliseconds of its work. An entry knows which of its own prefills have not completed, and
 * the other entries tell it the same of theirs. Between two messages the queue is played forward: an engine finishes the prompt that it has
 * begun, however urgent the waiting ones are, and then takes the oldest of the most urgent. A prefill of this entry that has not
 * completed keeps part of its work however long it takes, and what is queued behind it does not shrink meanwhile, so work that
 * nobody has told of yet shows as a longer backlog instead of as a queue that seems to empty.
 */

/** Number of priority levels of an engine's queue; level 0 is served first. */
export const priorityLevelCount = 10;

/** Time constant of the average arrival rate; a burst of one kind of requests lasts about as long. */
const rateDecayMs = 2000;
/** Upper bound of the fraction of engine time assumed for more urgent work; at 1, less urgent work would never be expected to complete. */
const maxUrgentFraction = 0.55;
/** Fraction of the work of an uncompleted prefill that is assumed to remain when its expected time has passed. */
const minRemainingFraction = 0.25;
/** Less work than this is not worth a record. */
const negligibleMs = 0.5;
/** Time until the other entries learn of a prefill: the interval of their messages, and the time until one is processed. */
const newsAgeMs = 150;
/** Weight of a new prompt in the mean work of the prompts of its level. */
const meanWorkDecay = 0.1;

/** Pending work of one priority level. */
export type LevelWork = {readonly level: number; readonly ms: number};

/** A prefill that this process has sent and whose completion it will observe. */
export type TrackedPrefill = {
	readonly level: number;
	readonly ms: number;
	remainingMs: number;
	/** Work of the other entries, by level, that had arrived before it. */
	readonly arrivedBeforeMs: Float64Array;
};

/** The prompt that the engine is assumed to be prefilling; `own` if this entry has sent it. */
type CurrentPrefill = {readonly level: number; readonly own?: TrackedPrefill; remainingMs: number};

const sumOf = (works: readonly TrackedPrefill[]): number => works.reduce((sum, {remainingMs}) => sum + remainingMs, 0);

/** Pending prefill work of one engine, by priority level. */
export class PrefillBacklog {
	/** Uncompleted prefills of this entry by level, oldest first. */
	readonly #own: TrackedPrefill[][] = Array.from({length: priorityLevelCount}, () => []);
	/** Pending work of the other entries: the sum of each level, and the share of each entry. */
	readonly #peerMs = new Float64Array(priorityLevelCount);
	readonly #peers = new Map<string, Float64Array>();
	/** Work that arrives per millisecond, the total that the other entries have sent, and the mean work of one prompt. */
	readonly #arrivalRates = new Float64Array(priorityLevelCount);
	readonly #arrivedMs = new Float64Array(priorityLevelCount);
	readonly #meanMs = new Float64Array(priorityLevelCount);
	#current: CurrentPrefill | undefined;
	#updatedMs: number;

	constructor(nowMs: number) {
		this.#updatedMs = nowMs;
	}

	/** Pending work ahead of a new request of this level. */
	waitMs(level: number, nowMs: number): number {
		this.#playForward(nowMs);
		let sum = this.#current && this.#current.level > level ? this.#current.remainingMs : 0;
		for (let index = 0; index <= level; index += 1) {
			sum += this.#peerMs[index]! + sumOf(this.#own[index]!);
		}

		return sum;
	}

	/** Expected time until a new prefill completes: the work ahead of it, the more urgent work that arrives meanwhile, and its own work. */
	completionMs(level: number, ownMs: number, nowMs: number): number {
		let urgentFraction = 0;
		for (let index = 0; index < level; index += 1) {
			urgentFraction += this.#arrivalRates[index]!;
		}

		return (this.waitMs(level, nowMs) / (1 - Math.min(maxUrgentFraction, urgentFraction))) + ownMs;
	}

	/** Work that the other entries are expected to have sent since their last messages. */
	unseenMs(nowMs: number): number {
		this.#playForward(nowMs);
		return newsAgeMs * this.#arrivalRates.reduce((sum, rate) => sum + rate, 0);
	}

	/** Counts a prefill that another entry has sent, without adding it to the pending work. */
	recordArrival(sent: LevelWork, nowMs: number): void {
		this.#playForward(nowMs);
		this.#countArrival(sent);
		this.#arrivedMs[sent.level]! += sent.ms;
	}

	/** Adds a prefill that another entry has sent and whose completion it does not report. */
	add(peer: string, sent: LevelWork, nowMs: number): void {
		this.recordArrival(sent, nowMs);
		const {level, ms} = sent;
		const work = this.#peers.get(peer) ?? new Float64Array(priorityLevelCount);
		work[level]! += ms;
		this.#peers.set(peer, work);
		this.#peerMs[level]! += ms;
		this.#startNext();
	}

	/** Replaces the pending work of another entry by what it says that it has there. */
	setPending(peer: string, pending: readonly LevelWork[], nowMs: number): void {
		this.#playForward(nowMs);
		this.#forget(peer);
		if (pending.length > 0) {
			const work = new Float64Array(priorityLevelCount);
			for (const {level, ms} of pending) {
				work[level]! += ms;
				this.#peerMs[level]! += ms;
			}

			this.#peers.set(peer, work);
		}

		this.#dropEmptyCurrent();
		this.#startNext();
	}

	/** Pending work that this entry has sent. */
	ownPending(nowMs: number): LevelWork[] {
		this.#playForward(nowMs);
		return this.#own
			.map((works, level) => ({level, ms: sumOf(works)}))
			.filter(({ms}) => ms >= negligibleMs);
	}

	/** Adds a prefill that this entry sends. */
	track(level: number, ms: number, nowMs: number): TrackedPrefill {
		this.#playForward(nowMs);
		this.#countArrival({level, ms});
		const tracked = {
			level, ms, remainingMs: ms, arrivedBeforeMs: Float64Array.from(this.#arrivedMs),
		};
		this.#own[level]!.push(tracked);
		this.#startNext();
		return tracked;
	}

	/** Removes a tracked prefill that has completed, and all work of other entries that the engine must have served before it. */
	complete(tracked: TrackedPrefill, nowMs: number): void {
		this.remove(tracked, nowMs);
		for (let level = 0; level <= tracked.level; level += 1) {
			const arrivedAfterMs = this.#arrivedMs[level]! - tracked.arrivedBeforeMs[level]!;
			this.#subtractFromPeers(level, Math.max(0, this.#peerMs[level]! - arrivedAfterMs));
		}

		this.#dropEmptyCurrent();
		this.#startNext();
	}

	/** Removes a tracked prefill that was given up or has failed. */
	remove(tracked: TrackedPrefill, nowMs: number): void {
		this.#playForward(nowMs);
		const works = this.#own[tracked.level]!;
		const index = works.indexOf(tracked);
		if (index === -1) {
			return;
		}

		works.splice(index, 1);
		if (this.#current?.own === tracked) {
			this.#current = undefined;
		}

		this.#startNext();
	}

	#countArrival({level, ms}: LevelWork): void {
		this.#arrivalRates[level]! += ms / rateDecayMs;
		this.#meanMs[level] = this.#meanMs[level] === 0 ? ms : this.#meanMs[level]! + (meanWorkDecay * (ms - this.#meanMs[level]!));
	}

	/** Ends the current prefill of another entry if no work of its level is left. */
	#dropEmptyCurrent(): void {
		if (this.#current && !this.#current.own && this.#peerMs[this.#current.level]! < negligibleMs) {
			this.#current = undefined;
		}
	}

	#forget(peer: string): void {
		const work = this.#peers.get(peer);
		if (!work) {
			return;
		}

		this.#peers.delete(peer);
		for (let level = 0; level < priorityLevelCount; level += 1) {
			this.#peerMs[level] = this.#peers.size === 0 ? 0 : Math.max(0, this.#peerMs[level]! - work[level]!);
		}
	}

	#playForward(nowMs: number): void {
		let elapsed = nowMs - this.#updatedMs;
		if (elapsed <= 0) {
			return;
		}

		this.#updatedMs = nowMs;
		const retained = Math.exp(-elapsed / rateDecayMs);
		for (let level = 0; level < priorityLevelCount; level += 1) {
			this.#arrivalRates[level]! *= retained;
		}

		while (elapsed > 0 && this.#current) {
			elapsed = this.#workOn(this.#current, elapsed);
		}
	}

	/** Subtracts time from the current prefill; returns the rest of the time, which is none if the prefill goes on. */
	#workOn(current: CurrentPrefill, elapsed: number): number {
		const minRemainingMs = current.own ? current.own.ms * minRemainingFraction : 0;
		const doneMs = Math.max(0, Math.min(elapsed, current.remainingMs - minRemainingMs));
		current.remainingMs -= doneMs;
		if (current.own) {
			current.own.remainingMs = current.remainingMs;
			return 0;
		}

		this.#subtractFromPeers(current.level, doneMs);
		if (current.remainingMs < negligibleMs) {
			this.#current = undefined;
			this.#startNext();
		}

		return elapsed - doneMs;
	}

	/** Subtracts work of the other entries, from each in proportion. */
	#subtractFromPeers(level: number, doneMs: number): void {
		const pending = this.#peerMs[level]!;
		if (pending === 0 || doneMs === 0) {
			return;
		}

		const remainingFraction = pending - doneMs < negligibleMs ? 0 : (pending - doneMs) / pending;
		this.#peerMs[level] = pending * remainingFraction;
		for (const work of this.#peers.values()) {
			work[level]! *= remainingFraction;
		}
	}

	/** Assumes that the engine begins the next prompt if it is idle; prompts of other entries count as older than this entry's. */
	#startNext(): void {
		for (let level = 0; level < priorityLevelCount && !this.#current; level += 1) {
			const peerMs = this.#peerMs[level]!;
			const own = this.#own[level]![0];
			if (peerMs >= negligibleMs) {
				this.#current = {level, remainingMs: Math.min(peerMs, Math.max(negligibleMs, this.#meanMs[level]!))};
			} else if (own) {
				this.#current = {level, own, remainingMs: own.remainingMs};
			}
		}
	}
}
