/**
 * Connections to other entries: to some of the region, over which crash marks are passed on, and to all witnesses.
 */
import {chooseByRendezvous} from '@hawthorncleat/core';
import type {HostRecord} from '@hawthorncleat/schema';
import type {Handlers, Peer} from '@hawthorncleat/wire';
import {KeptConnection, type ConnectionOptions} from './kept-connection.js';

/** Bounds the connections of one entry in a large region. */
const maxEntryPeers = 32;

type Self = {readonly entryId: string; readonly address: string; readonly port: number};

/** Keeps one connection to each chosen entry. */
export class EntryPeers {
	readonly #self: Self;
	readonly #handlers: Handlers<Peer>;
	readonly #options: ConnectionOptions;
	readonly #connections = new Map<string, KeptConnection>();
	readonly #closing = new Set<Promise<void>>();

	constructor(self: Self, handlers: Handlers<Peer>, options: ConnectionOptions) {
		this.#self = self;
		this.#handlers = handlers;
		this.#options = options;
	}

	/** The open connections by the host's id. */
	get peers(): ReadonlyMap<string, Peer> {
		const open = new Map<string, Peer>();
		for (const [key, connection] of this.#connections) {
			if (connection.peer) {
				open.set((JSON.parse(key) as [string])[0], connection.peer);
			}
		}

		return open;
	}

	/** Follows the host list. Connections to the required entries come on top of the chosen ones. */
	update(hosts: readonly HostRecord[], required: ReadonlySet<string> = new Set()): void {
		const {entryId, address, port} = this.#self;
		const others = hosts.filter(host => host.kind === 'entry' && host.hostId !== entryId
			&& !(host.address === address && host.port === port));
		const chosen = chooseByRendezvous(entryId, others, maxEntryPeers, host => host.hostId);
		const needed = others.filter(host => required.has(host.hostId));
		const wanted = new Map([...chosen, ...needed].map(host => [JSON.stringify([host.hostId, host.address, host.port]), host]));
		for (const [key, host] of wanted) {
			if (!this.#connections.has(key)) {
				this.#connections.set(key, this.#connect(host));
			}
		}

		for (const [key, connection] of this.#connections) {
			if (!wanted.has(key)) {
				this.#connections.delete(key);
				this.#close(connection);
			}
		}
	}

	/** Passes marks on. A fingerprint is listed as often as it is marked, so that the other side need not add. */
	sendSuspects(fingerprints: readonly string[]): void {
		for (const {peer} of this.#connections.values()) {
			peer?.notify('crash.suspect', {fingerprints: [...fingerprints]});
		}
	}

	async close(): Promise<void> {
		for (const connection of this.#connections.values()) {
			this.#close(connection);
		}

		this.#connections.clear();
		await Promise.all(this.#closing);
	}

	#connect({address, port}: HostRecord): KeptConnection {
		return new KeptConnection({
			address, port, role: 'entry', handlers: this.#handlers,
		}, this.#options);
	}

	#close(connection: KeptConnection): void {
		const closing = connection.close().finally(() => {
			this.#closing.delete(closing);
		});
		this.#closing.add(closing);
	}
}
