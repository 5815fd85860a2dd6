/**
 * Proofs that this entry's active configuration is recent enough to admit requests that need a key. An entry alone cannot
 * distinguish a store outage from a partition that affects only itself. A proof is therefore either a read of the store's
 * head (by this entry or by a peer) or an attestation by the witnesses of the whole fleet that none of them reaches the store.
 */
import type {Clock} from './clock.js';

/** Validity of a read. It is below 5 s, the longest time for which a withdrawn key may still be accepted. */
export const readValidityMs = 4000;

/** Validity of an attestation, counted from before the first request to a witness was sent. */
export const attestationValidityMs = 2000;

/** How a proof was obtained. An attestation is valid for a shorter time than a read. */
export type FreshnessProofBasis = 'read' | 'attestation';

/** Proves that no version above `version` had been accepted at `atMs`, by this host's clock. */
export type FreshnessProof = {
	readonly basis: FreshnessProofBasis;
	readonly atMs: number;
	readonly version: number;
};

export type FreshnessTrackerOptions = {
	readonly clock: Clock;
	/** Version of this entry's active configuration. */
	readonly localVersion: () => number;
	readonly readValidityMs?: number;
	readonly attestationValidityMs?: number;
};

// Proofs for versions that this entry has not yet installed. Newer proofs supersede the oldest ones long before those are dropped.
const maxPendingProofs = 8;

/** Records proofs of freshness and finds the one that is valid for the longest time. */
export class FreshnessTracker {
	readonly #options: FreshnessTrackerOptions;
	#bestProof: FreshnessProof | undefined;
	#pendingProofs: FreshnessProof[] = [];

	constructor(options: FreshnessTrackerOptions) {
		this.#options = options;
	}

	/** Records this entry's own read of the head; `sentAtMs` is before the request was sent. */
	recordRead(sentAtMs: number, version: number): void {
		this.#record({basis: 'read', atMs: sentAtMs, version});
	}

	/** Records a peer's proof. The peer measured its age after `sentAtMs`, so the computed date is never too late. */
	recordRelayedProof(sentAtMs: number, proof: {readonly basis: FreshnessProofBasis; readonly ageMs: number; readonly version: number}): void {
		this.#record({basis: proof.basis, atMs: sentAtMs - proof.ageMs, version: proof.version});
	}

	/** Records an attestation by a majority of every witness group; `sentAtMs` is before the first request was sent. */
	recordAttestation(sentAtMs: number, version: number): void {
		this.#record({basis: 'attestation', atMs: sentAtMs, version});
	}

	/** The proof with the latest expiry among those whose version this entry has installed; undefined if it has expired. */
	currentProof(): FreshnessProof | undefined {
		this.#selectBestProof();
		return this.#bestProof && this.remainingMs(this.#bestProof) >= 0 ? this.#bestProof : undefined;
	}

	/** Rule `freshness` of models/freshness.pml: requests with a key are admitted only while there is a valid proof. */
	hasValidProof(): boolean {
		return this.currentProof() !== undefined;
	}

	/** Age of a proof, as it is relayed to a peer. */
	ageMs(proof: FreshnessProof): number {
		return Math.max(0, this.#options.clock.nowMs() - proof.atMs);
	}

	/** Time for which a proof stays valid; negative after it has expired. */
	remainingMs({basis, atMs}: FreshnessProof): number {
		const limitMs = basis === 'read'
			? this.#options.readValidityMs ?? readValidityMs
			: this.#options.attestationValidityMs ?? attestationValidityMs;
		return atMs + limitMs - this.#options.clock.nowMs();
	}

	#record(proof: FreshnessProof): void {
		this.#pendingProofs.push(proof);
		if (this.#pendingProofs.length > maxPendingProofs) {
			this.#pendingProofs.shift();
		}

		this.#selectBestProof();
	}

	/** Considers pending proofs whose version this entry has installed, and removes them from the pending list. */
	#selectBestProof(): void {
		const localVersion = this.#options.localVersion();
		for (const proof of this.#pendingProofs) {
			if (proof.version <= localVersion && this.#outlastsBestProof(proof)) {
				this.#bestProof = proof;
			}
		}

		this.#pendingProofs = this.#pendingProofs.filter(proof => proof.version > localVersion);
	}

	#outlastsBestProof(proof: FreshnessProof): boolean {
		return this.#bestProof === undefined || this.remainingMs(proof) > this.remainingMs(this.#bestProof);
	}
}
