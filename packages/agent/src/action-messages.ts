/**
 * Which messages with an action an agent accepts. Rule `message-number` of models/action-claim.pml: a message is accepted
 * only over the connection on which it was sent, and only with a higher number than all that were received there. A message
 * that arrives twice is therefore accepted once, however long ago it was, and the agent keeps one number per connection.
 */
import {createRequestError, type RequestError} from '@hawthorncleat/core';
import type {ActionMessage} from '@hawthorncleat/schema';
import type {Peer} from '@hawthorncleat/wire';

type Connection = {readonly id: number; highest: number};

const refusal = (code: 'duplicate-action' | 'other-connection', message: string): RequestError =>
	createRequestError(message, {code, ran: 'unknown', status: 409});

/** The connections of one incarnation of an agent. */
export class ActionMessages {
	readonly #connections = new WeakMap<Peer, Connection>();
	#lastId = 0;

	/** Names a connection. The name is never used again by this incarnation. */
	open(peer: Peer): number {
		const known = this.#connections.get(peer);
		if (known) {
			return known.id;
		}

		this.#lastId += 1;
		this.#connections.set(peer, {id: this.#lastId, highest: 0});
		return this.#lastId;
	}

	/** Notes a message, or refuses it. Comes before any refusal that says "not run", so that a copy of that message is refused. */
	receive(peer: Peer, {connection, number}: ActionMessage): void {
		const known = this.#connections.get(peer);
		if (known?.id !== connection) {
			throw refusal('other-connection', 'this action was sent over another connection');
		}

		if (number <= known.highest) {
			throw refusal('duplicate-action', 'this message with an action was already received');
		}

		known.highest = number;
	}
}
