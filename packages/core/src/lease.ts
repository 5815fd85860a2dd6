/**
 * Computes when the holder of a lease must renew it and stop, and when another process may take it. Both use only their
 * own monotonic clocks: the holder counts from before its request was sent, the other process from after its response was
 * received, so the holder always stops first.
 */
import {brandAs, type LeaseEpoch, type StoreGeneration} from './ids.js';

export type LeaseDurations = {
	readonly leaseTtlMs: number;
	readonly leaseRenewMs: number;
	/** How long before expiry the holder stops. Covers clock drift and the time to write to an open connection. */
	readonly leaseMarginMs: number;
};

export const defaultLeaseDurations: LeaseDurations = {leaseTtlMs: 9000, leaseRenewMs: 3000, leaseMarginMs: 1500};

/** The generation of a table that has never returned from a copy. */
export const firstGeneration = brandAs<StoreGeneration>(0);

/** More takeovers than one duty has between two returns of the store from a copy. */
const epochsPerGeneration = 2 ** 20;

/** The first epoch of a generation. It is higher than every epoch of an older generation. */
export const firstEpochOf = (generation: StoreGeneration): LeaseEpoch => brandAs<LeaseEpoch>((generation * epochsPerGeneration) + 1);

/** The generation in which an epoch was given out. */
export const generationOfEpoch = (epoch: LeaseEpoch): StoreGeneration => brandAs<StoreGeneration>(Math.floor((epoch - 1) / epochsPerGeneration));

/**
 * The epoch of a takeover, from the epoch in the row that the takeover replaces. A return from a copy may have undone the last
 * takeovers, so the row alone would let an epoch be given out twice.
 */
export const nextEpoch = (previous: LeaseEpoch | undefined, generation: StoreGeneration): LeaseEpoch =>
	brandAs<LeaseEpoch>(Math.max((previous ?? 0) + 1, firstEpochOf(generation)));

/** Value of the row `lease/<duty>`. An empty `holder` means that the last holder has stopped and released the lease. */
export type LeaseRow = {
	readonly holder: string;
	readonly epoch: LeaseEpoch;
	readonly writeId: string;
	readonly state: unknown;
};

/**
 * Each generation has rows of its own. What a return from a copy brings back, and a write of an older generation that is carried out
 * after the return, then changes no row that counts.
 */
const generationSuffix = (generation: StoreGeneration): string => generation === firstGeneration ? '' : `@${generation}`;

/** Key of the lease row, which every renewal and takeover changes. */
export const leaseKey = (duty: string, generation = firstGeneration): string => `lease/${duty}${generationSuffix(generation)}`;

/**
 * Key of the epoch row, which only a takeover changes, so that transactions which check it do not conflict with renewals.
 * Rule `effect` of models/lease.pml: the holder first checks its lease by its own clock, and then every transaction of the
 * duty checks this row.
 */
export const leaseEpochKey = (duty: string, generation = firstGeneration): string => `lease-epoch/${duty}${generationSuffix(generation)}`;

/** Parses the value of a lease row; undefined if it is malformed. */
export const parseLeaseRow = (value: unknown): LeaseRow | undefined => {
	const {holder, epoch, writeId} = (value ?? {}) as Partial<LeaseRow>;
	return typeof holder === 'string' && typeof epoch === 'number' && typeof writeId === 'string'
		? value as LeaseRow
		: undefined;
};

/** Rule `expiry` of models/lease.pml: when the holder of a lease has to renew it and when it has to stop. */
export class LeaseHolder {
	readonly #durations: LeaseDurations;
	#lastRequestSentMs: number;

	/** `sentMs` is the time before the request that took the lease was sent. */
	constructor(durations: LeaseDurations, sentMs: number) {
		this.#durations = durations;
		this.#lastRequestSentMs = sentMs;
	}

	get stopAtMs(): number {
		return this.#lastRequestSentMs + this.#durations.leaseTtlMs - this.#durations.leaseMarginMs;
	}

	/** By the clock of the holder, no other process takes the lease before this time, unless it is released. */
	get exclusiveUntilMs(): number {
		return this.#lastRequestSentMs + this.#durations.leaseTtlMs;
	}

	get renewAtMs(): number {
		return this.#lastRequestSentMs + this.#durations.leaseRenewMs;
	}

	/**
	 * Rule `renewal` of models/lease.pml: records a successful renewal. A renewal whose response arrives after the lease has
	 * expired is ignored: the duty has been stopped by then, and an expired lease must not become valid again under the same
	 * epoch.
	 */
	recordRenewal(sentMs: number, receivedMs: number): void {
		if (this.isHeld(receivedMs)) {
			this.#lastRequestSentMs = Math.max(this.#lastRequestSentMs, sentMs);
		}
	}

	isHeld(nowMs: number): boolean {
		return nowMs < this.stopAtMs;
	}
}

/** State of the lease row at one read; version null means that there is no row. */
export type LeaseObservation = {
	readonly version: number | null;
	readonly released: boolean;
	/** Generation of the row. Absent in a table that never loses a write. */
	readonly generation?: StoreGeneration;
};

/**
 * Rule `take` of models/lease.pml: when another process may take a lease. Without a row or after a release it may do so at
 * once, otherwise after the version has stayed the same for the duration of a lease. After a return from a copy a missing row
 * does not show that nobody holds the lease of the older generation, so the process waits as if there were one.
 */
export class LeaseTaker {
	readonly #durations: LeaseDurations;
	#observedVersion: number | null | undefined;
	#observedGeneration = firstGeneration;
	#firstSeenMs = 0;

	constructor(durations: LeaseDurations) {
		this.#durations = durations;
	}

	/** Records a read of the lease row and returns whether the lease may be taken at the version that was read. */
	observe({version, released, generation = firstGeneration}: LeaseObservation, receivedMs: number): boolean {
		if (version !== this.#observedVersion || generation !== this.#observedGeneration) {
			this.#observedVersion = version;
			this.#observedGeneration = generation;
			this.#firstSeenMs = receivedMs;
		}

		return (version === null && generation === firstGeneration)
			|| released
			|| receivedMs - this.#firstSeenMs >= this.#durations.leaseTtlMs;
	}
}
