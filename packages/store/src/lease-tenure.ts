/**
 * One tenure of a lease, from its takeover to its end: the state that the holder tracks, and whether its authority to
 * perform the duty comes from the table or, during a table outage, from attestations of the witnesses.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	attestIntervalMs, generationOfEpoch, leaseEpochKey, OutageAuthority, type Clock, type LeaseEpoch, type LeaseHolder, type StoreGeneration, type WitnessGroup,
} from '@hawthorncleat/core';
import type {TableCheck} from '@hawthorncleat/schema';

/** Source of a holder's authority: the lease in the table, attestations during a table outage, or none. */
export type Authority = 'table' | 'outage' | 'none';

/** Handle of a held lease, which the duty receives. */
export type Lease = {
	readonly duty: string;
	/** The fencing token; rises with each takeover. */
	readonly epoch: LeaseEpoch;
	/**
	 * Set if the table has returned from a copy and nobody has held the lease since the tenure of this process with that epoch. What
	 * this process knows of that tenure is then the newest state of the duty, although the table may have lost it.
	 */
	readonly continuedEpoch?: LeaseEpoch;
	/** The state of the lease row at the takeover, or the state that was set since then. A return of the table from a copy resets it to null. */
	readonly state: unknown;
	/** The check that makes a transaction fail once another process has taken the lease. */
	check(): TableCheck;
	/** Whether the lease in the table is held by this process, by its own clock. */
	isHeld(): boolean;
	/** Source of the authority: the lease, or attestations that nobody else can take it during a table outage. */
	authority(): Authority;
	/** Time for which the authority lasts by this process's clock, with the margin subtracted; 0 without authority. */
	remainingAuthorityMs(): number;
	/** Sets the state that the next renewal writes to the row. */
	setState(state: unknown): void;
};

/** Number of positive answers of the witnesses to one round of requests. `sentMs` is the time before they were sent. */
export type Attestation = {readonly group: WitnessGroup; readonly positive: number; readonly sentMs: number};

/** Client of the witnesses of one duty. Their attestations let the duty continue while the table is down. */
export type DutyWitnessClient = {
	/**
	 * Announces a takeover to the witnesses and waits until older attestations have expired. Awaited before the takeover of
	 * a lease that was not released; `false` means that this attempt doesn't write the takeover.
	 */
	readonly announce: (epoch: LeaseEpoch, signal: AbortSignal) => Promise<boolean>;
	/** Requests attestations from the witnesses that the holder of the epoch may continue. */
	readonly attest: (epoch: LeaseEpoch) => Promise<Attestation | undefined>;
};

/** Waits for the duration or until the signal aborts. */
export const sleep = async (durationMs: number, signal: AbortSignal): Promise<void> => {
	await delay(Math.max(0, durationMs), undefined, {signal}).catch(() => undefined);
};

export type TenureOptions = {
	readonly holder: LeaseHolder;
	readonly epoch: LeaseEpoch;
	readonly epochRowVersion: number;
	readonly leaseRowVersion: number;
	readonly state: unknown;
	readonly continuedEpoch?: LeaseEpoch;
};

/** State of one tenure. */
export class Tenure {
	readonly holder: LeaseHolder;
	readonly epoch: LeaseEpoch;
	readonly epochRowVersion: number;
	readonly continuedEpoch?: LeaseEpoch;
	leaseRowVersion: number;
	state: unknown;
	/** Whether the table could be read again after the lease had expired. */
	hasTableRecovered = false;
	/** Whether the duty has stopped, so that the lease may be released. */
	hasDutyStopped = false;
	readonly #outageAuthority = new OutageAuthority();

	constructor({holder, epoch, epochRowVersion, leaseRowVersion, state, continuedEpoch}: TenureOptions) {
		this.holder = holder;
		this.epoch = epoch;
		this.epochRowVersion = epochRowVersion;
		this.leaseRowVersion = leaseRowVersion;
		this.state = state;
		this.continuedEpoch = continuedEpoch;
	}

	/** The generation of the table in which the lease was taken. The tenure ends with it. */
	get generation(): StoreGeneration {
		return generationOfEpoch(this.epoch);
	}

	authority(nowMs: number): Authority {
		if (this.hasDutyStopped) {
			return 'none';
		}

		if (this.holder.isHeld(nowMs)) {
			return 'table';
		}

		return nowMs < this.#outageAuthority.endsAtMs ? 'outage' : 'none';
	}

	/** Time on this process's clock at which the authority ends, unless it is renewed or extended. */
	get authorityEndsAtMs(): number {
		return Math.max(this.holder.stopAtMs, this.#outageAuthority.endsAtMs);
	}

	extendAuthority({group, positive, sentMs}: Attestation, receivedMs: number): void {
		this.#outageAuthority.extend(group, {positive, sentMs, receivedMs}, this.holder.stopAtMs);
	}
}

/** Creates the handle of a tenure for the duty. */
export const createLease = (tenure: Tenure, duty: string, clock: Clock): Lease => ({
	duty,
	epoch: tenure.epoch,
	continuedEpoch: tenure.continuedEpoch,
	check: () => ({key: leaseEpochKey(duty, tenure.generation), version: tenure.epochRowVersion}),
	isHeld: () => tenure.authority(clock.nowMs()) === 'table',
	authority: () => tenure.authority(clock.nowMs()),
	remainingAuthorityMs() {
		const nowMs = clock.nowMs();
		return tenure.authority(nowMs) === 'none' ? 0 : tenure.authorityEndsAtMs - nowMs;
	},
	get state() {
		return tenure.state;
	},
	setState(state) {
		tenure.state = state;
	},
});

/** Requests attestations while a renewal is overdue, so that the authority has no gap when the lease expires. */
export const requestAttestations = async (
	tenure: Tenure,
	{attest}: DutyWitnessClient,
	{clock, leaseRenewMs}: {readonly clock: Clock; readonly leaseRenewMs: number},
	signal: AbortSignal,
): Promise<void> => {
	// Several rounds fit into the remaining time of the lease after a renewal has failed.
	const pauseMs = Math.min(attestIntervalMs, leaseRenewMs / 2);
	while (!signal.aborted) {
		if (clock.nowMs() >= tenure.holder.renewAtMs + pauseMs) {
			const attestation = await attest(tenure.epoch);
			if (attestation) {
				tenure.extendAuthority(attestation, clock.nowMs());
			}
		}

		await sleep(pauseMs, signal);
	}
};
