/**
 * What an agent does with each message of an entry.
 */
import type {HelloResult} from '@hawthorncleat/schema';
import type {Readiness} from '@hawthorncleat/telemetry';
import type {Handlers, Peer} from '@hawthorncleat/wire';
import {ActionMessages} from './action-messages.js';
import type {Endpoint} from './endpoint.js';
import type {AgentMetrics} from './metrics.js';
import {otherIncarnation, unavailable} from './refusals.js';

// An order may reach an agent whose engine is down or changing; the order rules decide what happens then.
const reasonsOfEngine = ['engine-unreachable', 'engine-changing'];

// The authority of a planner during a table outage lasts no longer.
const confirmTimeoutMs = 2000;

export type HandlerOptions = {
	readonly endpoint: Endpoint;
	readonly metrics: AgentMetrics;
	readonly incarnation: string;
	readonly identity: HelloResult;
	readonly readiness: () => Readiness;
	/** Whether a connection was open during a pause of this process, so that its messages may be old. */
	readonly isStale: (peer: Peer) => boolean;
	readonly onHello: (peer: Peer) => void;
};

/** Creates the handlers of one agent. */
export const createHandlers = (options: HandlerOptions): Handlers<Peer> => {
	const {endpoint, metrics, identity, onHello} = options;
	const actionMessages = new ActionMessages();
	const checkIncarnation = (incarnation: string, isAction: boolean): void => {
		if (incarnation !== options.incarnation) {
			metrics.refused.inc({code: 'other-incarnation'});
			throw otherIncarnation(isAction);
		}
	};

	const checkReady = (ignored: readonly string[] = []): void => {
		const reason = options.readiness().reasons.find(reason => !ignored.includes(reason));
		if (reason !== undefined) {
			metrics.refused.inc({code: reason});
			throw unavailable(reason, `the agent takes no work: ${reason}`);
		}
	};

	const checkAvailable = (peer: Peer): void => {
		if (options.isStale(peer)) {
			metrics.refused.inc({code: 'agent-paused'});
			throw unavailable('agent-paused', 'the agent was paused and takes new work on a new connection only');
		}

		checkReady();
	};

	return {
		hello({id}, peer) {
			peer.remoteId = id;
			// The answer to this call goes out before the report.
			setImmediate(() => {
				onHello(peer);
			});
			return {...identity, connection: actionMessages.open(peer)};
		},
		'request.start'(params, peer) {
			checkIncarnation(params.incarnation, false);
			checkAvailable(peer);
			return endpoint.startRequest(params, peer, 'answer');
		},
		'request.prefill'(params, peer) {
			checkIncarnation(params.incarnation, false);
			checkAvailable(peer);
			return endpoint.startRequest(params, peer, 'prefill');
		},
		'request.resume': (params, peer) => endpoint.resumeRequest(params, peer),
		'request.cancel'(params) {
			endpoint.cancelRequest(params);
		},
		async 'service.call'(params, peer) {
			checkIncarnation(params.incarnation, params.action !== undefined);
			// First, because a refusal as not ready says that the action did not run.
			if (params.action) {
				actionMessages.receive(peer, params.action);
				endpoint.checkAction(params.action);
			}

			checkAvailable(peer);
			return endpoint.callService(params);
		},
		async 'engine.order'(order, peer) {
			checkReady(reasonsOfEngine);
			return endpoint.receiveOrder(order, async question => peer.call('order.confirm', question, {timeoutMs: confirmTimeoutMs}));
		},
	};
};
