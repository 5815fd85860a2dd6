/**
 * The platform's list of hosts. Readers see it as it was `lagMs` ago.
 */
import {performance} from 'node:perf_hooks';
import type {HostList, HostRecord} from '@hawthorncleat/schema';

type HostChange = {readonly atMs: number; readonly hostId: string; readonly record?: HostRecord; readonly dataCentre: string};

/** Hosts with their changes over time. */
export class HostDirectory {
	readonly #changes: HostChange[] = [];
	readonly #current = new Map<string, HostRecord>();

	constructor(hosts: readonly HostRecord[]) {
		for (const host of hosts) {
			// Hosts known from the start are visible whatever the lag.
			this.#apply(host.hostId, host, Number.NEGATIVE_INFINITY);
		}
	}

	put(record: HostRecord): void {
		this.#apply(record.hostId, record, performance.now());
	}

	remove(hostId: string): void {
		this.#apply(hostId, undefined, performance.now());
	}

	/** The list that a reader sees. The version rises with each change of the data centre asked for. */
	list(dataCentre: string | undefined, lagMs: number): HostList {
		const visibleUntilMs = performance.now() - lagMs;
		const hosts = new Map<string, HostRecord>();
		let version = 0;
		for (const [index, change] of this.#changes.entries()) {
			if (change.atMs > visibleUntilMs || (dataCentre !== undefined && change.dataCentre !== dataCentre)) {
				continue;
			}

			version = index + 1;
			if (change.record) {
				hosts.set(change.hostId, change.record);
			} else {
				hosts.delete(change.hostId);
			}
		}

		return {version, hosts: [...hosts.values()]};
	}

	#apply(hostId: string, record: HostRecord | undefined, atMs: number): void {
		const previous = this.#current.get(hostId);
		if (previous && previous.dataCentre !== record?.dataCentre) {
			this.#changes.push({atMs, hostId, dataCentre: previous.dataCentre});
			this.#current.delete(hostId);
		}

		if (record) {
			this.#changes.push({
				atMs, hostId, record, dataCentre: record.dataCentre,
			});
			this.#current.set(hostId, record);
		}
	}
}
