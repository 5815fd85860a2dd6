/**
 * The HTTP servers of a forwarding entry: for callers, the readiness check of the load balancer, other entries, and metrics.
 */
import {createServer, type RequestListener, type Server} from 'node:http';
import {once} from 'node:events';
import type {Address, ForwardSettings} from './ports.js';

/** Larger request heads are refused before they are parsed. The limit in the configuration is lower. */
const maxRequestHeadBytes = 64 * 1024;
const idleTimeoutMs = 15_000;

/** Starts a server and waits until it listens. */
export const startHttpServer = async ({address, port}: Address, listener: RequestListener): Promise<Server> => {
	const server = createServer({
		maxHeaderSize: maxRequestHeadBytes, keepAliveTimeout: idleTimeoutMs, requestTimeout: 0, noDelay: true,
	}, listener);
	server.listen({host: address, port});
	await once(server, 'listening');
	return server;
};

/** Closes a server and all its connections. */
export const closeHttpServer = (server: Server): void => {
	server.close();
	server.closeAllConnections();
};

export type InternalServerSources = {
	readonly isReadinessPath: (path: string) => boolean;
	readonly isReady: () => boolean;
	/** Text of the active configuration, as the operator wrote it. */
	readonly configText: () => string;
	readonly metricsText: () => Promise<string>;
};

/** Starts the servers for the load balancer, the other entries and the metrics collector. */
export const startInternalServers = async ({listen, ip, metricsPort}: ForwardSettings, sources: InternalServerSources): Promise<Server[]> => Promise.all([
	startHttpServer(listen.readiness, (req, res) => {
		res.writeHead(sources.isReadinessPath(req.url ?? '') && sources.isReady() ? 200 : 503);
		res.end();
	}),
	startHttpServer(listen.peers, (_req, res) => {
		res.end(sources.configText());
	}),
	startHttpServer({address: ip, port: metricsPort}, (_req, res) => {
		void (async () => {
			res.end(await sources.metricsText());
		})();
	}),
]);
