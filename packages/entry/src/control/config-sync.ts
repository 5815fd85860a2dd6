/**
 * Brings the configuration in force up to the version that others have, from the store or, while that is out of reach,
 * from another entry.
 */
import type {ConfigUpdate, ActiveConfig} from '@hawthorncleat/core';
import type {ConfigStore} from '@hawthorncleat/store';
import {
	validate, validators, type ConfigSinceResult, type Delta, type Snapshot,
} from '@hawthorncleat/schema';
import type {Peer} from '@hawthorncleat/wire';

const peerTimeoutMs = 2000;

export type ConfigSyncOptions = {
	readonly inForce: ActiveConfig;
	readonly store: ConfigStore;
	readonly peers: () => ReadonlyMap<string, Peer>;
};

const readUpdate = (result: ConfigSinceResult): ConfigUpdate => {
	const deltas = (result.deltas ?? []) as unknown[];
	if (!deltas.every(delta => validate(validators.validateDelta, delta).ok)) {
		throw new Error('a peer sent a delta that does not match the schema');
	}

	if (result.snapshot && !validate(validators.validateSnapshot, result.snapshot).ok) {
		throw new Error('a peer sent a snapshot that does not match the schema');
	}

	return {deltas: deltas as Delta[], snapshot: result.snapshot as Snapshot | undefined};
};

/** Asks for the further parts of a snapshot. A version that changes meanwhile ends the attempt. */
const fetchWhole = async (peer: Peer, first: ConfigSinceResult): Promise<ConfigSinceResult> => {
	const objects: Array<Record<string, unknown>> = [];
	let part = first;
	for (;;) {
		objects.push(...(part.snapshot?.objects ?? []) as Array<Record<string, unknown>>);
		if (part.nextOffset === undefined) {
			return first.snapshot ? {...first, snapshot: {...first.snapshot, objects}} : first;
		}

		part = await peer.call('config.since', {version: 0, offset: part.nextOffset}, {timeoutMs: peerTimeoutMs});
		if (part.version !== first.version) {
			throw new Error('the peer has a newer version than at the first part');
		}
	}
};

/** Installs newer versions. One read of the store and one question to each peer run at a time. */
export class ConfigSync {
	readonly #options: ConfigSyncOptions;
	#fetching: Promise<void> | undefined;
	readonly #askedPeers = new Set<Peer>();

	constructor(options: ConfigSyncOptions) {
		this.#options = options;
	}

	/** Tries to reach at least `version`. */
	async catchUp(version: number): Promise<void> {
		if (version <= this.#localVersion) {
			return;
		}

		this.#fetching ??= this.#fetch().finally(() => {
			this.#fetching = undefined;
		});
		await this.#fetching;
		if (this.#localVersion < version) {
			await this.askPeers();
		}
	}

	/**
	 * Takes the newest version of any peer, for a start while the store is down. A peer that has not answered the last
	 * question yet is left out: one silent peer would otherwise keep the others from being asked until its time is up.
	 */
	async askPeers(): Promise<void> {
		const peers = [...this.#options.peers().values()].filter(peer => !this.#askedPeers.has(peer));
		await Promise.all(peers.map(async peer => {
			this.#askedPeers.add(peer);
			await this.#askPeer(peer);
			this.#askedPeers.delete(peer);
		}));
	}

	get #localVersion(): number {
		return this.#options.inForce.view().version;
	}

	async #fetch(): Promise<void> {
		try {
			this.#options.inForce.install(await this.#options.store.fetchSince(this.#localVersion));
		} catch {
			// The store is out of reach or lags; the peers may have what is missing.
		}
	}

	async #askPeer(peer: Peer): Promise<void> {
		try {
			const result = await peer.call('config.since', {version: this.#localVersion}, {timeoutMs: peerTimeoutMs});
			if (result.version > this.#localVersion) {
				this.#options.inForce.install(readUpdate(await fetchWhole(peer, result)));
			}
		} catch {
			// Another peer or the next round brings it.
		}
	}
}
