/**
 * Backoff from one process of an endpoint that turned a request away and stated for how long it wants no other. Unlike an ejection it is the
 * endpoint's own statement: no request is sent there until it has passed, even if no other endpoint is left. Afterwards the endpoint gets a number of
 * requests that doubles with each step, so that what has accumulated meanwhile does not arrive at once.
 */
import type {Random} from '../clock.js';

/**
 * A longer backoff is cut. A time that was stated in a wrong unit would otherwise keep a sound endpoint out for days, and after an hour an operator
 * has had the time to see it in the metrics.
 */
export const maxBackoffMs = 3_600_000;
/** An entry extends a backoff by up to this fraction of it, so that the entries do not all return at the same moment. */
const spreadFraction = 0.2;
const maxSpreadMs = 2000;
/** After this many doublings the endpoint gets requests without a limit again. */
const rampSteps = 8;
/** The ramp takes about as long as the backoff itself, within these limits of a step. */
const minRampStepMs = 25;
const maxRampStepMs = 250;

export class EndpointBackoff {
	#untilMs = Number.NEGATIVE_INFINITY;
	#rampStepMs = minRampStepMs;
	/** Drawn once for all answers of one backoff: the maximum of many draws would be nearly the same at all entries. */
	#spread = 0;
	/** Requests sent since the end of the backoff. */
	#started = 0;

	/**
	 * Records that the endpoint wants no request for this time. A shorter time than an earlier one still running changes nothing, and neither does one
	 * that is not a positive number. Returns whether a new backoff has begun.
	 */
	record(retryAfterMs: number, nowMs: number, random: Random): boolean {
		if (!(retryAfterMs > 0)) {
			return false;
		}

		const durationMs = Math.min(retryAfterMs, maxBackoffMs);
		const rampStepMs = Math.min(maxRampStepMs, Math.max(minRampStepMs, durationMs / rampSteps));
		const hasBegun = !this.isActive(nowMs);
		if (hasBegun) {
			this.#spread = random();
			this.#started = 0;
			this.#rampStepMs = rampStepMs;
		}

		const spreadMs = Math.min(maxSpreadMs, durationMs * spreadFraction) * this.#spread;
		this.#rampStepMs = Math.max(this.#rampStepMs, rampStepMs);
		this.#untilMs = Math.max(this.#untilMs, nowMs + durationMs + spreadMs);
		return hasBegun;
	}

	/** Whether nothing may be sent to the endpoint. */
	isActive(nowMs: number): boolean {
		return nowMs < this.#untilMs;
	}

	/** Whether the backoff and the ramp after it are over. */
	isOver(nowMs: number): boolean {
		return nowMs >= this.#untilMs + (this.#rampStepMs * rampSteps);
	}

	/** Time until the endpoint may get a request; 0 if it may get one now. */
	remainingMs(nowMs: number): number {
		if (this.isActive(nowMs)) {
			return this.#untilMs - nowMs;
		}

		if (this.isOver(nowMs)) {
			return 0;
		}

		return Math.max(0, this.#untilMs + (this.#stepsBefore(this.#started) * this.#rampStepMs) - nowMs);
	}

	/** Counts a request that is sent to the endpoint. */
	recordStart(): void {
		this.#started += 1;
	}

	/** Number of steps of the ramp after which one more request may be sent: `2 ** steps` may be sent in all. */
	#stepsBefore(started: number): number {
		return started === 0 ? 0 : Math.min(rampSteps, Math.floor(Math.log2(started)) + 1);
	}
}

type EndpointProcess = {readonly id: string; readonly startedAt: number};

/** The answers to requests that were under way when an endpoint was removed arrive within this time. */
const retentionMs = 120_000;

/**
 * Backoffs of endpoints that are not registered at the moment. A registration that was lost, or one with another role, may belong to the same
 * process, which still wants no requests; a process that has started since then has stated nothing.
 */
export class RetainedBackoffs {
	readonly #retained = new Map<string, {readonly startedAt: number; readonly backoff: EndpointBackoff; readonly removedAtMs: number}>();

	/** Keeps the backoff of an endpoint that is removed or registers anew. Late answers may still begin or extend it. */
	retain({id, startedAt}: EndpointProcess, backoff: EndpointBackoff, nowMs: number): void {
		for (const [otherId, other] of this.#retained) {
			if (other.backoff.isOver(nowMs) && nowMs - other.removedAtMs >= retentionMs) {
				this.#retained.delete(otherId);
			}
		}

		this.#retained.set(id, {startedAt, backoff, removedAtMs: nowMs});
	}

	/** Returns the backoff of the same process, or a new one. */
	restore({id, startedAt}: EndpointProcess): EndpointBackoff {
		const retained = this.#retained.get(id);
		this.#retained.delete(id);
		return retained?.startedAt === startedAt ? retained.backoff : new EndpointBackoff();
	}
}
