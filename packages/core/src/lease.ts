/**
 * Lease arithmetic. Holder and taker each use only their own monotonic clock: the holder counts from before its request
 * was sent and the taker from after its answer was received, so the holder always stops first.
 */
import type {LeaseEpoch} from './ids.js';

/** Durations of a lease. */
export type LeaseDurations = {
	readonly leaseTtlMs: number;
	readonly leaseRenewMs: number;
	/** How long before expiry the holder stops; covers clock drift and the time to write to an open connection. */
	readonly leaseMarginMs: number;
};

export const defaultLeaseDurations: LeaseDurations = {leaseTtlMs: 9000, leaseRenewMs: 3000, leaseMarginMs: 1500};

/** Value of the row `lease/<duty>`. An empty `holder` means that the last holder has stopped and given it back. */
export type LeaseRow = {
	readonly holder: string;
	readonly epoch: LeaseEpoch;
	readonly writeId: string;
	readonly state: unknown;
};

/** Key of the row that each renewal changes. */
export const leaseKey = (duty: string): string => `lease/${duty}`;

/**
 * Key of the row that only a takeover changes, so that checks of it do not collide with renewals. Rule `effect` of
 * models/lease.pml: every transaction of a duty checks this row after the own clock.
 */
export const leaseEpochKey = (duty: string): string => `lease-epoch/${duty}`;

/** Reads the value of a lease row; undefined if it has another form. */
export const parseLeaseRow = (value: unknown): LeaseRow | undefined => {
	const {holder, epoch, writeId} = (value ?? {}) as Partial<LeaseRow>;
	return typeof holder === 'string' && typeof epoch === 'number' && typeof writeId === 'string'
		? value as LeaseRow
		: undefined;
};

/** Rule `expiry` of models/lease.pml: when the holder of a lease has to renew it and when it has to stop. */
export class LeaseHolder {
	readonly #durations: LeaseDurations;
	#sentMs: number;

	/** `sentMs` is the moment before the successful request was sent. */
	constructor(durations: LeaseDurations, sentMs: number) {
		this.#durations = durations;
		this.#sentMs = sentMs;
	}

	get stopAtMs(): number {
		return this.#sentMs + this.#durations.leaseTtlMs - this.#durations.leaseMarginMs;
	}

	get renewAtMs(): number {
		return this.#sentMs + this.#durations.leaseRenewMs;
	}

	/**
	 * Rule `renewal` of models/lease.pml: records a successful renewal. One whose answer comes after the lease has lapsed does not count: the duty has been
	 * stopped by then, and a lapsed lease must not come back to life under the same epoch.
	 */
	recordRenewal(sentMs: number, receivedMs: number): void {
		if (this.isHeld(receivedMs)) {
			this.#sentMs = Math.max(this.#sentMs, sentMs);
		}
	}

	isHeld(nowMs: number): boolean {
		return nowMs < this.stopAtMs;
	}
}

/** What the taker saw in the lease row; version null means that there is no row. */
export type LeaseObservation = {readonly version: number | null; readonly released: boolean};

/** Rule `take` of models/lease.pml: when another process may take a lease. */
export class LeaseTaker {
	readonly #durations: LeaseDurations;
	#version: number | null | undefined;
	#firstSeenMs = 0;

	constructor(durations: LeaseDurations) {
		this.#durations = durations;
	}

	/** Records an answer of the table and says whether the row may be taken at the version seen. */
	observe(observation: LeaseObservation, receivedMs: number): boolean {
		if (observation.version !== this.#version) {
			this.#version = observation.version;
			this.#firstSeenMs = receivedMs;
		}

		return observation.version === null
			|| observation.released
			|| receivedMs - this.#firstSeenMs >= this.#durations.leaseTtlMs;
	}
}
