/**
 * Sends load reports to the connected entries, at most one a second for each, and at once on a change of role, when the
 * engine begins or ceases to take work, or when the agent begins to leave.
 */
import type {LoadReport} from '@hawthorncleat/schema';
import type {Peer} from '@hawthorncleat/wire';

const reportIntervalMs = 1000;
/**
 * Bytes a second of load reports on all connections of an agent: half of the 19 KB/s that control traffic may use, since
 * heartbeats and requests' answers need the rest.
 */
const reportBytesPerSecond = 9500;
/** Size of a report without its prefixes, with long numbers and the frame of the message. */
const plainReportBytes = 340;
/**
 * Most bytes of prefixes in a report. An entry with 17 connections, as the users of today have, receives at most
 * 17 x (340 + 218) B/s of reports.
 */
const maxPrefixBytes = 218;

/** A report without its sequence number. */
export type LoadSnapshot = Omit<LoadReport, 'sequence'>;

/** Interval and size of reports that keep them within `reportBytesPerSecond` on so many connections. */
export const planReports = (connections: number): {readonly intervalMs: number; readonly prefixBytes: number} => {
	const bytesEach = reportBytesPerSecond / Math.max(1, connections);
	const intervals = Math.max(1, Math.ceil(plainReportBytes / bytesEach));
	const prefixBytes = Math.min(maxPrefixBytes, Math.floor((intervals * bytesEach) - plainReportBytes));
	return {intervalMs: intervals * reportIntervalMs, prefixBytes};
};

/** The reports of one agent. */
export class LoadReporter {
	#sequence = 0;
	/** Connections that got their first report since the last regular one. */
	readonly #fresh = new Set<Peer>();
	readonly #timer: NodeJS.Timeout;

	#intervals = 0;

	constructor(private readonly read: (prefixBytes: number) => LoadSnapshot, private readonly peers: () => Iterable<Peer>) {
		this.#timer = setInterval(() => {
			this.#reportRegularly();
		}, reportIntervalMs);
	}

	/** Sends a report on one connection that has just opened. */
	reportTo(peer: Peer): void {
		this.#fresh.add(peer);
		this.#sequence += 1;
		peer.notify('load.report', {sequence: this.#sequence, ...this.read(this.#plan().prefixBytes)});
	}

	/** Sends one report on all connections. */
	reportAll(): void {
		this.#report(this.peers());
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#plan(): ReturnType<typeof planReports> {
		return planReports([...this.peers()].length);
	}

	#reportRegularly(): void {
		this.#intervals += 1;
		if (this.#intervals * reportIntervalMs < this.#plan().intervalMs) {
			return;
		}

		this.#intervals = 0;
		this.#report([...this.peers()].filter(peer => !this.#fresh.has(peer)));
		this.#fresh.clear();
	}

	#report(peers: Iterable<Peer>): void {
		this.#sequence += 1;
		const report = {sequence: this.#sequence, ...this.read(this.#plan().prefixBytes)};
		for (const peer of peers) {
			peer.notify('load.report', report);
		}
	}
}
