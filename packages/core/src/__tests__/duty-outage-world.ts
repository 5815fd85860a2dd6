/**
 * A simulated data centre for random schedules of one duty during table outages. Its entries hold the lease, take it over and
 * are witnesses of it; some of them cannot reach the table, and the list of witnesses changes. An entry may take the lease
 * over again under a later epoch.
 */
import type {HostRecord} from '@hawthorncleat/schema';
import * as assert from 'uvu/assert';
import {
	announceWindowMs, attestIntervalMs, brandAs, dutyGroupView, DutyWitness, isTakeoverAnnounced, defaultLeaseDurations,
	OutageAuthority, RecentWitnessGroups, takeoverWaitMs, type LeaseEpoch, type WitnessGroup,
} from '../index.js';
import {hasBit} from './schedules.js';

export const entryCount = 5;
/** Longest time until all entries have adopted a new host list. The settling period of witnesses relies on it. */
const maxListLagMs = 50_000;
const settleMs = 60_000;
// The simulated clocks do not drift, so no margin is needed. A margin would hide planted faults with a shorter effect.
const durations = {...defaultLeaseDurations, leaseMarginMs: 0};
const duty = 'roles/s/d';

/** Planted faults. Each leaves out one rule. */
export type Faults = {
	readonly noAnnouncement?: boolean;
	/** Takeovers are written directly after the announcement, without the wait for earlier attestations to expire. */
	readonly noWait?: boolean;
	/** Replies to an announcement count even if they arrive after the window. */
	readonly acceptsLateReplies?: boolean;
	/** Witnesses attest as soon as they have started or joined, without a settling period. */
	readonly noSettling?: boolean;
	/** Takeovers are announced only to the witnesses of the newest host list. */
	readonly announcesToNewestListOnly?: boolean;
	/** One positive answer is enough for an attestation. */
	readonly acceptsMinority?: boolean;
	/** The validity of an attestation counts from the answers instead of from the requests. */
	readonly datesFromAnswer?: boolean;
	/** An attestation extends authority that has already expired. */
	readonly extendsAfterExpiry?: boolean;
};

type Tenure = {
	readonly epoch: LeaseEpoch;
	readonly outage: OutageAuthority;
	version: number;
	leaseEndsAtMs: number;
};

type AttestRound = {readonly group: WitnessGroup; readonly sentMs: number; readonly positiveHostIds: Set<string>};

type Takeover = {
	readonly version: number;
	readonly versionSeenAtMs: number;
	announcement?: {readonly announcedGroups: readonly WitnessGroup[]; readonly sentMs: number; readonly notedHostIds: Set<string>} | undefined;
	waitStartedAtMs?: number;
};

type Entry = {
	readonly witness: DutyWitness;
	readonly recentGroups: RecentWitnessGroups;
	group: WitnessGroup;
	tenure?: Tenure | undefined;
	round?: AttestRound | undefined;
	takeover?: Takeover | undefined;
};

const createGroup = (members: readonly number[]): WitnessGroup => ({
	name: 'g',
	dataCentres: ['d'],
	view: members.join(','),
	witnesses: members.map((member): HostRecord => ({
		hostId: String(member), dataCentre: 'd', kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
	})),
});

/** Groups with one, three and five witnesses. Some pairs share less than a majority. */
export const hostLists = [createGroup([0, 1, 2]), createGroup([1, 2, 3]), createGroup([0, 1, 2, 3, 4]), createGroup([3, 4, 0]), createGroup([4])];

const findWitnessIndexes = (groups: readonly WitnessGroup[], mask: number): number[] =>
	[...new Set(groups.flatMap(({witnesses}) => witnesses.map(({hostId}) => Number(hostId))))].filter(index => hasBit(mask, index));

/** The simulated world. A mask selects the witnesses that receive a message and whose answer is not lost. */
export class DutyOutageWorld {
	nowMs = 0;
	readonly entries: Entry[] = [];
	readonly #faults: Faults;
	readonly #clock = {nowMs: () => this.nowMs};
	#row = {version: 1, epoch: 1};
	#unreachableMask = (2 ** entryCount) - 1;
	#newestList = hostLists[0]!;
	#listChangedAtMs = 0;

