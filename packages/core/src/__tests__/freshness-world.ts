/**
 * A simulated group of entries for random schedules of freshness: some entries may not reach the store, entry 0 publishes
 * configuration versions, and the list of witnesses changes.
 */
import type {FreshnessAnswer, HostRecord} from '@hawthorncleat/schema';
import * as assert from 'uvu/assert';
import {
	combineFreshnessAnswers, FreshnessTracker, isMajority, Witness, type WitnessGroup,
} from '../index.js';
import {hasBit} from './schedules.js';

export const entryCount = 4;
/** Longest time for which a withdrawn key may still be admitted, counted from when the withdrawal was accepted (I6). */
const maxWithdrawalDelayMs = 5000;
/** The same limit as in the entry's publisher. */
const confirmLimitMs = 5000;
const readTimeoutMs = 2000;
/** Longest time until all entries have adopted a new host list. The settling period of witnesses relies on it. */
const maxListLagMs = 50_000;

export type Faults = {
	/** One witness is enough for an announcement and for an attestation. */
	readonly acceptsMinority?: boolean;
	/** A read of a version below the announced one ends the announcement. */
	readonly readEndsAnnouncement?: boolean;
	/** A restarted witness attests without a settling period. */
	readonly noSettling?: boolean;
	/** A witness drops the announcement of a written version after a time, as if its writer had died. */
	readonly forgetsWrittenVersion?: boolean;
};

type Entry = {
	freshness: FreshnessTracker;
	witness: Witness;
	version: number;
	isStoreUnreachable: boolean;
	listIndex: number;
	/** Unanswered reads of the head. */
	reads: Array<{readonly sentAtMs: number; readonly version: number}>;
	round: {readonly sentAtMs: number; readonly listIndex: number; readonly answers: Map<string, FreshnessAnswer>} | undefined;
};

type Publication = {
	readonly id: string;
	readonly version: number;
	readonly listIndex: number;
	readonly startedAtMs: number;
	isWritten: boolean;
};

const createGroup = (members: readonly number[]): WitnessGroup => ({
	name: 'g',
	dataCentres: ['d'],
	view: members.join(','),
	witnesses: members.map((member): HostRecord => ({
		hostId: String(member), dataCentre: 'd', kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
	})),
});

const groups = [createGroup([0, 1, 2]), createGroup([1, 2, 3])];

/** The simulated world. A mask selects the entries that a message reaches. */
export class FreshnessWorld {
	nowMs = 0;
	readonly entries: Entry[] = [];
	readonly #faults: Faults;
	#head = 1;
	#newestListIndex = 0;
	#listChangedAtMs = 0;
	#publication: Publication | undefined;
	#publicationCount = 0;
	#accepted = {version: 1, atMs: 0};

