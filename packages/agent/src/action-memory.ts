/**
 * The actions that this agent received in its life. Rule `duplicate` of models/action-claim.pml: a message that arrives
 * twice does not run a second time.
 */
import {createRequestError} from '@hawthorncleat/core';
import type {ActionRef} from '@hawthorncleat/schema';

/** Actions by id with the claim that brought each. */
export class ActionMemory {
	readonly #claims = new Map<string, {claimId: string; isNotRun: boolean}>();

	/** Refuses a duplicate. Another claim for the same action is taken only after the earlier one certainly did not run. */
	check({actionId, claimId}: ActionRef): void {
		const earlier = this.#claims.get(actionId);
		if (earlier && (earlier.claimId === claimId || !earlier.isNotRun)) {
			throw createRequestError('this action was already received', {code: 'duplicate-action', ran: 'unknown', status: 409});
		}
	}

	/** Notes an action before it is sent, or refuses it. */
	begin(action: ActionRef): void {
		this.check(action);
		const {actionId, claimId} = action;
		this.#claims.set(actionId, {claimId, isNotRun: false});
	}

	/** Notes that the connection to the service was refused before the first byte. */
	noteNotRun({actionId, claimId}: ActionRef): void {
		const claim = this.#claims.get(actionId);
		if (claim?.claimId === claimId) {
			claim.isNotRun = true;
		}
	}
}
