/**
 * Tracks the engines whose role is being changed. They refuse work meanwhile, so no entry selects them.
 */
import type {Clock, EndpointRole} from '@hawthorncleat/core';
import type {EndpointPool} from '../endpoints/endpoint-pool.js';

/** A role change that has been ordered. */
export type RoleChange = {readonly endpoint: string; readonly role: EndpointRole};

/** How long one message keeps an engine from being selected; longer than the interval between two messages of an entry. */
const avoidanceMs = 2500;

export class RoleChanges {
	readonly #clock: Clock;
	readonly #pool: EndpointPool;
	#own: readonly RoleChange[] = [];

	constructor(clock: Clock, pool: EndpointPool) {
		this.#clock = clock;
		this.#pool = pool;
	}

	/** Unfinished changes that this entry has ordered. */
	get own(): readonly RoleChange[] {
		return this.#own;
	}

	recordOwn(changes: readonly RoleChange[]): void {
		const current = new Set(changes.map(({endpoint}) => endpoint));
		for (const {endpoint} of this.#own) {
			if (!current.has(endpoint)) {
				this.#recordEnded(endpoint);
			}
		}

		this.#own = changes;
		this.record(changes);
	}

	/**
	 * Keeps the engines from being selected for a short time. The ordering entry repeats its message while the change is in progress,
	 * so a lost message or a crash of that entry affects an engine only briefly. An entry that is cut off from the store repeats it
	 * for too long, so an engine that has registered with the new role is not affected.
	 */
	record(changes: readonly RoleChange[]): void {
		const untilMs = this.#clock.nowMs() + avoidanceMs;
		for (const {endpoint, role} of changes) {
			const known = this.#pool.get(endpoint);
			if (known && known.endpoint.role !== role) {
				known.roleChangeUntilMs = untilMs;
				known.newRole = role;
			}
		}
	}

	/** An engine that has changed its role, or has rejected the order, takes work again. */
	#recordEnded(endpoint: string): void {
		const known = this.#pool.get(endpoint);
		if (known) {
			known.roleChangeUntilMs = 0;
			known.newRole = undefined;
		}
	}
}
