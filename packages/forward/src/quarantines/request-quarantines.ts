/**
 * Keeps the quarantines of requests that crash endpoints together with the other entries. Entries repeat them to each other as long as they remember them, because
 * one that has just started, was paused or was cut off knows nothing of crashes that happened meanwhile.
 */
import {
	QuarantinedRequests, type Clock, type EntryPosition, type Fingerprint, type RequestQuarantine,
} from '@hawthorncleat/core';
import type {CompletedRequest, RequestNews, ToldRequest} from './request-news.js';

/** News of this entry is sent again for this time, because datagrams get lost. */
const resendMs = 2000;
/** How often quarantines are repeated by some of the entries. */
const repeatIntervalMs = 900;
/** So many entries repeat a quarantine in an interval. One of their datagrams arrives, and the traffic does not grow with the fleet. */
const repeatingEntries = 8;
/** News fills at most a third of a datagram. */
const maxQuarantinesPerMessage = 6;
const maxCompletedPerMessage = 4;

/** A change of what this entry knows of a request. */
export type RequestChange = {
	/** `begun`: by a crash at this entry; `learned`: by what others told; `restored`: from the store. */
	readonly kind: 'begun' | 'ended' | 'learned' | 'restored' | 'trial';
	readonly fingerprint: Fingerprint;
	/** Absent if the quarantine has ended. */
	readonly quarantine?: RequestQuarantine;
};

export type RequestQuarantinesOptions = {
	readonly clock: Clock;
	/** Position of this entry among the live ones. */
	readonly position: () => EntryPosition;
	readonly onChange: (change: RequestChange) => void;
};

export class RequestQuarantines {
	readonly #options: RequestQuarantinesOptions;
	readonly #requests: QuarantinedRequests;
	/** Until when quarantines that have changed here are in each message. */
	readonly #urgentUntilMs = new Map<Fingerprint, number>();
	/** The same of requests of which a run has completed. */
	readonly #completedUntilMs = new Map<Fingerprint, number>();
	/** When each quarantine was repeated last, by the receivers. */
	readonly #repeatedMs = new Map<string, Map<Fingerprint, number>>();

	constructor(options: RequestQuarantinesOptions) {
		this.#options = options;
		this.#requests = new QuarantinedRequests(options.clock, options.position);
	}

	/** Number of requests that are remembered. */
	get size(): number {
		return this.#requests.size;
	}

	/** Number of requests that must not run now. */
	get heldCount(): number {
		return this.#requests.heldCount;
	}

	/** Requests that are remembered. */
	get remembered(): readonly RequestQuarantine[] {
		return this.#requests.remembered;
	}

	/** Records a request that has arrived, whether it may run or not. */
	recordArrival(fingerprint: Fingerprint): void {
		this.#requests.recordArrival(fingerprint);
	}

	/** Time until this entry may run the request; undefined if it may now. */
	remainingMs(fingerprint: Fingerprint): number | undefined {
		return this.#requests.remainingMs(fingerprint);
	}

	/** Records a crash, which may begin a quarantine. `isOwn`: this entry has detected it. */
	recordCrash(fingerprint: Fingerprint, {isConfirmed, isOwn}: {readonly isConfirmed: boolean; readonly isOwn: boolean}): void {
		const quarantine = this.#requests.recordCrash(fingerprint, {isConfirmed});
		if (!quarantine) {
			return;
		}

		this.#urgentUntilMs.set(fingerprint, this.#options.clock.nowMs() + resendMs);
		this.#options.onChange({kind: isOwn ? 'begun' : 'learned', fingerprint, quarantine});
	}

	/** Records that a run starts. Returns whether it is the one that tries the request after its quarantine. */
	recordStart(fingerprint: Fingerprint): boolean {
		const quarantine = this.#requests.recordStart(fingerprint);
		if (!quarantine) {
			return false;
		}

		this.#urgentUntilMs.set(fingerprint, this.#options.clock.nowMs() + resendMs);
		this.#options.onChange({kind: 'trial', fingerprint, quarantine});
		return true;
	}

	/** Ends the quarantine of a request that has run without a crash. */
	recordCompleted(fingerprint: Fingerprint): void {
		if (this.#requests.recordCompleted(fingerprint)) {
			this.#completedUntilMs.set(fingerprint, this.#options.clock.nowMs() + resendMs);
			this.#options.onChange({kind: 'ended', fingerprint});
		}
	}

