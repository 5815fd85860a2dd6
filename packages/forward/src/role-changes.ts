/**
 * Engines whose role is being changed. They refuse work meanwhile, so every entry shuns them.
 */
import type {Clock, EndpointRole} from '@hawthorncleat/core';
import type {EndpointPool} from './endpoint-pool.js';

/** A change that has been ordered. */
export type RoleChange = {readonly endpoint: string; readonly role: EndpointRole};

/** Longer than the pause between two messages of an entry. */
const noticeMs = 2500;

export class RoleChanges {
	readonly #clock: Clock;
	readonly #pool: EndpointPool;
	#own: readonly RoleChange[] = [];

	constructor(clock: Clock, pool: EndpointPool) {
		this.#clock = clock;
		this.#pool = pool;
	}

	/** Changes that this entry has ordered. */
	get own(): readonly RoleChange[] {
		return this.#own;
	}

	recordOwn(changes: readonly RoleChange[]): void {
		this.#own = changes;
		this.record(changes);
	}

	/**
	 * Repeated while a change is under way, so that a lost message or an ended planner blocks no engine for long. A planner that the store
	 * turns away repeats it for longer, so the registration with the new role goes before its word.
	 */
	record(changes: readonly RoleChange[]): void {
		const untilMs = this.#clock.nowMs() + noticeMs;
		for (const {endpoint, role} of changes) {
			const known = this.#pool.get(endpoint);
			if (known && known.endpoint.role !== role) {
				known.changesUntilMs = untilMs;
			}
		}
	}
}
