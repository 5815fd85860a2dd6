/**
 * A simulated group of entries with a store that may be out of reach, one publisher and changing lists of witnesses.
 */
import type {FreshnessAnswer, HostRecord} from '@hawthorncleat/schema';
import * as assert from 'uvu/assert';
import {
	combineFreshnessAnswers, FreshnessTracker, isMajority, Witness, type WitnessGroup,
} from '../index.js';
import {hasBit} from './schedules.js';

export const entryCount = 4;
/** Bound of I6, counted from the acceptance. */
const withdrawalLimitMs = 5000;
/** As in the publisher of the entry. */
const confirmLimitMs = 5000;
const readTimeoutMs = 2000;
/** Longest lag of the host list, which the settling of witnesses assumes. */
const maxListLagMs = 50_000;

export type Faults = {
	/** One witness is enough, for the writer and for an attestation. */
	readonly acceptsMinority?: boolean;
	/** A read of the older version ends an announcement. */
	readonly readEndsAnnouncement?: boolean;
	/** A witness that restarts attests at once. */
	readonly noSettling?: boolean;
	/** A witness forgets a written version like one whose writer has died. */
	readonly forgetsWrittenVersion?: boolean;
};

type Entry = {
	freshness: FreshnessTracker;
	witness: Witness;
	version: number;
	unreachable: boolean;
	view: number;
	/** Reads of the head that have not been answered yet. */
	reads: Array<{readonly sentAtMs: number; readonly version: number}>;
	round: {readonly sentAtMs: number; readonly view: number; readonly answers: Map<string, FreshnessAnswer>} | undefined;
};

