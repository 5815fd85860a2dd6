/**
 * Holds the active configuration: the newest version received from the store or from another entry. An older version never
 * replaces it.
 */
import {RouteTable, type Clock} from '@hawthorncleat/core';
import type {DecisionLog} from '../telemetry/decision-log.js';
import type {Peer} from '../peers/peer-group.js';
import type {Membership} from '../peers/membership.js';
import type {ForwardMetrics} from '../telemetry/metrics.js';
import type {Address, Platform} from '../ports.js';
import {fetchConfig} from './config-transfer.js';

/** A peer that could not deliver a version is not asked again for this time. */
const peerRetryMs = 1000;

/** A peer with the address at which it serves its configuration. */
type ConfigPeer = Address & {readonly name: string};

export type ActiveConfigOptions = {
	readonly clock: Clock;
	readonly random: () => number;
	readonly readConfig: Platform['readConfig'];
	readonly members: Membership;
	/** Whether the store answers calls for the configuration. */
	readonly isStoreAvailable: () => boolean;
	/**
	 * For this time after a peer has told of a newer version, a store that answers is left to deliver it, because a second transfer would slow down the
	 * first. An entry without a configuration asks at once, since a peer sends it compressed.
	 */
	readonly storeDeliveryMs: number;
	readonly log: DecisionLog;
	readonly metrics: ForwardMetrics;
};

export class ActiveConfig {
	readonly #options: ActiveConfigOptions;
	#routes: RouteTable | undefined;
	#text = '';
	#isFetching = false;
	/** Peers that have told of a newer version than the active one, with that version. */
	readonly #newerPeers = new Map<string, number>();
	/** When a peer told of a newer version for the first time since the last one was applied. */
	#behindSinceMs: number | undefined;
	/** Until when each peer that could not deliver is not asked again. */
	readonly #retryTimes = new Map<string, number>();

	constructor(options: ActiveConfigOptions) {
		this.#options = options;
	}

	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	/** 0 before the first configuration. */
	get version(): number {
		return this.#routes?.config.version ?? 0;
	}

	/** The text that the operator wrote. Entries that cannot reach the store fetch it from this one. */
	get text(): string {
		return this.#text;
	}

	apply(text: string | undefined, source: string): void {
		if (text === undefined) {
			return;
		}

		const config = this.#options.readConfig(text);
		if (!config) {
			this.#options.log.writeError(`reading a configuration from ${source}`, new Error('it is damaged'));
			return;
		}

		if (config.version <= this.version) {
			return;
		}

		const previous = this.#routes?.config.version;
		this.#routes = new RouteTable(config);
		this.#text = text;
		this.#dropPeersUpTo(config.version);
		this.#retryTimes.clear();
		this.#options.metrics.setConfigVersion(config.version);
		this.#options.log.write('config', {
			version: config.version, previous, source, routes: config.routes.length, accounts: config.accounts.length, limits: config.limits,
		});
	}

	/** Records the version of a peer, so that this entry gets a newer one without the store, too. */
	recordPeerVersion({name}: Peer, version: number): void {
		if (version <= this.version) {
			this.#forgetPeer(name);
			return;
		}

		this.#behindSinceMs ??= this.#options.clock.nowMs();
		this.#newerPeers.set(name, version);
		this.fetchIfDue();
	}

	/**
	 * Asks a peer for a newer version when the store's time to deliver it is over. To be called regularly, because a quiet peer tells of its version
	 * only once a second.
	 */
	fetchIfDue(): void {
		if (this.#isFetching || !this.#isDue) {
			return;
		}

		const peer = this.#choosePeer();
		if (peer) {
			this.#isFetching = true;
			void this.#fetch(peer);
		}
	}

	/** Keeps only peers that are newer than the version just applied; the store gets its time again to deliver theirs. */
	#dropPeersUpTo(version: number): void {
		for (const [name, peerVersion] of this.#newerPeers) {
			if (peerVersion <= version) {
				this.#newerPeers.delete(name);
			}
		}

		this.#behindSinceMs = this.#newerPeers.size === 0 ? undefined : this.#options.clock.nowMs();
	}

	get #isDue(): boolean {
		const {clock, isStoreAvailable, storeDeliveryMs} = this.#options;
		if (this.#behindSinceMs === undefined) {
			return false;
		}

		return this.version === 0 || !isStoreAvailable() || clock.nowMs() - this.#behindSinceMs >= storeDeliveryMs;
	}

	/** One of the peers that have a newer version, at random, so that a fleet that is behind does not ask the same one. */
	#choosePeer(): ConfigPeer | undefined {
		const {clock, random, members} = this.#options;
		const nowMs = clock.nowMs();
		const peers = [...this.#newerPeers.keys()].flatMap(name => {
			const member = members.member(name);
			const mayAsk = nowMs >= (this.#retryTimes.get(name) ?? Number.NEGATIVE_INFINITY);
			return member && mayAsk ? [{name, address: member.address, port: member.peerPort}] : [];
		});
		return peers[Math.floor(random() * peers.length)];
	}

	/** Does not ask a peer that could not deliver its version until it tells of it again, and not for a while. */
	#deferPeer(name: string): void {
		this.#retryTimes.set(name, this.#options.clock.nowMs() + peerRetryMs);
		this.#newerPeers.delete(name);
	}

	/** A peer that started again may have an older version than before. */
	#forgetPeer(name: string): void {
		if (this.#newerPeers.delete(name) && this.#newerPeers.size === 0) {
			this.#behindSinceMs = undefined;
		}
	}

	async #fetch(peer: ConfigPeer): Promise<void> {
		try {
			const {text, bytes} = await fetchConfig(peer);
			this.#options.metrics.countControlTransfer({purpose: 'peer-config', direction: 'in', bytes});
			this.apply(text, peer.name);
			if (this.#newerPeers.has(peer.name)) {
				// The peer has started again since it told of its version.
				this.#deferPeer(peer.name);
			}
		} catch (error) {
			this.#options.metrics.countFailedControlTransfer('peer-config');
			this.#deferPeer(peer.name);
			this.#options.log.writeError(`reading the configuration of ${peer.name}`, error);
		} finally {
			this.#isFetching = false;
		}
	}
}
