/**
 * The part of an entry as a witness: it notes publications that are about to be written and attests an outage of the
 * store only while none is pending.
 */
import type {FreshnessAnswer} from '@hawthorncleat/schema';
import type {Clock} from './clock.js';
import type {FreshnessProof, FreshnessTracker} from './freshness.js';

/**
 * Rule `limit` of models/freshness.pml: a writer that has reported nothing by then is taken for dead. Once it has reported
 * the write, its announcement is kept until the version is in force, however long that takes.
 */
export const announcementTimeoutMs = 30_000;

/**
 * Rule `settle-time` of models/freshness.pml: an entry that has started or has become a witness attests only on evidence
 * dated this much later, when the writers of that moment, also those with an older host list, have finished. A new host
 * and a restarted one cannot be told apart from inside.
 */
export const witnessSettleMs = 60_000;

export type WitnessOptions = {
	readonly clock: Clock;
	readonly incarnation: string;
	readonly localVersion: () => number;
	readonly freshness: FreshnessTracker;
	/** True while the last read of the head failed. */
	readonly isStoreUnreachable: () => boolean;
	readonly witnessSettleMs?: number;
};

type Announcement = {readonly version: number; readonly forgetAtMs: number};

/** What a writer learns about this witness. */
export type AnnouncementReply = {readonly noted: boolean; readonly incarnation: string};

/** State of one witness; it is lost on restart, which the incarnation shows. */
export class Witness {
	readonly #options: WitnessOptions;
	readonly #pending = new Map<string, Announcement>();
	#forgotten = 0;
	#view = '';
	/** Evidence must be dated after this moment before this witness attests. */
	#attestsFromMs: number;

	constructor(options: WitnessOptions) {
		this.#options = options;
		this.#attestsFromMs = this.#settledAtMs();
	}

	get incarnation(): string {
		return `${this.#options.incarnation}.${this.#forgotten}`;
	}

	/** Takes over a new list of witnesses; `mustSettle` says that an announcement by an older list may be unknown here. */
	setView(view: string, mustSettle: boolean): void {
		if (mustSettle) {
			this.#attestsFromMs = this.#settledAtMs();
		}

		this.#view = view;
	}

	/** Rule `announce` of models/freshness.pml: a writer announces to a majority before it writes. */
	announce(announceId: string, version: number, view: string): AnnouncementReply {
		const noted = view === this.#view;
		if (noted) {
			this.#pending.set(announceId, {version, forgetAtMs: this.#forgetAtMs()});
		}

		return {noted, incarnation: this.incarnation};
	}

	/** The writer's outcome. An announcement stays pending until its version is in force here, or it was abandoned. */
	finish(announceId: string, outcome: 'accepted' | 'abandoned' | 'unknown', version: number): void {
		if (outcome === 'abandoned') {
			this.#pending.delete(announceId);
			return;
		}

		const forgetAtMs = outcome === 'accepted' ? Number.POSITIVE_INFINITY : this.#forgetAtMs();
		this.#pending.set(announceId, {version, forgetAtMs});
	}

	/**
	 * Answer to another entry's question for evidence. An outage is attested while older reads are still valid, so that
	 * the askers have an attestation before those run out.
	 */
	answer(view: string): FreshnessAnswer {
		const evidence = this.#options.freshness.currentProof();
		if (this.#mayAttest(view, evidence)) {
			return {kind: 'unreachable', version: this.#options.localVersion()};
		}

		return evidence ? this.#relay(evidence) : {kind: 'none'};
	}

	/** Whether evidence after the start or joining has been seen; until then an outage is not attested. */
	get isSettled(): boolean {
		return this.#checkSettled(this.#options.freshness.currentProof());
	}

	/** Own part of an attestation, under the same conditions as towards others. */
	mayAttest(): boolean {
		return this.#mayAttest(this.#view, this.#options.freshness.currentProof());
	}

	#forgetAtMs(): number {
		return this.#options.clock.nowMs() + announcementTimeoutMs;
	}

	#settledAtMs(): number {
		return this.#options.clock.nowMs() + (this.#options.witnessSettleMs ?? witnessSettleMs);
	}

	#relay(evidence: FreshnessProof): FreshnessAnswer {
		const {freshness} = this.#options;
		return {
			kind: 'evidence',
			basis: evidence.basis,
			ageMs: freshness.ageMs(evidence),
			version: evidence.version,
		};
	}

	#mayAttest(view: string, evidence: FreshnessProof | undefined): boolean {
		return this.#checkSettled(evidence)
			&& view === this.#view
			&& this.#options.isStoreUnreachable()
			&& !this.#hasPending();
	}

	/** Rule `pending` of models/freshness.pml: no attestation while a publication may be under way. */
	#hasPending(): boolean {
		const nowMs = this.#options.clock.nowMs();
		for (const [announceId, {version, forgetAtMs}] of this.#pending) {
			if (version <= this.#options.localVersion()) {
				this.#pending.delete(announceId);
			} else if (nowMs > forgetAtMs) {
				this.#pending.delete(announceId);
				this.#forgotten += 1;
			}
		}

		return this.#pending.size > 0;
	}

	/**
	 * Rule `settled` of models/freshness.pml: after a restart or joining, evidence that does not rest on this witness comes
	 * first. Rule `dated` of models/freshness.pml: evidence of an earlier date, for instance relayed by a peer, does not do.
	 */
	#checkSettled(evidence: FreshnessProof | undefined): boolean {
		if (this.#attestsFromMs === Number.NEGATIVE_INFINITY) {
			return true;
		}

		if (evidence && evidence.atMs >= this.#attestsFromMs) {
			this.#attestsFromMs = Number.NEGATIVE_INFINITY;
			return true;
		}

		return false;
	}
}
