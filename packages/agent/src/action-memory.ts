/**
 * The actions that this agent received in its life. Rule `duplicate` of models/action-claim.pml: a message that arrives
 * twice does not run a second time.
 */
import {createRequestError} from '@hawthorncleat/core';
import type {ActionRef} from '@hawthorncleat/schema';

type Received = {
	/** All claims that brought the action; a message of an older one may still come a second time. */
	readonly claimIds: Set<string>;
	newest: string;
	isNotRun: boolean;
};

/** Actions by id with the claims that brought each. */
export class ActionMemory {
	readonly #received = new Map<string, Received>();

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
		this.#received.set(actionId, {claimIds, newest: claimId, isNotRun: false});
	}

	/** Notes that the connection to the service was refused before the first byte. */
	noteNotRun({actionId, claimId}: ActionRef): void {
		const received = this.#received.get(actionId);
		if (received?.newest === claimId) {
			received.isNotRun = true;
		}
	}
}
