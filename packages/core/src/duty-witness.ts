/**
 * The part of an entry as a witness of the duties of its data centre: it notes that a takeover is about to be written, and
 * attests to a holder during a table outage that it knows of none.
 */
import type {Clock} from './clock.js';
import {attestationMs} from './freshness.js';
import type {LeaseEpoch} from './ids.js';
import {witnessSettleMs} from './witness.js';
import {hasWitness, isMajority, type WitnessGroup} from './witness-groups.js';

/** Rule `window` of models/duty-outage.pml: longest time from the first announcement to the answers of enough witnesses. */
export const announceWindowMs = 1000;

/**
 * Rule `refusal` of models/duty-outage.pml: how long an announcement is kept. The rule needs the validity of an attestation
 * and the window; the rest covers the drift of clocks.
 */
export const dutyAnnouncementRetentionMs = 2 * (attestationMs + announceWindowMs);

export type DutyWitnessOptions = {
	readonly clock: Clock;
	readonly entryId: string;
	/** True while the table cannot be reached from here. */
	readonly isStoreUnreachable: () => boolean;
	readonly witnessSettleMs?: number;
};

/** The next epoch of a duty, or the one that is held. */
export type DutyEpoch = {readonly duty: string; readonly epoch: LeaseEpoch};

type Announcement = {readonly epoch: LeaseEpoch; readonly forgetAtMs: number};

/** Names what must be equal at the asker and at the witness. */
export const dutyGroupView = ({name, dataCentres, view}: WitnessGroup): string => `${name}|${dataCentres.join(',')}|${view}`;

/** Whether enough witnesses have noted a takeover that every majority of the group includes one of them. */
export const blocksEveryMajority = (count: number, {witnesses}: WitnessGroup): boolean => count * 2 >= witnesses.length;

/** Whether a majority of the new group may lie wholly among witnesses of the old one that a taker did not need. */
const mayMiss = (oldSize: number, group: WitnessGroup): boolean => {
	const unheard = Math.floor(oldSize / 2);
	return isMajority(unheard, group);
};

/** State of one witness of duties; it is lost on restart. */
export class DutyWitness {
	readonly #options: DutyWitnessOptions;
	readonly #announcements = new Map<string, Announcement>();
	#group: WitnessGroup | undefined;
	/** Largest size of the group since it had to settle last. */
	#largestSize = 0;
	#attestsFromMs: number;

	constructor(options: DutyWitnessOptions) {
		this.#options = options;
		this.#attestsFromMs = this.#settledAtMs();
	}

	/** Takes over the group of the own data centre by a new host list. */
	setGroup(group: WitnessGroup | undefined): void {
		if (!group || this.#mustSettle(group)) {
			this.#attestsFromMs = this.#settledAtMs();
			this.#largestSize = 0;
		}

		this.#group = group;
		this.#largestSize = Math.max(this.#largestSize, group?.witnesses.length ?? 0);
	}

	/** Rule `refusal` of models/duty-outage.pml: notes that the epoch is about to be taken, by whatever list of witnesses. */
	announce({duty, epoch}: DutyEpoch): void {
		const forgetAtMs = this.#options.clock.nowMs() + dutyAnnouncementRetentionMs;
		const known = this.#announcements.get(duty);
		this.#announcements.set(duty, {epoch: known && known.epoch > epoch ? known.epoch : epoch, forgetAtMs});
	}

	/** Whether the holder of the epoch may go on without the table, as far as this witness knows. */
	attest(held: DutyEpoch, view: string): boolean {
		const {clock, entryId, isStoreUnreachable} = this.#options;
		return this.#group !== undefined
			&& hasWitness(this.#group, entryId)
			&& dutyGroupView(this.#group) === view
			&& clock.nowMs() >= this.#attestsFromMs
			&& isStoreUnreachable()
			&& !this.#refuses(held);
	}

	#refuses({duty, epoch}: DutyEpoch): boolean {
		const known = this.#announcements.get(duty);
		if (!known) {
			return false;
		}

		if (this.#options.clock.nowMs() <= known.forgetAtMs) {
			return known.epoch > epoch;
		}

		this.#announcements.delete(duty);
		return false;
	}

	/**
	 * Rule `settle` of models/duty-outage.pml. A witness that has started may have forgotten an announcement. One that has
	 * joined the group, or whose group has taken over another data centre or has become much smaller, may not have been
	 * told of one by a taker whose host list is older.
	 */
	#mustSettle(group: WitnessGroup): boolean {
		const old = this.#group;
		return old?.name !== group.name
			|| group.dataCentres.some(name => !old.dataCentres.includes(name))
			|| !hasWitness(old, this.#options.entryId)
			|| mayMiss(this.#largestSize, group);
	}

	#settledAtMs(): number {
		return this.#options.clock.nowMs() + (this.#options.witnessSettleMs ?? witnessSettleMs);
	}
}
