/**
 * A simulated data centre whose entries hold, take and attest one duty, with a table that is out of reach for some of them
 * and changing lists of witnesses. An entry that takes over or lapses may do so again under a later epoch.
 */
import type {HostRecord} from '@hawthorncleat/schema';
import * as assert from 'uvu/assert';
import {
	announceWindowMs, attestIntervalMs, brandAs, dutyGroupView, DutyWitness, isTakeoverAnnounced, defaultLeaseDurations, OutageAuthority, RecentWitnessGroups, takeoverWaitMs, type LeaseEpoch, type WitnessGroup,
} from '../index.js';
import {hasBit} from './schedules.js';

export const entryCount = 5;
/** Longest lag of the host list, which the settling of witnesses assumes. */
const maxListLagMs = 50_000;
const settleMs = 60_000;
// The clocks here do not drift. A margin would hide removed rules whose effect is shorter.
const durations = {...defaultLeaseDurations, leaseMarginMs: 0};
const duty = 'roles/s/d';

/** Rules that are left out. */
export type Faults = {
	/** Takers write without the witnesses. */
	readonly noAnnouncement?: boolean;
	/** Takers write as soon as they have announced. */
	readonly noWait?: boolean;
	/** Answers to an announcement count however late they come. */
	readonly acceptsLateReplies?: boolean;
	/** Witnesses attest as soon as they have started or joined. */
	readonly noSettling?: boolean;
	/** Takers announce only to the witnesses of their newest list. */
	readonly announcesToNewestListOnly?: boolean;
	/** One positive answer is enough. */
	readonly acceptsMinority?: boolean;
	/** An attestation counts from its answer. */
	readonly datesFromAnswer?: boolean;
	/** An attestation counts after the authority has lapsed. */
	readonly extendsAfterExpiry?: boolean;
};

type Tenure = {
	readonly epoch: LeaseEpoch;
	readonly outage: OutageAuthority;
	version: number;
	leaseEndsAtMs: number;
};

type Round = {readonly group: WitnessGroup; readonly sentMs: number; readonly positive: Set<string>};

type Takeover = {
	readonly version: number;
	readonly seenMs: number;
	announced?: {readonly hostLists: readonly WitnessGroup[]; readonly sentMs: number; readonly noted: Set<string>} | undefined;
	waitsFromMs?: number;
};

