/**
 * Lease authority during a table outage. A holder that cannot renew its lease continues on attestations of the witnesses; a
 * process that wants to take the lease over announces this to the witnesses before it writes. Each uses only its own clock.
 */
import type {Clock} from './clock.js';
import {announceWindowMs, dutyGroupView, blocksEveryMajority} from './duty-witness.js';
import {attestationValidityMs} from './freshness.js';
import type {LeaseDurations} from './lease.js';
import {witnessSettleMs} from './witness.js';
import {isMajority, type WitnessGroup} from './witness-groups.js';

/** Interval between two rounds of requests for an attestation; several fit into the validity of an attestation. */
export const attestIntervalMs = 500;

/** Rule `wait` of models/duty-outage.pml: how long a takeover waits until earlier attestations have expired, even if the holder's clock is slower. */
export const takeoverWaitMs = ({leaseMarginMs}: LeaseDurations): number => attestationValidityMs + leaseMarginMs;

/**
 * How long one holder may rely on attestations that nobody can take its lease. It needs no safety margin, because the takeover
 * waits for one.
 */
export class OutageAuthority {
	#endsAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * Records the positive answers to one round of requests, which were sent at `sentMs`. Rule `attestation` of
	 * models/duty-outage.pml: they must be a majority. Rule `dated` of models/duty-outage.pml: the validity counts from before
	 * the requests were sent. Rule `continuity` of models/duty-outage.pml: the answers are ignored if the holder's authority,
	 * by the lease or by an earlier attestation, had expired by `receivedMs`.
	 */
	extend(group: WitnessGroup, answers: {readonly positive: number; readonly sentMs: number; readonly receivedMs: number}, leaseEndsAtMs: number): void {
		const {positive, sentMs, receivedMs} = answers;
		const isContinuous = receivedMs < Math.max(leaseEndsAtMs, this.#endsAtMs);
		if (isContinuous && isMajority(positive, group)) {
			this.#endsAtMs = Math.max(this.#endsAtMs, sentMs + attestationValidityMs);
		}
	}

	get endsAtMs(): number {
		return this.#endsAtMs;
	}
}

/**
 * Rule `announce` of models/duty-outage.pml: enough witnesses of each group have recorded the takeover. Rule `window` of
 * models/duty-outage.pml: they recorded it within the window, so that there is a time in which all of them refuse to attest
 * the old epoch.
 */
export const isTakeoverAnnounced = (
	groups: readonly WitnessGroup[],
	notedHostIds: ReadonlySet<string>,
	{sentMs, receivedMs}: {readonly sentMs: number; readonly receivedMs: number},
): boolean => groups.length > 0
	&& receivedMs - sentMs <= announceWindowMs
	&& groups.every(group => blocksEveryMajority(group.witnesses.filter(({hostId}) => notedHostIds.has(hostId)).length, group));

/**
 * The witness groups of the own data centre by recent host lists. A holder and its witnesses may have an older host list than
 * the process that takes the lease over, so that process announces to the groups of all lists that may still be in use.
 */
export class RecentWitnessGroups {
	readonly #clock: Clock;
	readonly #retentionMs: number;
	readonly #startedAtMs: number;
	#currentGroup: WitnessGroup | undefined;
	#oldGroups: Array<{readonly group: WitnessGroup; readonly expiresAtMs: number}> = [];

	constructor(clock: Clock, retentionMs = witnessSettleMs) {
		this.#clock = clock;
		this.#retentionMs = retentionMs;
		this.#startedAtMs = clock.nowMs();
	}

	/** Sets the group after a change of the host list. */
	set(group: WitnessGroup | undefined): void {
		const previousGroup = this.#currentGroup;
		if (previousGroup && (!group || dutyGroupView(previousGroup) !== dutyGroupView(group))) {
			this.#oldGroups.push({group: previousGroup, expiresAtMs: this.#clock.nowMs() + this.#retentionMs});
		}

		this.#currentGroup = group;
	}

	/** The groups of all retained lists, also before they cover the whole retention time. */
	get trackedGroups(): WitnessGroup[] {
		const nowMs = this.#clock.nowMs();
		this.#oldGroups = this.#oldGroups.filter(({expiresAtMs}) => nowMs < expiresAtMs);
		return [...this.#currentGroup ? [this.#currentGroup] : [], ...this.#oldGroups.map(({group}) => group)];
	}

	/** The groups to announce a takeover to; undefined until the lists cover the whole retention time. */
	announcementGroups(): WitnessGroup[] | undefined {
		const isComplete = this.#currentGroup !== undefined && this.#clock.nowMs() - this.#startedAtMs >= this.#retentionMs;
		return isComplete ? this.trackedGroups : undefined;
	}
}