	constructor(faults: Faults) {
		this.#faults = faults;
		for (let index = 0; index < entryCount; index += 1) {
			this.entries.push(this.#createEntry(index, 1));
		}

		this.nowMs = 61_000;
		for (const entry of this.entries) {
			entry.freshness.recordRead(this.nowMs, 1);
			entry.witness.mayAttest();
		}
	}

	advance(durationMs: number): void {
		const isLagging = this.entries.some(({listIndex}) => listIndex !== this.#newestListIndex);
		this.nowMs += durationMs;
		if (isLagging && this.nowMs - this.#listChangedAtMs > maxListLagMs) {
			this.nowMs -= durationMs;
		}
	}

	changeHostList(): void {
		if (this.entries.every(({listIndex}) => listIndex === this.#newestListIndex)) {
			this.#newestListIndex = 1 - this.#newestListIndex;
			this.#listChangedAtMs = this.nowMs;
		}
	}

	adoptHostList(index: number): void {
		const entry = this.entries[index]!;
		if (entry.listIndex !== this.#newestListIndex) {
			entry.listIndex = this.#newestListIndex;
			entry.witness.setView(groups[entry.listIndex]!.view, this.#isWitness(index, entry.listIndex));
		}
	}

	restart(index: number, peer: number): void {
		this.entries[index] = this.#createEntry(index, this.entries[peer]!.version);
		if (this.#publication && index === 0) {
			this.#publication = undefined;
		}
	}

	startRead(index: number): void {
		const entry = this.entries[index]!;
		entry.reads = entry.reads.filter(read => this.nowMs - read.sentAtMs <= readTimeoutMs);
		entry.reads.push({sentAtMs: this.nowMs, version: this.#head});
	}

	finishRead(index: number, isInstalled: boolean): void {
		const entry = this.entries[index]!;
		const read = entry.reads.shift();
		if (!read || this.nowMs - read.sentAtMs > readTimeoutMs) {
			entry.isStoreUnreachable = true;
			return;
		}

		entry.isStoreUnreachable = false;
		entry.freshness.recordRead(read.sentAtMs, read.version);
		if (this.#faults.readEndsAnnouncement && read.version < this.#head) {
			entry.witness.finish(`p${this.#publicationCount}`, 'abandoned', read.version);
		}

		entry.version = isInstalled ? Math.max(entry.version, read.version) : entry.version;
	}

	cutStore(): void {
		for (const entry of this.entries) {
			entry.isStoreUnreachable = true;
			entry.reads = [];
		}
	}

	relayProof(index: number, peer: number): void {
		const entry = this.entries[index]!;
		const answer = this.entries[peer]!.witness.answer(groups[entry.listIndex]!.view);
		this.#recordRelayedProof(entry, answer, this.nowMs);
	}

	/** Starts a round that asks some witnesses; `finishRound` asks others and combines the answers. */
	startRound(index: number, mask: number): void {
		const entry = this.entries[index]!;
		entry.round = {sentAtMs: this.nowMs, listIndex: entry.listIndex, answers: new Map()};
		this.#askWitnesses(index, entry, mask);
	}

	finishRound(index: number, mask: number): void {
		const entry = this.entries[index]!;
		const {round} = entry;
		if (!round || this.nowMs - round.sentAtMs > 700) {
			return;
		}

		this.#askWitnesses(index, entry, mask);
		const version = this.#combineAnswers(groups[round.listIndex]!, round.answers);
		if (version !== undefined) {
			entry.freshness.recordAttestation(round.sentAtMs, version);
		}

		entry.round = undefined;
	}

	/** Announces the next version on behalf of entry 0. */
	announce(mask: number): void {
		if (this.#publication) {
			return;
		}

		this.#publicationCount += 1;
		const {listIndex} = this.entries[0]!;
		const publication: Publication = {
			id: `p${this.#publicationCount}`, version: this.#head + 1, listIndex, startedAtMs: this.nowMs, isWritten: false,
		};
		const notedCount = this.#sendToWitnesses(listIndex, mask, entry => entry.witness.announce(publication.id, publication.version, groups[listIndex]!.view).noted);
		if (this.#isEnough(notedCount, listIndex)) {
			this.#publication = publication;
		}
	}

	writeHead(): void {
		if (this.#publication && !this.#publication.isWritten) {
			this.#publication.isWritten = true;
			this.#head = this.#publication.version;
		}
	}

	confirm(mask: number): void {
		const publication = this.#publication;
		if (!publication?.isWritten) {
			return;
		}

		const {id, version, listIndex, startedAtMs} = publication;
		const confirmedCount = this.#sendToWitnesses(listIndex, mask, entry => {
			entry.witness.finish(id, this.#faults.forgetsWrittenVersion ? 'unknown' : 'accepted', version);
			return true;
		});
		const writer = this.entries[0]!;
		if (this.#isEnough(confirmedCount, listIndex) && this.nowMs - startedAtMs <= confirmLimitMs && writer.listIndex === listIndex) {
			this.#accepted = {version, atMs: this.nowMs};
		}

		writer.version = Math.max(writer.version, version);
		this.#publication = undefined;
	}

	/** Invariant I6: no keyed request is admitted with an older configuration more than 5 s after a withdrawal was accepted. */
	assertInvariant(): void {
		const {version, atMs} = this.#accepted;
		if (this.nowMs - atMs <= maxWithdrawalDelayMs) {
			return;
		}

		for (const [index, entry] of this.entries.entries()) {
			assert.not(entry.version < version && entry.freshness.hasValidProof(), `entry ${index} admits with version ${entry.version}`);
		}
	}

	#createEntry(index: number, version: number): Entry {
		const clock = {nowMs: () => this.nowMs};
		const localVersion = (): number => entry.version;
		const freshness = new FreshnessTracker({clock, localVersion});
		const witness = new Witness({
			clock,
			incarnation: `${index}.${this.nowMs}`,
			localVersion,
			freshness,
			isStoreUnreachable: () => entry.isStoreUnreachable,
			...(this.#faults.noSettling && {witnessSettleMs: -1_000_000}),
		});
		const entry: Entry = {
			freshness, witness, version, isStoreUnreachable: true, listIndex: this.#newestListIndex, reads: [], round: undefined,
		};
		witness.setView(groups[this.#newestListIndex]!.view, this.#isWitness(index, this.#newestListIndex));
		if (this.#faults.noSettling) {
			freshness.recordRead(this.nowMs, version);
			witness.mayAttest();
		}

		return entry;
	}

	#isWitness(index: number, listIndex: number): boolean {
		return groups[listIndex]!.witnesses.some(({hostId}) => hostId === String(index));
	}

	#isEnough(count: number, listIndex: number): boolean {
		return this.#faults.acceptsMinority ? count > 0 : isMajority(count, groups[listIndex]!);
	}

	#combineAnswers(group: WitnessGroup, answers: ReadonlyMap<string, FreshnessAnswer>): number | undefined {
		if (!this.#faults.acceptsMinority) {
			return combineFreshnessAnswers([group], answers);
		}

		const attesting = [...answers.values()].filter(({kind}) => kind === 'unreachable');
		return attesting.length === 0 ? undefined : Math.max(...attesting.map(({version}) => version ?? 0));
	}

	#sendToWitnesses(listIndex: number, mask: number, send: (entry: Entry) => boolean): number {
		return groups[listIndex]!.witnesses
			.filter(({hostId}) => hasBit(mask, Number(hostId)))
			.filter(({hostId}) => send(this.entries[Number(hostId)]!))
			.length;
	}

	#askWitnesses(asker: number, entry: Entry, mask: number): void {
		const {round} = entry;
		const {view, witnesses} = groups[round!.listIndex]!;
		for (const hostId of witnesses.map(witness => witness.hostId).filter(id => hasBit(mask, Number(id)))) {
			const {witness, version} = this.entries[Number(hostId)]!;
			if (Number(hostId) === asker) {
				round!.answers.set(hostId, witness.mayAttest() ? {kind: 'unreachable', version} : {kind: 'none'});
			} else {
				const answer = witness.answer(view);
				this.#recordRelayedProof(entry, answer, this.nowMs);
				round!.answers.set(hostId, answer);
			}
		}
	}

	#recordRelayedProof(entry: Entry, {kind, basis, ageMs, version}: FreshnessAnswer, sentAtMs: number): void {
		if (kind === 'evidence') {
			entry.freshness.recordRelayedProof(sentAtMs, {basis: basis!, ageMs: ageMs!, version: version!});
		}
	}
}