	/** News for a group of entries: what has changed here lately, and quarantines that it is time to repeat. */
	newsToSend(receivers: string): RequestNews {
		if (this.#requests.size === 0 && this.#completedUntilMs.size === 0) {
			return {quarantines: [], completed: []};
		}

		const nowMs = this.#options.clock.nowMs();
		const repeatedMs = this.#repeatedMs.get(receivers) ?? new Map<Fingerprint, number>();
		const lastMs = ({fingerprint}: RequestQuarantine): number => repeatedMs.get(fingerprint) ?? nowMs - repeatIntervalMs;
		const isUrgent = ({fingerprint}: RequestQuarantine): boolean => nowMs < (this.#urgentUntilMs.get(fingerprint) ?? 0);
		const {remembered} = this.#requests;
		const isRepeating = this.#isRepeating(nowMs);
		const due = remembered
			.filter(quarantine => isUrgent(quarantine) || (isRepeating && nowMs - lastMs(quarantine) >= repeatIntervalMs))
			.toSorted((a, b) => Number(isUrgent(b)) - Number(isUrgent(a)) || lastMs(a) - lastMs(b))
			.slice(0, maxQuarantinesPerMessage);
		for (const {fingerprint} of due) {
			repeatedMs.set(fingerprint, nowMs);
		}

		this.#repeatedMs.set(receivers, new Map(remembered.map(quarantine => [quarantine.fingerprint, lastMs(quarantine)])));
		return {
			quarantines: due.map(({fingerprint, count, trials, sinceMs, untilMs, heldUntilMs}) => ({
				fingerprint, count, trials, ageMs: nowMs - sinceMs, remainingMs: untilMs - nowMs, heldMs: heldUntilMs - nowMs,
			})),
			completed: this.#completedToSend(nowMs),
		};
	}

	/** Returns the requests whose quarantine has ended by the news. */
	applyPeerNews({quarantines, completed}: RequestNews): Fingerprint[] {
		const nowMs = this.#options.clock.nowMs();
		const ended = completed.filter(({fingerprint, ageMs}) => this.#requests.recordCompleted(fingerprint, nowMs - ageMs)).map(({fingerprint}) => fingerprint);
		for (const fingerprint of ended) {
			this.#options.onChange({kind: 'ended', fingerprint});
		}

		this.#adopt(quarantines, 'learned');
		return ended;
	}

	/** Adopts quarantines that the store has kept. */
	restore(quarantines: readonly ToldRequest[]): void {
		this.#adopt(quarantines, 'restored');
	}

	#adopt(told: readonly ToldRequest[], kind: 'learned' | 'restored'): void {
		const nowMs = this.#options.clock.nowMs();
		for (const {fingerprint, count, trials, ageMs, remainingMs, heldMs} of told) {
			const quarantine = {
				fingerprint, count, trials, sinceMs: nowMs - ageMs, untilMs: nowMs + remainingMs, heldUntilMs: nowMs + Math.max(remainingMs, heldMs),
			};
			const result = this.#requests.adopt(quarantine);
			if (result === 'adopted') {
				this.#options.onChange({kind, fingerprint, quarantine});
			} else if (result === 'refuted') {
				this.#completedUntilMs.set(fingerprint, nowMs + resendMs);
			}
		}
	}

	/** Whether this entry is one of those that repeat quarantines in the present interval. The clocks of entries differ, which spreads them as well. */
	#isRepeating(nowMs: number): boolean {
		const {index, count} = this.#options.position();
		const rounds = Math.max(1, Math.ceil(count / repeatingEntries));
		return Math.floor(nowMs / repeatIntervalMs) % rounds === index % rounds;
	}

	#completedToSend(nowMs: number): CompletedRequest[] {
		for (const [fingerprint, untilMs] of this.#completedUntilMs) {
			if (nowMs >= untilMs) {
				this.#completedUntilMs.delete(fingerprint);
			}
		}

		for (const [fingerprint, untilMs] of this.#urgentUntilMs) {
			if (nowMs >= untilMs) {
				this.#urgentUntilMs.delete(fingerprint);
			}
		}

		return [...this.#completedUntilMs.keys()].slice(-maxCompletedPerMessage).flatMap(fingerprint => {
			const completedMs = this.#requests.completedMs(fingerprint);
			return completedMs === undefined ? [] : [{fingerprint, ageMs: nowMs - completedMs}];
		});
	}
}
