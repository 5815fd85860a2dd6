/**
 * Follows the platform's host list, data centre by data centre. A data centre whose list cannot be read keeps its last
 * one, because connections tell sooner than the list which hosts are gone.
 */
import type {ActiveConfig} from '@hawthorncleat/core';
import type {HostListClient} from '@hawthorncleat/store';
import type {HostList, HostRecord} from '@hawthorncleat/schema';
import {
	normaliseHost, readPlaceNames, touchesNames, type PlaceNames,
} from './place-names.js';

export type HostWatchOptions = {
	readonly client: HostListClient;
	/** The data centre of this entry, read also before there is a configuration. */
	readonly dataCentre: string;
	readonly region: string;
	readonly inForce: Pick<ActiveConfig, 'updateSince' | 'view'>;
	/** Called after each poll that changed the list. */
	readonly onChange: () => void;
};

/** The hosts as last read. */
export class HostWatch {
	readonly #options: HostWatchOptions;
	readonly #lists = new Map<string, HostList>();
	#names: PlaceNames | undefined;
	#namesVersion = -1;
	#namesOfHosts: PlaceNames | undefined;
	#hosts: readonly HostRecord[] = [];

	constructor(options: HostWatchOptions) {
		this.#options = options;
	}

	/** All hosts of the fleet, with canonical names. */
	get all(): readonly HostRecord[] {
		return this.#hosts;
	}

	/** Hosts of this entry's region. */
	get region(): readonly HostRecord[] {
		return this.#hosts.filter(host => this.regionOf(host.dataCentre) === this.#options.region);
	}

	get entries(): readonly HostRecord[] {
		return this.#hosts.filter(host => host.kind === 'entry');
	}

	readonly regionOf = (dataCentre: string): string => {
		const region = this.#currentNames().regions.get(dataCentre);
		return region ?? (dataCentre === this.#options.dataCentre ? this.#options.region : '');
	};

	/** Reads all lists once. */
	async poll(): Promise<void> {
		const names = this.#currentNames();
		const dataCentres = new Set([this.#options.dataCentre, ...names.regions.keys()]);
		const results = await Promise.all([...dataCentres].map(async dataCentre => this.#read(dataCentre)));
		if (results.includes(true) || names !== this.#namesOfHosts) {
			this.#namesOfHosts = names;
			this.#hosts = [...this.#lists.values()].flatMap(list => list.hosts).map(host => normaliseHost(host, names));
			this.#options.onChange();
		}
	}

	/** Returns whether the list of the data centre has changed. */
	async #read(dataCentre: string): Promise<boolean> {
		const known = this.#lists.get(dataCentre);
		const list = await this.#options.client.read(dataCentre, known?.version).catch(() => undefined);
		if (!list) {
			return false;
		}

		this.#lists.set(dataCentre, list);
		return list.version !== known?.version;
	}

	/** Names are read again only after a change of places or services, since a view of many accounts is slow to list. */
	#currentNames(): PlaceNames {
		const view = this.#options.inForce.view();
		if (!this.#names || this.#isTouchedSince(this.#namesVersion)) {
			this.#names = readPlaceNames(view);
		}

		this.#namesVersion = view.version;
		return this.#names;
	}

	#isTouchedSince(version: number): boolean {
		const {deltas} = this.#options.inForce.updateSince(version);
		return deltas?.some(({change}) => touchesNames(change)) ?? true;
	}
}
