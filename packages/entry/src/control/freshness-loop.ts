/**
 * Keeps the evidence of freshness up to date: witnesses read the head themselves, other entries ask their witnesses,
 * and while the head cannot be read the witnesses of the whole fleet are asked for an attestation.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	attestationValidityMs, combineFreshnessAnswers, hasWitness, witnessIds, type Clock, type FreshnessTracker, type Witness, type WitnessGroup,
} from '@hawthorncleat/core';
import type {ConfigStore} from '@hawthorncleat/store';
import type {FreshnessAnswer} from '@hawthorncleat/schema';
import type {Peer} from '@hawthorncleat/wire';
import {askWitnesses, type Asker} from './ask-witnesses.js';
import type {ConfigSync} from './config-sync.js';

/** Leaves time for a second round before evidence of 4 s runs out. */
const askTimeoutMs = 700;

export type FreshnessLoopOptions = Asker & {
	readonly clock: Clock;
	readonly pollMs: number;
	readonly freshness: FreshnessTracker;
	readonly witness: Witness;
	/** Its reads must time out well below the limit of freshness. */
	readonly store: ConfigStore;
	readonly sync: ConfigSync;
	readonly groups: () => readonly WitnessGroup[];
	readonly ownGroup: () => WitnessGroup | undefined;
	readonly localVersion: () => number;
};

/** The rounds of one entry. */
export class FreshnessLoop {
	readonly #options: FreshnessLoopOptions;
	#isStoreUnreachable = false;

	constructor(options: FreshnessLoopOptions) {
		this.#options = options;
	}

	/** True while the last read of the head failed. */
	get isStoreUnreachable(): boolean {
		return this.#isStoreUnreachable;
	}

	/** Runs rounds until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([
			this.#repeat(async () => this.readRound(), signal),
			this.#repeat(async () => this.attestRound(), signal),
		]);
	}

	/**
	 * Gets evidence that rests on a read of the head. It does not wait for a newer version to arrive, because a silent
	 * peer would then delay the next round beyond the validity of the evidence.
	 */
	async readRound(): Promise<void> {
		const isRelayed = !this.#isWitness && await this.#askOwnGroup();
		if (!isRelayed) {
			void this.#options.sync.catchUp(await this.#readHead());
		}
	}

	/** Reads the head and the configuration, for a start. */
	async readFirst(): Promise<void> {
		await this.#options.sync.catchUp(await this.#readHead());
	}

	/** Asks for an attestation while the head cannot be read, or when the evidence would not outlast the next rounds. */
	async attestRound(): Promise<void> {
		if (!this.#isStoreUnreachable && this.#hasLastingEvidence()) {
			return;
		}

		const {clock, freshness, sync, groups} = this.#options;
		const sentAtMs = clock.nowMs();
		const current = groups();
		const version = combineFreshnessAnswers(current, await this.#askAll(current));
		if (version !== undefined) {
			freshness.recordAttestation(sentAtMs, version);
			void sync.catchUp(version);
		}
	}

	get #isWitness(): boolean {
		const {ownGroup, entryId} = this.#options;
		const group = ownGroup();
		return !group || hasWitness(group, entryId);
	}

	/** An entry that relies on its witnesses sees the age of their reads before it fails to read the head itself. */
	#hasLastingEvidence(): boolean {
		const {freshness} = this.#options;
		const evidence = freshness.currentProof();
		return evidence !== undefined && freshness.remainingMs(evidence) > attestationValidityMs;
	}

	async #repeat(round: () => Promise<void>, signal: AbortSignal): Promise<void> {
		const {clock, pollMs} = this.#options;
		while (!signal.aborted) {
			const startedAtMs = clock.nowMs();
			await round();
			const restMs = Math.max(0, pollMs - (clock.nowMs() - startedAtMs));
			await sleep(restMs, undefined, {signal}).catch(() => {/* The loop ends. */});
		}
	}

	/** Returns the version of the head, 0 if it cannot be read. */
	async #readHead(): Promise<number> {
		const {clock, store, freshness} = this.#options;
		const sentAtMs = clock.nowMs();
		try {
			const {head} = await store.readHead();
			this.#isStoreUnreachable = false;
			freshness.recordRead(sentAtMs, head.version);
			return head.version;
		} catch {
			this.#isStoreUnreachable = true;
			return 0;
		}
	}

	/** Returns whether a witness of the own group gave evidence that rests on a read. */
	async #askOwnGroup(): Promise<boolean> {
		const group = this.#options.ownGroup();
		if (!group) {
			return false;
		}

		const answers = await this.#askAll([group]);
		return [...answers.values()].some(answer => answer.kind === 'evidence' && answer.basis === 'read');
	}

	async #askAll(groups: readonly WitnessGroup[]): Promise<Map<string, FreshnessAnswer>> {
		const answers = await Promise.all(groups.map(async group => askWitnesses(this.#options, witnessIds([group]), {
			self: () => this.#ownAnswer(),
			peer: async peer => this.#askPeer(peer, group.view),
		})));
		return new Map(answers.flatMap(map => [...map]));
	}

	#ownAnswer(): FreshnessAnswer | undefined {
		const {witness, localVersion} = this.#options;
		return witness.mayAttest() ? {kind: 'unreachable', version: localVersion()} : undefined;
	}

	async #askPeer(peer: Peer, view: string): Promise<FreshnessAnswer> {
		const {clock, localVersion, freshness, sync} = this.#options;
		const sentAtMs = clock.nowMs();
		const answer = await peer.call('freshness.ask', {version: localVersion(), view}, {timeoutMs: askTimeoutMs});
		const {kind, basis, ageMs, version} = answer;
		if (kind === 'evidence' && basis !== undefined && ageMs !== undefined && version !== undefined) {
			freshness.recordRelayedProof(sentAtMs, {basis, ageMs, version});
			void sync.catchUp(version);
		}

		return answer;
	}
}
