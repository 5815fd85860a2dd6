/**
 * The platform's list of hosts. It keeps all changes with their times, so that a reader can be shown the list as it was
 * `lagMs` ago.
 */
import {performance} from 'node:perf_hooks';
import type {HostList, HostRecord} from '@hawthorncleat/schema';

type HostChange = {readonly atMs: number; readonly hostId: string; readonly record?: HostRecord; readonly dataCentre: string};

export class HostDirectory {
	readonly #changes: HostChange[] = [];
	readonly #currentRecords = new Map<string, HostRecord>();

	constructor(hosts: readonly HostRecord[]) {
		for (const host of hosts) {
			// Initial hosts are visible at once, whatever the lag.
			this.#recordChange(host.hostId, host, Number.NEGATIVE_INFINITY);
		}
	}

	put(record: HostRecord): void {
		this.#recordChange(record.hostId, record, performance.now());
	}

	remove(hostId: string): void {
		this.#recordChange(hostId, undefined, performance.now());
	}

	/** Returns the hosts of one or all data centres as they were `lagMs` ago. The version rises with each change to them. */
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

	#recordChange(hostId: string, record: HostRecord | undefined, atMs: number): void {
		const previous = this.#currentRecords.get(hostId);
		if (previous && previous.dataCentre !== record?.dataCentre) {
			this.#changes.push({atMs, hostId, dataCentre: previous.dataCentre});
			this.#currentRecords.delete(hostId);
		}

		if (record) {
			this.#changes.push({
				atMs, hostId, record, dataCentre: record.dataCentre,
			});
			this.#currentRecords.set(hostId, record);
		}
	}
}
