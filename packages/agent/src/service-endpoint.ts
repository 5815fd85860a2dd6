/**
 * A plain service as an agent's endpoint.
 */
import type {Endpoint} from './endpoint.js';
import {unavailable, unknownRequest} from './refusals.js';
import {ServiceCalls, type ServiceCallsOptions} from './service-calls.js';

const refuseModelRequest = (): never => {
	throw unavailable('no-endpoint', 'this endpoint is a plain service');
};

/** Creates the endpoint of a plain service. */
export const createServiceEndpoint = (options: ServiceCallsOptions): Endpoint => {
	const calls = new ServiceCalls(options);
	return {
		open() {/* Connections open with the first call. */},
		problems: () => [],
		load: () => ({
			role: 'service', running: calls.running, waiting: 0, waitingTokens: 0, freeTokens: 0, prefixes: [],
			maxRunning: options.maxRunning,
		}),
		startRequest: refuseModelRequest,
		resumeRequest() {
			throw unknownRequest();
		},
		cancelRequest() {/* Calls of a service have no cancel message. */},
		checkAction(action) {
			calls.checkAction(action);
		},
		callService: async params => calls.call(params),
		receiveOrder: async () => ({state: 'ignored'}),
		dropWaiting() {/* A call starts at once; none waits. */},
		detach() {/* The answer of a call goes to the connection that asked. */},
		whenIdle: async () => calls.whenIdle(),
		isDelivered: () => calls.running === 0,
		close: async () => calls.close(),
	};
};
