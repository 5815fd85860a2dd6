/**
 * An entry as a witness of the duties of its data centre. Before a process takes over the lease of a duty, it announces the
 * takeover to the witnesses. During a table outage the current holder asks them to attest that no takeover was announced,
 * and continues without the table on their answers.
 */
import type {Clock} from './clock.js';
import {attestationValidityMs} from './freshness.js';
import type {LeaseEpoch} from './ids.js';
import {witnessSettleMs} from './witness.js';
import {hasWitness, isMajority, type WitnessGroup} from './witness-groups.js';

/** Rule `window` of models/duty-outage.pml: longest time from the first announcement of a takeover to the replies of enough witnesses. */
export const announceWindowMs = 1000;

/**
 * Rule `refusal` of models/duty-outage.pml: how long a witness retains an announcement and attests no lower epoch. The rule
 * needs the validity of an attestation plus the window; the factor of two covers clock drift.
 */
export const dutyAnnouncementRetentionMs = 2 * (attestationValidityMs + announceWindowMs);

export type DutyWitnessOptions = {
	readonly clock: Clock;
	readonly entryId: string;
	/** True while this entry cannot reach the table. */
	readonly isStoreUnreachable: () => boolean;
	readonly witnessSettleMs?: number;
};

/** A duty and one epoch of its lease: the epoch that is held, or the next one in an announcement. */
export type DutyEpoch = {readonly duty: string; readonly epoch: LeaseEpoch};

type Announcement = {readonly epoch: LeaseEpoch; readonly expiresAtMs: number};

/** Text that is equal at two entries only if they have the same group with the same data centres and witnesses. */
export const dutyGroupView = ({name, dataCentres, view}: WitnessGroup): string => `${name}|${dataCentres.join(',')}|${view}`;

/** Whether every majority of the group includes at least one of `count` witnesses that recorded a takeover. */
export const blocksEveryMajority = (count: number, {witnesses}: WitnessGroup): boolean => count * 2 >= witnesses.length;

/** Whether a majority of the new group may consist only of witnesses of the old group that did not have to record an announcement. */
const mayMissAnnouncement = (oldSize: number, group: WitnessGroup): boolean => {
	const unreachedCount = Math.floor(oldSize / 2);
	return isMajority(unreachedCount, group);
};

/** State of one witness of duties. It is in memory only and is lost on restart. */
export class DutyWitness {
	readonly #options: DutyWitnessOptions;
	readonly #announcements = new Map<string, Announcement>();
	#group: WitnessGroup | undefined;
	/** Largest size of the group since the last settling period began. */
	#largestGroupSize = 0;
	#settledAtMs: number;

	constructor(options: DutyWitnessOptions) {
		this.#options = options;
		this.#settledAtMs = this.#computeSettledAtMs();
	}

	/** Sets the witness group of this entry's data centre after a change of the host list. */
	setGroup(group: WitnessGroup | undefined): void {
		if (!group || this.#mustSettle(group)) {
			this.#settledAtMs = this.#computeSettledAtMs();
			this.#largestGroupSize = 0;
		}

		this.#group = group;
		this.#largestGroupSize = Math.max(this.#largestGroupSize, group?.witnesses.length ?? 0);
	}

	/**
	 * Rule `refusal` of models/duty-outage.pml: records that the epoch is about to be taken. The announcement counts whichever
	 * host list its sender has.
	 */
	announce({duty, epoch}: DutyEpoch): void {
		const expiresAtMs = this.#options.clock.nowMs() + dutyAnnouncementRetentionMs;
		const recorded = this.#announcements.get(duty);
		this.#announcements.set(duty, {epoch: recorded && recorded.epoch > epoch ? recorded.epoch : epoch, expiresAtMs});
	}

	/** Whether this witness attests that the holder of the epoch may continue without the table. */
	attest(heldEpoch: DutyEpoch, view: string): boolean {
		const {clock, entryId, isStoreUnreachable} = this.#options;
		return this.#group !== undefined
			&& hasWitness(this.#group, entryId)
			&& dutyGroupView(this.#group) === view
			&& clock.nowMs() >= this.#settledAtMs
			&& isStoreUnreachable()
			&& !this.#hasHigherAnnouncement(heldEpoch);
	}

	#hasHigherAnnouncement({duty, epoch}: DutyEpoch): boolean {
		const recorded = this.#announcements.get(duty);
		if (!recorded) {
			return false;
		}

		if (this.#options.clock.nowMs() <= recorded.expiresAtMs) {
			return recorded.epoch > epoch;
		}

		this.#announcements.delete(duty);
		return false;
	}

	/**
	 * Rule `settle` of models/duty-outage.pml: whether this witness must wait before it attests. After a start it may have lost
	 * an announcement. If it has joined the group, or the group has gained a data centre or has become much smaller, a process
	 * with an older host list may have announced a takeover to other witnesses only.
	 */
	#mustSettle(group: WitnessGroup): boolean {
		const oldGroup = this.#group;
		return oldGroup?.name !== group.name
			|| group.dataCentres.some(name => !oldGroup.dataCentres.includes(name))
			|| !hasWitness(oldGroup, this.#options.entryId)
			|| mayMissAnnouncement(this.#largestGroupSize, group);
	}

	#computeSettledAtMs(): number {
		return this.#options.clock.nowMs() + (this.#options.witnessSettleMs ?? witnessSettleMs);
	}
}