type Publication = {
	readonly id: string;
	readonly version: number;
	readonly view: number;
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

/** The simulated world. Masks say which entries a message reaches. */
export class FreshnessWorld {
	nowMs = 0;
	readonly entries: Entry[] = [];
	readonly #faults: Faults;
	#head = 1;
	#view = 0;
	#viewChangedAtMs = 0;
	#publication: Publication | undefined;
	#publications = 0;
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
		const isLagging = this.entries.some(({view}) => view !== this.#view);
		this.nowMs += durationMs;
		if (isLagging && this.nowMs - this.#viewChangedAtMs > maxListLagMs) {
			this.nowMs -= durationMs;
		}
	}

	changeHostList(): void {
		if (this.entries.every(({view}) => view === this.#view)) {
			this.#view = 1 - this.#view;
			this.#viewChangedAtMs = this.nowMs;
		}
	}

	adoptHostList(index: number): void {
		const entry = this.entries[index]!;
		if (entry.view !== this.#view) {
			entry.view = this.#view;
			entry.witness.setView(groups[entry.view]!.view, this.#isWitness(index, entry.view));
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

	finishRead(index: number, installs: boolean): void {
		const entry = this.entries[index]!;
		const read = entry.reads.shift();
		if (!read || this.nowMs - read.sentAtMs > readTimeoutMs) {
			entry.unreachable = true;
			return;
		}

		entry.unreachable = false;
		entry.freshness.recordRead(read.sentAtMs, read.version);
		if (this.#faults.readEndsAnnouncement && read.version < this.#head) {
			entry.witness.finish(`p${this.#publications}`, 'abandoned', read.version);
		}

		entry.version = installs ? Math.max(entry.version, read.version) : entry.version;
	}

	cutStore(): void {
		for (const entry of this.entries) {
			entry.unreachable = true;
			entry.reads = [];
		}
	}

	relayProof(index: number, peer: number): void {
		const entry = this.entries[index]!;
		const answer = this.entries[peer]!.witness.answer(groups[entry.view]!.view);
		this.#noteRelay(entry, answer, this.nowMs);
	}

	/** Asks some witnesses now; `finishRound` asks the rest. */
	startRound(index: number, mask: number): void {
		const entry = this.entries[index]!;
		entry.round = {sentAtMs: this.nowMs, view: entry.view, answers: new Map()};
		this.#ask(index, entry, mask);
	}

	finishRound(index: number, mask: number): void {
		const entry = this.entries[index]!;
		const {round} = entry;
		if (!round || this.nowMs - round.sentAtMs > 700) {
			return;
		}

		this.#ask(index, entry, mask);
		const version = this.#combine(groups[round.view]!, round.answers);
		if (version !== undefined) {
			entry.freshness.recordAttestation(round.sentAtMs, version);
		}

		entry.round = undefined;
	}

	/** Entry 0 announces the next version. */
	announce(mask: number): void {
		if (this.#publication) {
			return;
		}

		this.#publications += 1;
		const {view} = this.entries[0]!;
		const publication: Publication = {
			id: `p${this.#publications}`, version: this.#head + 1, view, startedAtMs: this.nowMs, isWritten: false,
		};
		const noted = this.#reach(view, mask, entry => entry.witness.announce(publication.id, publication.version, groups[view]!.view).noted);
		if (this.#suffices(noted, view)) {
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

		const {id, version, view, startedAtMs} = publication;
		const informed = this.#reach(view, mask, entry => {
			entry.witness.finish(id, this.#faults.forgetsWrittenVersion ? 'unknown' : 'accepted', version);
			return true;
		});
		const writer = this.entries[0]!;
		if (this.#suffices(informed, view) && this.nowMs - startedAtMs <= confirmLimitMs && writer.view === view) {
			this.#accepted = {version, atMs: this.nowMs};
		}

		writer.version = Math.max(writer.version, version);
		this.#publication = undefined;
	}

	/** I6: no keyed request is admitted with an older configuration 5 s after an accepted withdrawal. */
	assertInvariant(): void {
		const {version, atMs} = this.#accepted;
		if (this.nowMs - atMs <= withdrawalLimitMs) {
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
			isStoreUnreachable: () => entry.unreachable,
			...(this.#faults.noSettling && {witnessSettleMs: -1_000_000}),
		});
		const entry: Entry = {
			freshness, witness, version, unreachable: true, view: this.#view, reads: [], round: undefined,
		};
		witness.setView(groups[this.#view]!.view, this.#isWitness(index, this.#view));
		if (this.#faults.noSettling) {
			freshness.recordRead(this.nowMs, version);
			witness.mayAttest();
		}

		return entry;
	}

	#isWitness(index: number, view: number): boolean {
		return groups[view]!.witnesses.some(({hostId}) => hostId === String(index));
	}

	#suffices(count: number, view: number): boolean {
		return this.#faults.acceptsMinority ? count > 0 : isMajority(count, groups[view]!);
	}

	#combine(group: WitnessGroup, answers: ReadonlyMap<string, FreshnessAnswer>): number | undefined {
		if (!this.#faults.acceptsMinority) {
			return combineFreshnessAnswers([group], answers);
		}

		const attesting = [...answers.values()].filter(({kind}) => kind === 'unreachable');
		return attesting.length === 0 ? undefined : Math.max(...attesting.map(({version}) => version ?? 0));
	}

	#reach(view: number, mask: number, tell: (entry: Entry) => boolean): number {
		return groups[view]!.witnesses
			.filter(({hostId}) => hasBit(mask, Number(hostId)))
			.filter(({hostId}) => tell(this.entries[Number(hostId)]!))
			.length;
	}

	#ask(asker: number, entry: Entry, mask: number): void {
		const {round} = entry;
		const {view, witnesses} = groups[round!.view]!;
		for (const hostId of witnesses.map(witness => witness.hostId).filter(id => hasBit(mask, Number(id)))) {
			const {witness, version} = this.entries[Number(hostId)]!;
			if (Number(hostId) === asker) {
				round!.answers.set(hostId, witness.mayAttest() ? {kind: 'unreachable', version} : {kind: 'none'});
			} else {
				const answer = witness.answer(view);
				this.#noteRelay(entry, answer, this.nowMs);
				round!.answers.set(hostId, answer);
			}
		}
	}

	#noteRelay(entry: Entry, {kind, basis, ageMs, version}: FreshnessAnswer, sentAtMs: number): void {
		if (kind === 'evidence') {
			entry.freshness.recordRelayedProof(sentAtMs, {basis: basis!, ageMs: ageMs!, version: version!});
		}
	}
}
