/**
 * The listeners of a forwarding entry: callers, the readiness check of the load balancer, other entries, and metrics.
 */
import {createServer, type RequestListener, type Server} from 'node:http';
import {once} from 'node:events';
import type {Address} from './ports.js';

/** Larger heads are refused before they are read; the configuration's own limit lies below. */
const maxHeadBytes = 64 * 1024;
const defaultIdleMs = 15_000;

/** Starts a listener. */
export const listenHttp = async ({address, port}: Address, listener: RequestListener): Promise<Server> => {
	const server = createServer({
		maxHeaderSize: maxHeadBytes, keepAliveTimeout: defaultIdleMs, requestTimeout: 0, noDelay: true,
	}, listener);
	server.listen({host: address, port});
	await once(server, 'listening');
	return server;
};

/** Ends a listener with all its connections. */
export const closeHttp = (server: Server): void => {
	server.close();
	server.closeAllConnections();
};
