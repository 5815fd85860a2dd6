/**
 * One tenure of a lease: what its holder knows of it, and what its authority rests on.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	attestPauseMs, leaseEpochKey, OutageAuthority, type Clock, type LeaseEpoch, type LeaseHolder, type WitnessGroup,
} from '@hawthorncleat/core';
import type {TableCheck} from '@hawthorncleat/schema';

/** What the authority of a duty rests on. */
export type Authority = 'table' | 'outage' | 'none';

/** A held lease, as the duty sees it. */
export type Lease = {
	readonly duty: string;
	/** The fencing token; rises with each takeover. */
	readonly epoch: LeaseEpoch;
	/** State that the lease row had at the takeover or that was set since. */
	readonly state: unknown;
	/** The check that makes a transaction fail once another process has taken the lease. */
	check(): TableCheck;
	/** Whether this process is in charge by its own clock, on the evidence of the table. */
	isHeld(): boolean;
	/** What the authority rests on: the lease, or evidence that nobody else can take it during a table outage. */
	authority(): Authority;
	/** Time for which the authority lasts by the own clock, after the margin; 0 without authority. */
	remainingAuthorityMs(): number;
	/** Sets the state that the next renewal writes to the row. */
	setState(state: unknown): void;
};

/** Positive answers of the witnesses to one round of questions that left at `sentMs`. */
export type Attestation = {readonly group: WitnessGroup; readonly positive: number; readonly sentMs: number};

/** Lets a duty go on while the table is down, on the evidence of witnesses. */
export type DutyWitnessClient = {
	/**
	 * Tells the witnesses of a takeover and waits until older attestations have run out. Awaited before the takeover of a
	 * lease that was not given back; `false` means that it is not written this time.
	 */
	readonly announce: (epoch: LeaseEpoch, signal: AbortSignal) => Promise<boolean>;
	/** Asks the witnesses whether the holder of the epoch may go on. */
	readonly attest: (epoch: LeaseEpoch) => Promise<Attestation | undefined>;
};

/** A pause that also ends when the signal aborts. */
export const sleep = async (durationMs: number, signal: AbortSignal): Promise<void> => {
	await delay(Math.max(0, durationMs), undefined, {signal}).catch(() => undefined);
};

export type TenureOptions = {
	readonly holder: LeaseHolder;
	readonly epoch: LeaseEpoch;
	/** Version of the epoch row. */
	readonly epochRowVersion: number;
	readonly leaseRowVersion: number;
	readonly state: unknown;
};

/** State of one tenure. */
export class Tenure {
	readonly holder: LeaseHolder;
	readonly epoch: LeaseEpoch;
	readonly epochRowVersion: number;
	/** Version of the lease row. */
	leaseRowVersion: number;
	state: unknown;
	/** The table has been read again after the lease had lapsed. */
	hasTableRecovered = false;
	/** The duty has stopped, so that the lease may be given back. */
	hasDutyStopped = false;
	readonly #outage = new OutageAuthority();

	constructor({holder, epoch, epochRowVersion: epochVersion, leaseRowVersion: version, state}: TenureOptions) {
		this.holder = holder;
		this.epoch = epoch;
		this.epochRowVersion = epochVersion;
		this.leaseRowVersion = version;
		this.state = state;
	}

	authority(nowMs: number): Authority {
		if (this.hasDutyStopped) {
			return 'none';
		}

		if (this.holder.isHeld(nowMs)) {
			return 'table';
		}

		return nowMs < this.#outage.endsAtMs ? 'outage' : 'none';
	}

	/** The moment by the own clock at which the authority ends, unless it is renewed or extended. */
	get authorityEndsAtMs(): number {
		return Math.max(this.holder.stopAtMs, this.#outage.endsAtMs);
	}

	extendAuthority({group, positive, sentMs}: Attestation, receivedMs: number): void {
		this.#outage.extend(group, {positive, sentMs, receivedMs}, this.holder.stopAtMs);
	}
}

/** The lease of a tenure, as the duty sees it. */
export const createLease = (tenure: Tenure, duty: string, clock: Clock): Lease => ({
	duty,
	epoch: tenure.epoch,
	check: () => ({key: leaseEpochKey(duty), version: tenure.epochRowVersion}),
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

/** Asks the witnesses for as long as a renewal is overdue, so that the authority has no gap when the lease lapses. */
export const requestAttestations = async (
	tenure: Tenure,
	{attest}: DutyWitnessClient,
	{clock, leaseRenewMs}: {readonly clock: Clock; readonly leaseRenewMs: number},
	signal: AbortSignal,
): Promise<void> => {
	// Several rounds fit into what is left of the lease after a renewal has failed.
	const pauseMs = Math.min(attestPauseMs, leaseRenewMs / 2);
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
