/**
 * Quarantines of requests that crash endpoints. A request that crashes an endpoint again after its quarantine, without a completed run in between, is
 * quarantined at once and for longer, so that a caller that goes on for an hour costs a few more crashes, not three in each minute.
 *
 * After its quarantine a request is tried by one run at a time in the whole fleet, like a prompt segment: its callers were all told the same time, and return
 * together. Entries tell each other the quarantines that they remember. The number of a quarantine and of its trials tells the later news from repeated ones, whose times
 * would move by the delay of each message.
 */
import type {Clock} from '../clock.js';
import type {Fingerprint} from '../ids.js';
import {putLatest} from './latest-times.js';
import {TrialArrivals, trialWaitMs, type EntryPosition} from './trial-turns.js';

/** Short, because a request that merely ran beside the cause of the crashes is rejected as well. */
const firstMs = 60_000;
/** Three repeats fit into an hour. */
const growth = 4;
const maxMs = 3_600_000;
/** A request is remembered for this time after its quarantine, or for as long again as the quarantine lasted. */
const minRetentionMs = 600_000;
/** A run shows within this time whether it crashes its endpoint: the registration of a crashed one has expired by then. */
const trialMs = 10_000;
/** Each cost three endpoints, so there are few; the bound is for news of other processes. */
const maxRemembered = 500;

/** A request that must not run, or that is tried by one run at a time. */
export type RequestQuarantine = {
	readonly fingerprint: Fingerprint;
	/** How often the request has been in quarantine without a completed run in between. */
	readonly count: number;
	/** Runs that have tried the request since the quarantine ended. */
	readonly trials: number;
	/** When the quarantine began. A run that completes later ends it. */
	readonly sinceMs: number;
	readonly untilMs: number;
	/** A run that tries the request holds back all others until then. */
	readonly heldUntilMs: number;
};

const durationMsOf = (count: number): number => Math.min(maxMs, firstMs * (growth ** (count - 1)));

/** Until when a request is remembered. */
export const retainedUntilMs = ({count, untilMs}: Pick<RequestQuarantine, 'count' | 'untilMs'>): number => untilMs + Math.max(minRetentionMs, durationMsOf(count));

/** Whether news of another entry is later than what this one knows. */
const isLater = (told: RequestQuarantine, own: RequestQuarantine): boolean =>
	told.count > own.count || (told.count === own.count && told.trials > own.trials) || told.sinceMs > own.untilMs;

export class QuarantinedRequests {
	readonly #clock: Clock;
	readonly #position: () => EntryPosition;
	readonly #quarantines = new Map<Fingerprint, RequestQuarantine>();
	/** When runs of requests that had been quarantined completed, the latest last. */
	readonly #completedMs = new Map<Fingerprint, number>();
	readonly #arrivals = new TrialArrivals<Fingerprint>();

	/** `position`: that of this entry among those of the fleet. */
	constructor(clock: Clock, position: () => EntryPosition) {
		this.#clock = clock;
		this.#position = position;
	}

	/** Number of requests that are remembered. */
	get size(): number {
		return this.#quarantines.size;
	}

