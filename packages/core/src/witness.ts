/**
 * The part of an entry as a witness: it notes publications that are about to be written and attests an outage of the
 * store only while none is pending. Rules are named as in `models/freshness.pml`.
 */
import type {FreshnessAnswer} from '@hawthorncleat/schema';
import type {Clock} from './clock.js';
import {attestationMs, type Evidence, type Freshness} from './freshness.js';

/** A writer that has not finished by then has died; forgetting it changes the incarnation, so it cannot count on it. */
export const announcementLimitMs = 30_000;

/**
 * An entry that has started or has become a witness attests only on evidence dated this much later, when writers with
 * an older host list have finished. A new host and a restarted one cannot be told apart from inside.
 */
export const witnessSettleMs = 60_000;

export type WitnessOptions = {
	readonly clock: Clock;
	readonly incarnation: string;
	readonly localVersion: () => number;
	readonly freshness: Freshness;
	/** True while the last read of the head failed. */
	readonly isStoreUnreachable: () => boolean;
	readonly witnessSettleMs?: number;
};

type Announcement = {readonly version: number; readonly notedAtMs: number};

/** What a writer learns about this witness. */
export type Noted = {readonly noted: boolean; readonly incarnation: string};

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

	/** Takes over a new list of witnesses; `joined` says that this entry was not on the list that it knew before. */
	setView(view: string, joined: boolean): void {
		if (joined) {
			this.#attestsFromMs = this.#settledAtMs();
		}

		this.#view = view;
	}

	/** Rule `announce`: a writer announces to a majority before it writes. */
	announce(announceId: string, version: number, view: string): Noted {
		const noted = view === this.#view;
		if (noted) {
			this.#pending.set(announceId, {version, notedAtMs: this.#options.clock.nowMs()});
		}

		return {noted, incarnation: this.incarnation};
	}

	/** The writer's outcome. An announcement stays pending until its version is in force here, or it was abandoned. */
	finish(announceId: string, outcome: 'accepted' | 'abandoned' | 'unknown', version: number): void {
		if (outcome === 'abandoned') {
			this.#pending.delete(announceId);
			return;
		}

		this.#pending.set(announceId, {version, notedAtMs: this.#options.clock.nowMs()});
	}

	/** Answer to another entry's question for evidence. */
	answer(view: string): FreshnessAnswer {
		const {freshness} = this.#options;
		const evidence = freshness.current();
		// An attestation lasts longer than a read that is older than this, so that there is no gap when the store goes down.
		if (evidence?.basis === 'read' && freshness.remainingMs(evidence) > attestationMs) {
			return this.#relay(evidence);
		}

		if (this.#mayAttest(view, evidence)) {
			return {kind: 'unreachable', version: this.#options.localVersion()};
		}

		return evidence ? this.#relay(evidence) : {kind: 'none'};
	}

	/** Own part of an attestation, under the same conditions as towards others. */
	attests(): boolean {
		return this.#mayAttest(this.#view, this.#options.freshness.current());
	}

	#settledAtMs(): number {
		return this.#options.clock.nowMs() + (this.#options.witnessSettleMs ?? witnessSettleMs);
	}

	#relay(evidence: Evidence): FreshnessAnswer {
		const {freshness} = this.#options;
		return {
			kind: 'evidence',
			basis: evidence.basis,
			ageMs: freshness.ageMs(evidence),
			version: evidence.version,
		};
	}

	#mayAttest(view: string, evidence: Evidence | undefined): boolean {
		return view === this.#view
			&& this.#options.isStoreUnreachable()
			&& !this.#hasPending()
			&& this.#isSettled(evidence);
	}

	/** Rule `pending`: no attestation while a publication may be under way. */
	#hasPending(): boolean {
		const nowMs = this.#options.clock.nowMs();
		for (const [announceId, {version, notedAtMs}] of this.#pending) {
			if (version <= this.#options.localVersion()) {
				this.#pending.delete(announceId);
			} else if (nowMs - notedAtMs > announcementLimitMs) {
				this.#pending.delete(announceId);
				this.#forgotten += 1;
			}
		}

		return this.#pending.size > 0;
	}

	/** Rule `settled`: after a restart or joining, evidence that does not rest on this witness comes first. */
	#isSettled(evidence: Evidence | undefined): boolean {
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
