/**
 * Quarantines of requests that crash endpoints. A request that crashes an endpoint again after its quarantine, without a completed run in between, is
 * quarantined at once and for longer, so that a caller that goes on for an hour costs a few more crashes, not three in each minute.
 */
import type {Clock, Fingerprint} from '@hawthorncleat/core';

/** Short, because a request that merely ran beside the cause of the crashes is rejected as well. */
const firstMs = 60_000;
/** Three repeats fit into an hour. */
const growth = 4;
const maxMs = 3_600_000;
/** A request is remembered for this time after its quarantine, or for as long again as the quarantine lasted. */
const minRetentionMs = 600_000;

type Quarantine = {readonly untilMs: number; readonly durationMs: number};

export class RequestQuarantines {
	readonly #clock: Clock;
	readonly #byFingerprint = new Map<Fingerprint, Quarantine>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Number of requests that are remembered. */
	get size(): number {
		return this.#byFingerprint.size;
	}

	/** Time until the request may run again; undefined if it may run now. */
	remainingMs(fingerprint: Fingerprint): number | undefined {
		const remainingMs = (this.#byFingerprint.get(fingerprint)?.untilMs ?? 0) - this.#clock.nowMs();
		return remainingMs > 0 ? remainingMs : undefined;
	}

	/** Records a crash. `isConfirmed`: enough crashes are known for a first quarantine. */
	recordCrash(fingerprint: Fingerprint, {isConfirmed}: {readonly isConfirmed: boolean}): void {
		const previous = this.#byFingerprint.get(fingerprint);
		// Attempts that still ran when the quarantine began may crash endpoints, too.
		if (this.remainingMs(fingerprint) !== undefined || (!previous && !isConfirmed)) {
			return;
		}

		this.#forget();
		const durationMs = previous ? Math.min(maxMs, previous.durationMs * growth) : firstMs;
		this.#byFingerprint.set(fingerprint, {untilMs: this.#clock.nowMs() + durationMs, durationMs});
	}

	/** Forgets a request that has run without a crash. */
	clear(fingerprint: Fingerprint): void {
		this.#byFingerprint.delete(fingerprint);
	}

	#forget(): void {
		const nowMs = this.#clock.nowMs();
		for (const [fingerprint, {untilMs, durationMs}] of this.#byFingerprint) {
			if (nowMs - untilMs >= Math.max(minRetentionMs, durationMs)) {
				this.#byFingerprint.delete(fingerprint);
			}
		}
	}
}
