/**
 * Keeps the known endpoints in step with what they have registered. Entries that lapsed while the store was away return
 * shortly after it; until then their endpoints are kept.
 */
import {
	brandAs, type Clock, type EndpointId, type RegisteredEndpoint,
} from '@hawthorncleat/core';
import type {EndpointPool} from './endpoint-pool.js';
import type {StoreAnswer, StoreRow} from './ports.js';

/** Time after the store's return within which live endpoints have registered again. */
const registerAgainMs = 2000;

export type EndpointDirectoryOptions = {
	readonly clock: Clock;
	readonly pool: EndpointPool;
	readonly readEndpoint: (id: EndpointId, text: string) => RegisteredEndpoint | undefined;
	readonly onChange: (change: EndpointChange) => void;
};

export type EndpointChange = {
	readonly id: string;
	readonly was: string;
	readonly is: string;
	readonly version: number;
	/** It ended without having said that it leaves. */
	readonly isCrash?: boolean;
};

const describe = (endpoint: RegisteredEndpoint | undefined): string => {
	if (!endpoint) {
		return 'absent';
	}

	return `${endpoint.isLeaving ? 'leaving' : 'ready'}${endpoint.role ? ` ${endpoint.role}` : ''}`;
};

export class EndpointDirectory {
	readonly #options: EndpointDirectoryOptions;
	/** Missing entries and when they count as gone. */
	readonly #missing = new Map<string, number>();
	/** Newest heartbeat of each process; a write that was delayed on its way must not bring back an older state. */
	readonly #heartbeats = new Map<string, Pick<RegisteredEndpoint, 'heartbeat' | 'startedAt'>>();
	#backSinceMs = Number.NEGATIVE_INFINITY;
	#isAvailable = true;

	constructor(options: EndpointDirectoryOptions) {
		this.#options = options;
	}

	/** Notes whether the store answers. */
	setStoreAvailable(isAvailable: boolean): void {
		if (isAvailable && !this.#isAvailable) {
			this.#backSinceMs = this.#options.clock.nowMs();
		}

		this.#isAvailable = isAvailable;
	}

	apply({rows}: StoreAnswer, isWhole: boolean): void {
		const seen = new Set<string>();
		for (const row of rows) {
			seen.add(row.key);
			this.#applyRow(row);
		}

		if (isWhole) {
			for (const {endpoint: {id}} of this.#options.pool.all()) {
				if (!seen.has(id)) {
					this.#miss(id, 0);
				}
			}
		}

		this.removeExpired();
	}

	/** Drops the endpoints that did not register again in time. */
	removeExpired(): void {
		const nowMs = this.#options.clock.nowMs();
		for (const [id, goneAtMs] of this.#missing) {
			if (nowMs >= goneAtMs && this.#isAvailable) {
				this.#missing.delete(id);
				this.#drop(id, 0);
			}
		}
	}

	#applyRow({key, value, version}: StoreRow): void {
		const endpoint = value === undefined ? undefined : this.#options.readEndpoint(brandAs<EndpointId>(key), value);
		if (!endpoint) {
			this.#miss(key, version);
			return;
		}

		if (this.#isOutdated(endpoint)) {
			return;
		}

		this.#missing.delete(key);
		const before = this.#options.pool.get(key)?.endpoint;
		this.#options.pool.put(endpoint);
		const isRestart = before !== undefined && before.startedAt !== endpoint.startedAt;
		if (isRestart || describe(before) !== describe(endpoint)) {
			this.#options.onChange({
				id: key, was: describe(before), is: describe(endpoint), version, ...isRestart && {isCrash: !before.isLeaving},
			});
		}
	}

	#isOutdated({id, heartbeat, startedAt}: RegisteredEndpoint): boolean {
		const newest = this.#heartbeats.get(id);
		if (newest && (startedAt < newest.startedAt || (startedAt === newest.startedAt && heartbeat < newest.heartbeat))) {
			return true;
		}

		this.#heartbeats.set(id, {heartbeat, startedAt});
		return false;
	}

	#miss(id: string, version: number): void {
		const nowMs = this.#options.clock.nowMs();
		if (nowMs - this.#backSinceMs < registerAgainMs) {
			if (!this.#missing.has(id)) {
				this.#missing.set(id, this.#backSinceMs + registerAgainMs);
			}

			return;
		}

		this.#drop(id, version);
	}

	#drop(id: string, version: number): void {
		const before = this.#options.pool.get(id)?.endpoint;
		if (before) {
			this.#options.pool.remove(id);
			this.#options.onChange({
				id, was: describe(before), is: describe(undefined), version, isCrash: !before.isLeaving,
			});
		}
	}
}
