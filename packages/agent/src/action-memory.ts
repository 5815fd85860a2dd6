/**
 * The newest actions that this agent received. That a message does not run twice rests on its number, see
 * action-messages.ts; and that no other claim follows an action that may have run rests on the table. This memory also
 * refuses such a claim, so that a fault of an entry or of the table does not by itself make an action run twice.
 */
import {createRequestError} from '@hawthorncleat/core';
import type {ActionRef} from '@hawthorncleat/schema';

/**
 * Bounds the memory to about 3 MB. At ten actions a second these are the actions of seven minutes, longer than a caller waits
 * before it sends an action again.
 */
export const maxActions = 4096;

type Received = {
	/** All claims that brought the action; a message of an older one may still come a second time. */
	readonly claimIds: Set<string>;
	newest: string;
	isNotRun: boolean;
};

/** Actions by id with the claims that brought each. */
export class ActionMemory {
	readonly #received = new Map<string, Received>();

	/** Number of actions in memory. */
	get size(): number {
		return this.#received.size;
	}

	/** Refuses a duplicate. Another claim for the same action is taken only after the earlier one certainly did not run. */
	check({actionId, claimId}: ActionRef): void {
		const earlier = this.#received.get(actionId);
		if (earlier && (earlier.claimIds.has(claimId) || !earlier.isNotRun)) {
			throw createRequestError('this action was already received', {code: 'duplicate-action', ran: 'unknown', status: 409});
		}
	}

	/** Notes an action before it is sent, or refuses it. */
	begin(action: ActionRef): void {
		this.check(action);
		const {actionId, claimId} = action;
		const claimIds = this.#received.get(actionId)?.claimIds ?? new Set<string>();
		claimIds.add(claimId);
		// Deleted first, so that the map stays in the order of the newest claims.
		this.#received.delete(actionId);
		this.#received.set(actionId, {claimIds, newest: claimId, isNotRun: false});
		this.#forgetOldest();
	}

	/** Notes that the connection to the service was refused before the first byte. */
	noteNotRun({actionId, claimId}: ActionRef): void {
		const received = this.#received.get(actionId);
		if (received?.newest === claimId) {
			received.isNotRun = true;
		}
	}

	#forgetOldest(): void {
		if (this.#received.size > maxActions) {
			const [oldest] = this.#received.keys();
			this.#received.delete(oldest!);
		}
	}
}
