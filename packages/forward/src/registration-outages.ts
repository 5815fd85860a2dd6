/**
 * Tells whether the registration of a live endpoint may be missing: it expires while the store is down, and is lost when the store returns from an older
 * copy. A failed call is no outage, because the connection may have been lost while the store was up. An outage is a time without any answer of the store in
 * which a registration can have expired. The age of a heartbeat tells nothing, because a store may not show the heartbeats that change nothing else.
 */
import type {Clock} from '@hawthorncleat/core';

/** Live endpoints have registered again within this time after the store's return. */
export const reregistrationMs = 2000;

/** The store removes a registration after this many intervals without a heartbeat. */
const heartbeatsBeforeExpiry = 3;

/** Time without an answer of the store after which missing registrations can have expired. */
export const registrationExpiryMs = (heartbeatMs: number): number => heartbeatsBeforeExpiry * heartbeatMs;

/** Why a registration may be missing. */
export type MissingRegistration
	/** Most live endpoints may have lost theirs. */
	= 'expired'
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

	/** Records an answer of the store to any call. Returns whether an outage ends with it. */
	recordAnswer(): boolean {
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
		return true;
	}

	/** Records that the store has returned from an older copy, so that registrations since then are missing, however recent their heartbeats were. */
	recordCopyReturn(): void {
		this.#copyReturnMs = this.#clock.nowMs();
	}

	/** Why a registration is missing now that has not been renewed since the last outage. */
	explainMissing(): MissingRegistration {
		if (this.#isRecent(this.#copyReturnMs)) {
			return 'expired';
		}

		if (!this.#isRecent(this.#outage.endMs)) {
			return 'left';
		}

		return this.#outage.lengthMs >= registrationExpiryMs(this.#heartbeatMs) ? 'expired' : 'may-have-expired';
	}

	/** In a shorter outage no registration can expire. */
	get #certainMs(): number {
		return (heartbeatsBeforeExpiry - 1) * this.#heartbeatMs;
	}

	#isRecent(endMs: number): boolean {
		return this.#clock.nowMs() - endMs < reregistrationMs;
	}
}