type Entry = {
	readonly witness: DutyWitness;
	readonly recent: RecentWitnessGroups;
	group: WitnessGroup;
	tenure?: Tenure | undefined;
	round?: Round | undefined;
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

/** Lists with one, three and five witnesses; some share less than a majority. */
export const groups = [createGroup([0, 1, 2]), createGroup([1, 2, 3]), createGroup([0, 1, 2, 3, 4]), createGroup([3, 4, 0]), createGroup([4])];

const membersOf = (lists: readonly WitnessGroup[], mask: number): number[] =>
	[...new Set(lists.flatMap(({witnesses}) => witnesses.map(({hostId}) => Number(hostId))))].filter(index => hasBit(mask, index));

/** The simulated world. Masks say which witnesses a message reaches and answers in time. */
export class DutyOutageWorld {
	nowMs = 0;
	readonly entries: Entry[] = [];
	readonly #faults: Faults;
	readonly #clock = {nowMs: () => this.nowMs};
	#row = {version: 1, epoch: 1};
	#unreachable = (2 ** entryCount) - 1;
	#list = groups[0]!;
	#listChangedAtMs = 0;

	constructor(faults: Faults) {
		this.#faults = faults;
		for (let index = 0; index < entryCount; index += 1) {
			this.entries.push(this.#createEntry(index, this.#list));
		}

		this.nowMs = settleMs + 1000;
		this.entries[0]!.tenure = this.#createTenure();
		// From here a takeover may be announced at once.
		this.observeRowAtAll();
		this.runAttestRounds(durations.leaseTtlMs + 1000, (2 ** entryCount) - 1);
	}

	advance(durationMs: number): void {
		const isLagging = this.entries.some(({group}) => group !== this.#list);
		if (!isLagging || this.nowMs + durationMs - this.#listChangedAtMs <= maxListLagMs) {
			this.nowMs += durationMs;
		}
	}

	/** Time in which each holder asks as often as in the product. One whose round is under way waits for its answers. */
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
		if (this.entries.every(({group}) => group === this.#list)) {
			this.#list = groups[index]!;
			this.#listChangedAtMs = this.nowMs;
		}
	}

	adoptHostList(mask: number): void {
		for (const [index, entry] of this.entries.entries()) {
			if (hasBit(mask, index) && entry.group !== this.#list) {
				entry.group = this.#list;
				entry.witness.setGroup(entry.group);
				entry.recent.set(entry.group);
			}
		}
	}

	/** A restarted entry has the newest list, like one that has just started. */
	restart(index: number): void {
		this.entries[index] = this.#createEntry(index, this.#list);
	}

	setUnreachable(mask: number): void {
		this.#unreachable = mask;
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

	/** Starts a round of questions, or goes on with the one under way. */
	ask(index: number, mask: number): void {
		const entry = this.entries[index]!;
		if (!entry.tenure) {
			return;
		}

		entry.round ??= {group: entry.group, sentMs: this.nowMs, positive: new Set()};
		const {group, positive} = entry.round;
		for (const member of membersOf([group], mask)) {
			if (this.entries[member]!.witness.attest({duty, epoch: entry.tenure.epoch}, dutyGroupView(group))) {
				positive.add(String(member));
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

		const {acceptsMinority: minority, datesFromAnswer: countsFromAnswer, extendsAfterExpiry: revives} = this.#faults;
		const positive = minority && round.positive.size > 0 ? round.group.witnesses.length : round.positive.size;
		const sentMs = countsFromAnswer ? this.nowMs : round.sentMs;
		const leaseEndsAtMs = revives ? Number.POSITIVE_INFINITY : tenure.leaseEndsAtMs;
		tenure.outage.extend(round.group, {positive, sentMs, receivedMs: this.nowMs}, leaseEndsAtMs);
	}

	observeRowAtAll(): void {
		for (const entry of this.entries) {
			if (entry.takeover?.version !== this.#row.version) {
				entry.takeover = {version: this.#row.version, seenMs: this.nowMs};
			}
		}
	}

	/** Starts an announcement, or goes on with the one under way. */
	announce(index: number, mask: number): void {
		const entry = this.entries[index]!;
		const {takeover} = entry;
		const lists = this.#faults.announcesToNewestListOnly ? [entry.group] : entry.recent.announcementGroups();
		if (!takeover || !lists || this.nowMs - takeover.seenMs < durations.leaseTtlMs) {
			return;
		}

		takeover.announced ??= {hostLists: lists, sentMs: this.nowMs, noted: new Set()};
		for (const member of membersOf(takeover.announced.hostLists, mask)) {
			this.entries[member]!.witness.announce({duty, epoch: brandAs<LeaseEpoch>(this.#row.epoch + 1)});
			takeover.announced.noted.add(String(member));
		}
	}

	receiveAnnouncementReplies(index: number): void {
		const {takeover} = this.entries[index]!;
		if (takeover?.announced === undefined || takeover.waitsFromMs !== undefined) {
			return;
		}

		const {hostLists: lists, sentMs, noted} = takeover.announced;
		if (isTakeoverAnnounced(lists, noted, {sentMs, receivedMs: this.#faults.acceptsLateReplies ? sentMs : this.nowMs})) {
			takeover.waitsFromMs = this.nowMs;
		} else if (!this.#faults.acceptsLateReplies && this.nowMs - sentMs > announceWindowMs) {
			takeover.announced = undefined;
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

	/** Nobody has authority under an epoch that another one has followed. */
	assertInvariant(): void {
		for (const {tenure} of this.entries) {
			const hasAuthority = tenure !== undefined && this.nowMs < Math.max(tenure.leaseEndsAtMs, tenure.outage.endsAtMs);
			assert.ok(!hasAuthority || tenure.epoch === this.#row.epoch, 'authority after a takeover');
		}
	}

	#mayWrite({seenMs, waitsFromMs}: Takeover): boolean {
		const {noAnnouncement, noWait} = this.#faults;
		if (noAnnouncement) {
			return this.nowMs - seenMs >= durations.leaseTtlMs;
		}

		const waitMs = noWait ? 0 : takeoverWaitMs(durations);
		return waitsFromMs !== undefined && this.nowMs - waitsFromMs >= waitMs;
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
			isStoreUnreachable: () => hasBit(this.#unreachable, index),
			witnessSettleMs: this.#faults.noSettling ? 0 : settleMs,
		});
		const recent = new RecentWitnessGroups(this.#clock, settleMs);
		witness.setGroup(group);
		recent.set(group);
		return {witness, recent, group};
	}
}
