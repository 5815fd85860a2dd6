/**
 * Tells whether the registration of a live endpoint may be missing: it expires while the store is down, and is lost when the store returns from an older
 * copy. A failed call is no outage, because the connection may have been lost while the store was up. An outage is a time without any answer of the store in
 * which a registration can have expired. The age of a heartbeat tells nothing, because a store may not show the heartbeats that change nothing else.
 *
 * An entry that was cut off from a store that was up has the same view as one whose store was down, but not the same registrations: an outage of
 * the store costs those of most endpoints, while behind a cut only the endpoints that have left are missing. A release behind a cut replaces most endpoints, so
 * as many as are new are taken for replaced.
 */
import type {Clock} from '@hawthorncleat/core';

/** With a smaller fraction missing after an outage, the missing endpoints have left. */
const minExpiredFraction = 0.5;

/** Live endpoints have registered again within this time after the store's return. */
export const reregistrationMs = 2000;

/** The store removes a registration after this many intervals without a heartbeat. */
const heartbeatsBeforeExpiry = 3;

/** Time without an answer of the store after which missing registrations can have expired. */
export const registrationExpiryMs = (heartbeatMs: number): number => heartbeatsBeforeExpiry * heartbeatMs;

/** Why a registration may be missing. */
export type MissingRegistration
	/** The store may have lost it on its return from a copy. */
	= 'lost'
		/** Most live endpoints have lost theirs. */
		| 'expired'
	/** A live endpoint has written up to one interval before the outage, so a few may have lost theirs. */
		| 'may-have-expired'
	/** Its endpoint has left. */
		| 'left';

export class RegistrationOutages {
	readonly #clock: Clock;
	readonly #heartbeatMs: number;
	/** The last outage. */
	#outage = {endMs: Number.NEGATIVE_INFINITY, lengthMs: 0};
	#lastAnswerMs: number;
	#copyReturnMs = Number.NEGATIVE_INFINITY;
	/** Endpoints that were registered before the last outage, and those of them whose registration has been missing since. */
	#knownCount = 0;
	readonly #missing = new Set<string>();
	/** Endpoints that were registered for the first time since the last outage. */
	readonly #newcomers = new Set<string>();

	constructor(clock: Clock, heartbeatMs: number) {
		this.#clock = clock;
		this.#heartbeatMs = heartbeatMs;
		this.#lastAnswerMs = clock.nowMs();
	}

	/** Until when live endpoints may not have registered again. */
	get reregistrationEndMs(): number {
		return Math.max(this.#outage.endMs, this.#copyReturnMs) + reregistrationMs;
	}

	/** Length of the last outage, while endpoints may not have registered again after it. */
	get recentOutageMs(): number | undefined {
		return this.#isRecent(this.#outage.endMs) ? Math.round(this.#outage.lengthMs) : undefined;
	}

	/** Records an answer of the store to any call, and the number of endpoints that are in use. Returns whether an outage ends with it. */
	recordAnswer(endpointCount: number): boolean {
		const nowMs = this.#clock.nowMs();
		const startMs = this.#lastAnswerMs;
		const lengthMs = nowMs - startMs;
		this.#lastAnswerMs = nowMs;
		if (lengthMs < this.#certainMs) {
			return false;
		}

		// Endpoints may not have registered again since the outage before, if the store was back for a short time only.
		const isContinued = startMs < this.#outage.endMs + reregistrationMs;
		this.#outage = {endMs: nowMs, lengthMs: isContinued ? Math.max(lengthMs, this.#outage.lengthMs) : lengthMs};
		if (!isContinued) {
			this.#knownCount = endpointCount;
			this.#missing.clear();
			this.#newcomers.clear();
		}

		return true;
	}

	/** Records that registrations are missing, all that one answer shows together: whether they have expired in an outage depends on their number. */
	recordMissing(ids: Iterable<string>): void {
		if (!this.#isRecent(this.#outage.endMs)) {
			return;
		}

		for (const id of ids) {
			this.#missing.add(id);
		}
	}

	/** Records endpoints that are registered for the first time. */
	recordNewcomers(ids: Iterable<string>): void {
		if (!this.#isRecent(this.#outage.endMs)) {
			return;
		}

		for (const id of ids) {
			this.#newcomers.add(id);
		}
	}

	/** Records that the store has returned from an older copy, so that registrations since then are missing, however recent their heartbeats were. */
	recordCopyReturn(): void {
		this.#copyReturnMs = this.#clock.nowMs();
	}

	/** Why a registration is missing now that has not been renewed since the last outage. */
	explainMissing(): MissingRegistration {
		if (this.#isRecent(this.#copyReturnMs)) {
			return 'lost';
		}

		if (!this.#isRecent(this.#outage.endMs)) {
			return 'left';
		}

		const unreplaced = this.#missing.size - this.#newcomers.size;
		const haveMostExpired = this.#outage.lengthMs >= registrationExpiryMs(this.#heartbeatMs) && unreplaced >= this.#knownCount * minExpiredFraction;
		return haveMostExpired ? 'expired' : 'may-have-expired';
	}

	/** In a shorter outage no registration can expire. */
	get #certainMs(): number {
		return (heartbeatsBeforeExpiry - 1) * this.#heartbeatMs;
	}

	#isRecent(endMs: number): boolean {
		return this.#clock.nowMs() - endMs < reregistrationMs;
	}
}
