/**
 * Evidence that the configuration in force at this entry is recent enough to admit requests that need a key. A daemon
 * cannot tell by itself whether the store is down for all or only out of its own reach, so evidence is either a read of
 * the head (its own or a peer's) or an attestation by the witnesses of the whole fleet that none of them reaches it.
 */
import type {Clock} from './clock.js';

/** Oldest evidence on which a keyed request is admitted; below the 5 s bound for withdrawn keys. */
export const freshnessLimitMs = 4000;

/** Validity of an attestation, counted from before the first witness was asked. */
export const attestationMs = 2000;

/** What the evidence rests on. An attestation is valid for a shorter time. */
export type FreshnessProofBasis = 'read' | 'attestation';

/** At `atMs` of this host's clock no version above `version` had been accepted. */
export type FreshnessProof = {
	readonly basis: FreshnessProofBasis;
	readonly atMs: number;
	readonly version: number;
};

export type FreshnessTrackerOptions = {
	readonly clock: Clock;
	/** Version of the configuration in force at this entry. */
	readonly localVersion: () => number;
	readonly freshnessLimitMs?: number;
	readonly attestationMs?: number;
};

// Evidence for versions that are still on their way; older ones are superseded long before.
const maxWaiting = 8;

/** Collects evidence and tells whether it still suffices. */
export class FreshnessTracker {
	readonly #options: FreshnessTrackerOptions;
	#best: FreshnessProof | undefined;
	#waiting: FreshnessProof[] = [];

	constructor(options: FreshnessTrackerOptions) {
		this.#options = options;
	}

	/** Own read of the head, dated before the request left. */
	recordRead(sentAtMs: number, version: number): void {
		this.#note({basis: 'read', atMs: sentAtMs, version});
	}

	/** Evidence of a peer; its age was taken after our question left, so the date errs on the old side. */
	recordRelayedProof(sentAtMs: number, relay: {readonly basis: FreshnessProofBasis; readonly ageMs: number; readonly version: number}): void {
		this.#note({basis: relay.basis, atMs: sentAtMs - relay.ageMs, version: relay.version});
	}

	/** Attestation by a majority of every witness group, dated before the first question left. */
	recordAttestation(sentAtMs: number, version: number): void {
		this.#note({basis: 'attestation', atMs: sentAtMs, version});
	}

	/** The evidence that lasts longest and whose version is in force here, if it is still valid. */
	currentProof(): FreshnessProof | undefined {
		this.#promote();
		return this.#best && this.remainingMs(this.#best) >= 0 ? this.#best : undefined;
	}

	/** Rule `freshness` of models/freshness.pml: keyed requests are admitted only on valid evidence. */
	hasValidProof(): boolean {
		return this.currentProof() !== undefined;
	}

	/** Age of the current evidence, to be relayed to a peer. */
	ageMs(evidence: FreshnessProof): number {
		return Math.max(0, this.#options.clock.nowMs() - evidence.atMs);
	}

	/** Time for which the evidence stays valid; negative when it has expired. */
	remainingMs({basis, atMs}: FreshnessProof): number {
		const limitMs = basis === 'read'
			? this.#options.freshnessLimitMs ?? freshnessLimitMs
			: this.#options.attestationMs ?? attestationMs;
		return atMs + limitMs - this.#options.clock.nowMs();
	}

	#note(evidence: FreshnessProof): void {
		this.#waiting.push(evidence);
		if (this.#waiting.length > maxWaiting) {
			this.#waiting.shift();
		}

		this.#promote();
	}

	/** Moves evidence into force once its version is. */
	#promote(): void {
		const localVersion = this.#options.localVersion();
		for (const evidence of this.#waiting) {
			if (evidence.version <= localVersion && this.#lastsLonger(evidence)) {
				this.#best = evidence;
			}
		}

		this.#waiting = this.#waiting.filter(evidence => evidence.version > localVersion);
	}

	#lastsLonger(evidence: FreshnessProof): boolean {
		return this.#best === undefined || this.remainingMs(evidence) > this.remainingMs(this.#best);
	}
}
