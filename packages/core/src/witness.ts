/**
 * An entry as a witness of configuration publications. A writer announces each publication to the witnesses before it writes
 * to the store. A witness attests a store outage only while no announced publication is pending, because other entries
 * go on admitting keyed requests with their current configuration on this attestation.
 */
import type {FreshnessAnswer} from '@hawthorncleat/schema';
import type {Clock} from './clock.js';
import type {FreshnessProof, FreshnessTracker} from './freshness.js';

/**
 * Rule `limit` of models/freshness.pml: a witness presumes a writer dead that has reported no outcome within this time, and
 * drops its announcement. Once the writer has reported the write, the announcement is retained until this entry has installed
 * the version, however long that takes.
 */
export const announcementTimeoutMs = 30_000;

/**
 * Settling period of a witness. Rule `settle-time` of models/freshness.pml: an entry that has started or has become a witness
 * attests only after a freshness proof with a date at least this much later. By then all writers of that time have finished,
 * also those with an older host list. New entries wait as well, because an entry cannot detect whether it is new or restarted.
 */
export const witnessSettleMs = 60_000;

export type WitnessOptions = {
	readonly clock: Clock;
	readonly incarnation: string;
	readonly localVersion: () => number;
	readonly freshness: FreshnessTracker;
	/** Whether the last read of the store's head failed. */
	readonly isStoreUnreachable: () => boolean;
	readonly witnessSettleMs?: number;
};

type Announcement = {readonly version: number; readonly expiresAtMs: number};

/** Reply to a writer's announcement; `noted` is whether the witness recorded it. */
export type AnnouncementReply = {readonly noted: boolean; readonly incarnation: string};

/** State of one witness. It is lost on restart, which writers detect by the changed incarnation. */
export class Witness {
	readonly #options: WitnessOptions;
	readonly #pendingAnnouncements = new Map<string, Announcement>();
	#expiredCount = 0;
	#view = '';
	/** The witness attests once a freshness proof has this date or a later one; negative infinity after that. */
	#minProofDateMs: number;

	constructor(options: WitnessOptions) {
		this.#options = options;
		this.#minProofDateMs = this.#settlingEndsAtMs();
	}

	get incarnation(): string {
		return `${this.#options.incarnation}.${this.#expiredCount}`;
	}

	/** Sets the list of witnesses. `mustSettle` is whether an announcement by an older list may not have reached this witness. */
	setView(view: string, mustSettle: boolean): void {
		if (mustSettle) {
			this.#minProofDateMs = this.#settlingEndsAtMs();
		}

		this.#view = view;
	}

	/** Records an announcement. Rule `announce` of models/freshness.pml: a writer announces to a majority before it writes. */
	announce(announceId: string, version: number, view: string): AnnouncementReply {
		const noted = view === this.#view;
		if (noted) {
			this.#pendingAnnouncements.set(announceId, {version, expiresAtMs: this.#announcementExpiresAtMs()});
		}

		return {noted, incarnation: this.incarnation};
	}

	/** Records the outcome that the writer reports. An announcement stays pending until this entry has installed its version or the writer has abandoned it. */
	finish(announceId: string, outcome: 'accepted' | 'abandoned' | 'unknown', version: number): void {
		if (outcome === 'abandoned') {
			this.#pendingAnnouncements.delete(announceId);
			return;
		}

		const expiresAtMs = outcome === 'accepted' ? Number.POSITIVE_INFINITY : this.#announcementExpiresAtMs();
		this.#pendingAnnouncements.set(announceId, {version, expiresAtMs});
	}

	/**
	 * Answers another entry's request for a freshness proof. An outage is attested even while an older read is still valid,
	 * so that the other entries have an attestation before that read expires.
	 */
	answer(view: string): FreshnessAnswer {
		const proof = this.#options.freshness.currentProof();
		if (this.#mayAttestView(view, proof)) {
			return {kind: 'unreachable', version: this.#options.localVersion()};
		}

		return proof ? this.#createRelayAnswer(proof) : {kind: 'none'};
	}

	/** Whether the settling period has ended. Until then this witness attests no outage. */
	get isSettled(): boolean {
		return this.#updateSettled(this.#options.freshness.currentProof());
	}

	/** Whether this witness attests an outage in a round of its own entry, under the same conditions as for other entries. */
	mayAttest(): boolean {
		return this.#mayAttestView(this.#view, this.#options.freshness.currentProof());
	}

	#announcementExpiresAtMs(): number {
		return this.#options.clock.nowMs() + announcementTimeoutMs;
	}

	#settlingEndsAtMs(): number {
		return this.#options.clock.nowMs() + (this.#options.witnessSettleMs ?? witnessSettleMs);
	}

	#createRelayAnswer(proof: FreshnessProof): FreshnessAnswer {
		const {freshness} = this.#options;
		return {
			kind: 'evidence',
			basis: proof.basis,
			ageMs: freshness.ageMs(proof),
			version: proof.version,
		};
	}

	#mayAttestView(view: string, proof: FreshnessProof | undefined): boolean {
		return this.#updateSettled(proof)
			&& view === this.#view
			&& this.#options.isStoreUnreachable()
			&& !this.#hasPendingAnnouncement();
	}

	/** Rule `pending` of models/freshness.pml: no attestation while a publication may be in progress. */
	#hasPendingAnnouncement(): boolean {
		const nowMs = this.#options.clock.nowMs();
		for (const [announceId, {version, expiresAtMs}] of this.#pendingAnnouncements) {
			if (version <= this.#options.localVersion()) {
				this.#pendingAnnouncements.delete(announceId);
			} else if (nowMs > expiresAtMs) {
				this.#pendingAnnouncements.delete(announceId);
				this.#expiredCount += 1;
			}
		}

		return this.#pendingAnnouncements.size > 0;
	}

	/**
	 * Ends the settling period if the proof allows it. Rule `settled` of models/freshness.pml: after it has started or joined,
	 * a witness first needs a proof to which it did not contribute. Rule `dated` of models/freshness.pml: a proof with an
	 * earlier date, for instance one relayed by a peer, is not enough.
	 */
	#updateSettled(proof: FreshnessProof | undefined): boolean {
		if (this.#minProofDateMs === Number.NEGATIVE_INFINITY) {
			return true;
		}

		if (proof && proof.atMs >= this.#minProofDateMs) {
			this.#minProofDateMs = Number.NEGATIVE_INFINITY;
			return true;
		}

		return false;
	}
}
