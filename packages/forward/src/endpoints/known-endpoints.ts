/**
 * The newest registration of each endpoint's process, so that an older one does not restore an older state: a delayed write, or one that the store
 * has again after its return from a copy some seconds old.
 */
import type {Clock, RegisteredEndpoint} from '@hawthorncleat/core';
import type {Departure} from './departures.js';

type Heartbeat = Pick<RegisteredEndpoint, 'heartbeat' | 'startedAt'>;

type KnownEndpoint = Pick<RegisteredEndpoint, 'heartbeat' | 'isLeaving' | 'startedAt'> & {
	readonly removedAtMs?: number;
};

/** What a registration is, compared with those before. */
export type RegistrationAge = 'earlier-process' | 'first' | 'newer' | 'outdated' | 'same';

const isNewer = (a: Heartbeat, b: Heartbeat): boolean => a.startedAt > b.startedAt || (a.startedAt === b.startedAt && a.heartbeat > b.heartbeat);

export class KnownEndpoints {
	readonly #clock: Clock;
	readonly #byId = new Map<string, KnownEndpoint>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records a registration unless it is outdated. */
	record(endpoint: RegisteredEndpoint): RegistrationAge {
		const {id, heartbeat, startedAt, isLeaving} = endpoint;
		const known = this.#byId.get(id);
		const hasNews = known === undefined || isNewer(endpoint, known);
		// An endpoint that has left or is leaving comes back only by a registration that it wrote after that.
		if (!hasNews && (isNewer(known, endpoint) || known.removedAtMs !== undefined || (known.isLeaving && !isLeaving))) {
			return startedAt < known.startedAt ? 'earlier-process' : 'outdated';
		}

		this.#byId.set(id, {heartbeat, startedAt, isLeaving});
		if (!known) {
			return 'first';
		}

		return hasNews ? 'newer' : 'same';
	}

	/** Records that a process has left or leaves, as a peer saw it; false if a registration that this entry has read is of a later process or heartbeat. */
	recordDeparture({id, startedAt, heartbeat, kind}: Departure): boolean {
		const nowMs = this.#clock.nowMs();
		const known = this.#byId.get(id);
		if (known && isNewer(known, {startedAt, heartbeat})) {
			return false;
		}

		const isRemoved = kind === 'removed' || !known || known.removedAtMs !== undefined;
		this.#byId.set(id, {
			startedAt, heartbeat, isLeaving: true, ...isRemoved && {removedAtMs: known?.removedAtMs ?? nowMs},
		});
		return true;
	}

	recordRemoved(id: string): void {
		const known = this.#byId.get(id);
		if (known) {
			this.#byId.set(id, {...known, removedAtMs: this.#clock.nowMs()});
		}
	}

	/** Whether the endpoint has been registered, also if it was removed some time ago. */
	has(id: string): boolean {
		return this.#byId.has(id);
	}

	/** The newest heartbeat of a process. */
	heartbeatOf(id: string): number {
		return this.#byId.get(id)?.heartbeat ?? 0;
	}

	/** Forgets the endpoints that were removed some time ago. */
	forget(retentionMs: number): void {
		const nowMs = this.#clock.nowMs();
		for (const [id, {removedAtMs}] of this.#byId) {
			if (removedAtMs !== undefined && nowMs - removedAtMs >= retentionMs) {
				this.#byId.delete(id);
			}
		}
	}
}