	constructor(faults: Faults) {
		this.#faults = faults;
		for (let index = 0; index < entryCount; index += 1) {
			this.entries.push(this.#createEntry(index, this.#newestList));
		}

		this.nowMs = settleMs + 1000;
		this.entries[0]!.tenure = this.#createTenure();
		// After these two steps every entry has observed the lease row for the duration of a lease and may announce a takeover at once.
		this.observeRowAtAll();
		this.runAttestRounds(durations.leaseTtlMs + 1000, (2 ** entryCount) - 1);
	}

	advance(durationMs: number): void {
		const isLagging = this.entries.some(({group}) => group !== this.#newestList);
		if (!isLagging || this.nowMs + durationMs - this.#listChangedAtMs <= maxListLagMs) {
			this.nowMs += durationMs;
		}
	}

	/** Lets time pass while each holder asks for attestations at the product's interval, unless its previous round is still unanswered. */
	runAttestRounds(durationMs: number, mask: number): void {
		for (let passedMs = 0; passedMs < durationMs; passedMs += attestIntervalMs) {
			this.advance(attestIntervalMs);
			for (const [index, {round}] of this.entries.entries()) {
				if (!round) {
					this.ask(index, mask);
					this.receiveAnswers(index);
				}
			}
		}
	}

	changeHostList(index: number): void {
		if (this.entries.every(({group}) => group === this.#newestList)) {
			this.#newestList = hostLists[index]!;
			this.#listChangedAtMs = this.nowMs;
		}
	}

	adoptHostList(mask: number): void {
		for (const [index, entry] of this.entries.entries()) {
			if (hasBit(mask, index) && entry.group !== this.#newestList) {
				entry.group = this.#newestList;
				entry.witness.setGroup(entry.group);
				entry.recentGroups.set(entry.group);
			}
		}
	}

	/** Replaces an entry by a newly started one, which has the newest host list. */
	restart(index: number): void {
		this.entries[index] = this.#createEntry(index, this.#newestList);
	}

	setUnreachable(mask: number): void {
		this.#unreachableMask = mask;
	}

	renew(index: number, isAnswered: boolean): void {
		const {tenure} = this.entries[index]!;
		if (!tenure || this.nowMs >= tenure.leaseEndsAtMs || this.#row.version !== tenure.version) {
			return;
		}

		this.#row.version += 1;
		tenure.version = this.#row.version;
		if (isAnswered) {
			tenure.leaseEndsAtMs = this.#leaseEndsAtMs();
		}
	}

	askAll(mask: number): void {
		for (const index of this.entries.keys()) {
			this.ask(index, mask);
		}
	}

	/** Starts a round of requests for attestations, or continues the current one. */
	ask(index: number, mask: number): void {
		const entry = this.entries[index]!;
		if (!entry.tenure) {
			return;
		}

		entry.round ??= {group: entry.group, sentMs: this.nowMs, positiveHostIds: new Set()};
		const {group, positiveHostIds} = entry.round;
		for (const member of findWitnessIndexes([group], mask)) {
			if (this.entries[member]!.witness.attest({duty, epoch: entry.tenure.epoch}, dutyGroupView(group))) {
				positiveHostIds.add(String(member));
			}
		}
	}

	receiveAllAnswers(): void {
		for (const index of this.entries.keys()) {
			this.receiveAnswers(index);
		}
	}

	receiveAnswers(index: number): void {
		const {tenure, round} = this.entries[index]!;
		this.entries[index]!.round = undefined;
		if (!tenure || !round) {
			return;
		}

		const {acceptsMinority, datesFromAnswer, extendsAfterExpiry} = this.#faults;
		const positiveCount = acceptsMinority && round.positiveHostIds.size > 0 ? round.group.witnesses.length : round.positiveHostIds.size;
		const sentMs = datesFromAnswer ? this.nowMs : round.sentMs;
		const leaseEndsAtMs = extendsAfterExpiry ? Number.POSITIVE_INFINITY : tenure.leaseEndsAtMs;
		tenure.outage.extend(round.group, {positive: positiveCount, sentMs, receivedMs: this.nowMs}, leaseEndsAtMs);
	}

	observeRowAtAll(): void {
		for (const entry of this.entries) {
			if (entry.takeover?.version !== this.#row.version) {
				entry.takeover = {version: this.#row.version, versionSeenAtMs: this.nowMs};
			}
		}
	}

	/** Starts the announcement of a takeover, or continues the current one. */
	announce(index: number, mask: number): void {
		const entry = this.entries[index]!;
		const {takeover} = entry;
		const groups = this.#faults.announcesToNewestListOnly ? [entry.group] : entry.recentGroups.announcementGroups();
		if (!takeover || !groups || this.nowMs - takeover.versionSeenAtMs < durations.leaseTtlMs) {
			return;
		}

		takeover.announcement ??= {announcedGroups: groups, sentMs: this.nowMs, notedHostIds: new Set()};
		for (const member of findWitnessIndexes(takeover.announcement.announcedGroups, mask)) {
			this.entries[member]!.witness.announce({duty, epoch: brandAs<LeaseEpoch>(this.#row.epoch + 1)});
			takeover.announcement.notedHostIds.add(String(member));
		}
	}

	receiveAnnouncementReplies(index: number): void {
		const {takeover} = this.entries[index]!;
		if (takeover?.announcement === undefined || takeover.waitStartedAtMs !== undefined) {
			return;
		}

		const {announcedGroups, sentMs, notedHostIds} = takeover.announcement;
		if (isTakeoverAnnounced(announcedGroups, notedHostIds, {sentMs, receivedMs: this.#faults.acceptsLateReplies ? sentMs : this.nowMs})) {
			takeover.waitStartedAtMs = this.nowMs;
		} else if (!this.#faults.acceptsLateReplies && this.nowMs - sentMs > announceWindowMs) {
			takeover.announcement = undefined;
		}
	}

	writeTakeover(index: number, isAnswered: boolean): void {
		const entry = this.entries[index]!;
		const {takeover} = entry;
		if (!takeover || !this.#mayWrite(takeover)) {
			return;
		}

		entry.takeover = undefined;
		if (takeover.version === this.#row.version) {
			this.#row = {version: this.#row.version + 1, epoch: this.#row.epoch + 1};
			entry.tenure = isAnswered ? this.#createTenure() : undefined;
			entry.round = undefined;
		}
	}

	/** No entry has authority under an epoch after a later epoch has been written. */
	assertInvariant(): void {
		for (const {tenure} of this.entries) {
			const hasAuthority = tenure !== undefined && this.nowMs < Math.max(tenure.leaseEndsAtMs, tenure.outage.endsAtMs);
			assert.ok(!hasAuthority || tenure.epoch === this.#row.epoch, 'authority after a takeover');
		}
	}

	#mayWrite({versionSeenAtMs, waitStartedAtMs}: Takeover): boolean {
		const {noAnnouncement, noWait} = this.#faults;
		if (noAnnouncement) {
			return this.nowMs - versionSeenAtMs >= durations.leaseTtlMs;
		}

		const waitMs = noWait ? 0 : takeoverWaitMs(durations);
		return waitStartedAtMs !== undefined && this.nowMs - waitStartedAtMs >= waitMs;
	}

	#leaseEndsAtMs(): number {
		return this.nowMs + durations.leaseTtlMs - durations.leaseMarginMs;
	}

	#createTenure(): Tenure {
		const {version, epoch} = this.#row;
		return {
			epoch: brandAs<LeaseEpoch>(epoch), outage: new OutageAuthority(), version, leaseEndsAtMs: this.#leaseEndsAtMs(),
		};
	}

	#createEntry(index: number, group: WitnessGroup): Entry {
		const witness = new DutyWitness({
			clock: this.#clock,
			entryId: String(index),
			isStoreUnreachable: () => hasBit(this.#unreachableMask, index),
			witnessSettleMs: this.#faults.noSettling ? 0 : settleMs,
		});
		const recentGroups = new RecentWitnessGroups(this.#clock, settleMs);
		witness.setGroup(group);
		recentGroups.set(group);
		return {witness, recentGroups, group};
	}
}