	/** Requests that are remembered, those whose quarantine has ended included. */
	get remembered(): RequestQuarantine[] {
		this.#forget();
		return [...this.#quarantines.values()];
	}

	/** Number of requests that must not run now. */
	get heldCount(): number {
		const nowMs = this.#clock.nowMs();
		return [...this.#quarantines.values()].filter(({heldUntilMs}) => nowMs < heldUntilMs).length;
	}

	/** When a run of a request that was quarantined has completed. */
	completedMs(fingerprint: Fingerprint): number | undefined {
		return this.#completedMs.get(fingerprint);
	}

	/** Records a request that has arrived, whether it may run or not. */
	recordArrival(fingerprint: Fingerprint): void {
		if (this.#quarantines.has(fingerprint)) {
			this.#arrivals.record(fingerprint, this.#clock.nowMs());
		}
	}

	/** Time until this entry may run the request; undefined if it may now. */
	remainingMs(fingerprint: Fingerprint): number | undefined {
		const quarantine = this.#quarantines.get(fingerprint);
		if (!quarantine) {
			return undefined;
		}

		const nowMs = this.#clock.nowMs();
		const {heldUntilMs} = quarantine;
		const waitMs = nowMs < heldUntilMs ? heldUntilMs - nowMs : trialWaitMs(nowMs - heldUntilMs, this.#position(), this.#arrivals.perSecond(fingerprint, nowMs));
		return waitMs > 0 ? waitMs : undefined;
	}

	/** Records a crash. `isConfirmed`: enough crashes are known for a first quarantine. Returns the quarantine that begins with it. */
	recordCrash(fingerprint: Fingerprint, {isConfirmed}: {readonly isConfirmed: boolean}): RequestQuarantine | undefined {
		const nowMs = this.#clock.nowMs();
		this.#forget();
		const previous = this.#quarantines.get(fingerprint);
		// Attempts that still ran when the quarantine began may crash endpoints, too.
		const isKnown = previous !== undefined && nowMs < previous.untilMs;
		if (isKnown || (!previous && !isConfirmed)) {
			return undefined;
		}

		const count = (previous?.count ?? 0) + 1;
		const untilMs = nowMs + durationMsOf(count);
		return this.#put({
			fingerprint, count, trials: 0, sinceMs: nowMs, untilMs, heldUntilMs: untilMs,
		});
	}

	/** Records that a run of the request starts. Returns the quarantine that holds back the others if it is a trial. */
	recordStart(fingerprint: Fingerprint): RequestQuarantine | undefined {
		const quarantine = this.#quarantines.get(fingerprint);
		return quarantine && this.#put({...quarantine, trials: quarantine.trials + 1, heldUntilMs: Math.max(quarantine.heldUntilMs, this.#clock.nowMs() + trialMs)});
	}

	/**
	 * Adopts a quarantine of another entry or of the store. Returns whether it was news: `refuted` if a run has completed since it began, so that the
	 * sender is to be told.
	 */
	adopt(told: RequestQuarantine): 'adopted' | 'known' | 'refuted' {
		const {fingerprint} = told;
		if ((this.#completedMs.get(fingerprint) ?? Number.NEGATIVE_INFINITY) >= told.sinceMs) {
			return 'refuted';
		}

		const nowMs = this.#clock.nowMs();
		const own = this.#quarantines.get(fingerprint);
		if (nowMs >= retainedUntilMs(told) || (own && !isLater(told, own))) {
			return 'known';
		}

		// A damaged row or message must not hold a request for ever.
		const untilMs = Math.min(told.untilMs, nowMs + maxMs);
		const heldUntilMs = Math.min(told.heldUntilMs, Math.max(untilMs, nowMs + trialMs));
		this.#put({
			...told, count: Math.max(told.count, own?.count ?? 0), untilMs, heldUntilMs,
		});
		return 'adopted';
	}

	/** Forgets a request of which a run has completed. Returns whether it was remembered. */
	recordCompleted(fingerprint: Fingerprint, completedMs = this.#clock.nowMs()): boolean {
		const quarantine = this.#quarantines.get(fingerprint);
		if (!quarantine || quarantine.sinceMs > completedMs) {
			return false;
		}

		this.#quarantines.delete(fingerprint);
		this.#arrivals.forget(fingerprint);
		putLatest(this.#completedMs, fingerprint, completedMs, maxRemembered);
		return true;
	}

	#put(quarantine: RequestQuarantine): RequestQuarantine {
		putLatest(this.#quarantines, quarantine.fingerprint, quarantine, maxRemembered);
		return quarantine;
	}

	#forget(): void {
		const nowMs = this.#clock.nowMs();
		for (const [fingerprint, quarantine] of this.#quarantines) {
			if (nowMs >= retainedUntilMs(quarantine)) {
				this.#quarantines.delete(fingerprint);
				this.#arrivals.forget(fingerprint);
			}
		}
	}
}
