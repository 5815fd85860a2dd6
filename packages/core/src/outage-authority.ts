/**
 * The authority of a duty's holder while the table is down, and what a taker needs from the witnesses before it writes.
 * Both use only their own clock.
 */
import type {Clock} from './clock.js';
import {announceWindowMs, dutyGroupView, blocksEveryMajority} from './duty-witness.js';
import {attestationMs} from './freshness.js';
import type {LeaseDurations} from './lease.js';
import {witnessSettleMs} from './witness.js';
import {isMajority, type WitnessGroup} from './witness-groups.js';

/** Pause between two rounds of questions; several fit into the validity of an attestation. */
export const attestIntervalMs = 500;

/** Rule `wait` of models/duty-outage.pml: attestations from before the announcement run out, also by a slower clock. */
export const takeoverWaitMs = ({leaseMarginMs}: LeaseDurations): number => attestationMs + leaseMarginMs;

/** Evidence of one holder that nobody can take its duty. The margin lies in the wait of the taker. */
export class OutageAuthority {
	#endsAtMs = Number.NEGATIVE_INFINITY;

	/**
	 * Records the positive answers to one round of questions, which left at `sentMs`. Rule `attestation` of
	 * models/duty-outage.pml: they must be a majority. Rule `dated` of models/duty-outage.pml: the evidence counts from before
	 * the questions left. Rule `continuity` of models/duty-outage.pml: it does not count if the authority of the holder, by
	 * the lease or by an earlier attestation, had lapsed by `receivedMs`.
	 */
	extend(group: WitnessGroup, answers: {readonly positive: number; readonly sentMs: number; readonly receivedMs: number}, leaseEndsAtMs: number): void {
		const {positive, sentMs, receivedMs} = answers;
		const isContinuous = receivedMs < Math.max(leaseEndsAtMs, this.#endsAtMs);
		if (isContinuous && isMajority(positive, group)) {
			this.#endsAtMs = Math.max(this.#endsAtMs, sentMs + attestationMs);
		}
	}

	get endsAtMs(): number {
		return this.#endsAtMs;
	}
}

/**
 * Rule `announce` of models/duty-outage.pml: enough witnesses of each group have noted the takeover. Rule `window` of
 * models/duty-outage.pml: they did so shortly after each other, so that their refusals overlap.
 */
export const isTakeoverAnnounced = (
	groups: readonly WitnessGroup[],
	noted: ReadonlySet<string>,
	{sentMs, receivedMs}: {readonly sentMs: number; readonly receivedMs: number},
): boolean => groups.length > 0
	&& receivedMs - sentMs <= announceWindowMs
	&& groups.every(group => blocksEveryMajority(group.witnesses.filter(({hostId}) => noted.has(hostId)).length, group));

/**
 * The groups of the own data centre by the host lists of the last time. A holder and its witnesses may have an older list
 * than the taker, which therefore announces to the groups of all lists that may still be in use.
 */
export class RecentWitnessGroups {
	readonly #clock: Clock;
	readonly #keepMs: number;
	readonly #startedAtMs: number;
	#current: WitnessGroup | undefined;
	#old: Array<{readonly group: WitnessGroup; readonly untilMs: number}> = [];

	constructor(clock: Clock, keepMs = witnessSettleMs) {
		this.#clock = clock;
		this.#keepMs = keepMs;
		this.#startedAtMs = clock.nowMs();
	}

	/** Takes over the group by a new host list. */
	set(group: WitnessGroup | undefined): void {
		const old = this.#current;
		if (old && (!group || dutyGroupView(old) !== dutyGroupView(group))) {
			this.#old.push({group: old, untilMs: this.#clock.nowMs() + this.#keepMs});
		}

		this.#current = group;
	}

	/** The groups that are known, also of a shorter time. */
	get trackedGroups(): WitnessGroup[] {
		const nowMs = this.#clock.nowMs();
		this.#old = this.#old.filter(({untilMs}) => nowMs < untilMs);
		return [...this.#current ? [this.#current] : [], ...this.#old.map(({group}) => group)];
	}

	/** The groups to announce to; undefined until the lists of the whole time are known. */
	announcementGroups(): WitnessGroup[] | undefined {
		const isComplete = this.#current !== undefined && this.#clock.nowMs() - this.#startedAtMs >= this.#keepMs;
		return isComplete ? this.trackedGroups : undefined;
	}
}
