/**
 * Sends load reports to the connected entries, at most one a second for each, and at once on a change of role or when
 * the agent begins to leave.
 */
import type {LoadReport} from '@hawthorncleat/schema';
import type {Peer} from '@hawthorncleat/wire';

const reportIntervalMs = 1000;

/** A report without its sequence number. */
export type LoadSnapshot = Omit<LoadReport, 'sequence'>;

/** The reports of one agent. */
export class LoadReporter {
	#sequence = 0;
	/** Connections that got their first report since the last regular one. */
	readonly #fresh = new Set<Peer>();
	readonly #timer: NodeJS.Timeout;

	constructor(private readonly read: () => LoadSnapshot, private readonly peers: () => Iterable<Peer>) {
		this.#timer = setInterval(() => {
			this.#reportRegularly();
		}, reportIntervalMs);
	}

	/** Sends a report on one connection that has just opened. */
	reportTo(peer: Peer): void {
		this.#fresh.add(peer);
		this.#sequence += 1;
		peer.notify('load.report', {sequence: this.#sequence, ...this.read()});
	}

	/** Sends one report on all connections. */
	reportAll(): void {
		this.#report(this.peers());
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#reportRegularly(): void {
		this.#report([...this.peers()].filter(peer => !this.#fresh.has(peer)));
		this.#fresh.clear();
	}

	#report(peers: Iterable<Peer>): void {
		this.#sequence += 1;
		const report = {sequence: this.#sequence, ...this.read()};
		for (const peer of peers) {
			peer.notify('load.report', report);
		}
	}
}
