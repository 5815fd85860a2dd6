/**
 * The HTTP servers of a forwarding entry: for callers, the readiness check of the load balancer, other entries, and metrics.
 */
import {createServer, type RequestListener, type Server} from 'node:http';
import {once} from 'node:events';
import {Server as NetServer, type Socket} from 'node:net';
import {openPort, type OpenPortOptions} from '../utils/open-port.js';
import type {Address, ForwardSettings} from '../ports.js';
import {startLength} from './listening-queue.js';
import {waitForPendingInput} from './pending-input.js';

/** Larger request heads are refused before they are parsed. The limit in the configuration is lower. */
const maxRequestHeadBytes = 64 * 1024;
/** By default Node.js drops all headers after the first thousand without an error, also those that frame the body. The size of a head is limited instead. */
const unlimitedHeaders = 0;
const idleTimeoutMs = 15_000;
/** A request that was sent within the announced limit arrives within this time after it. */
const closeMarginMs = 1000;

/** What a server listens on. */
export type ListenOptions = OpenPortOptions & {
	/** Names the port in reports of failures. */
	readonly name: string;
	/** Length of the listening queue, if not the default. */
	readonly queueLength?: number;
};

/** Starts a server and waits until it listens or the signal aborts. */
export const startHttpServer = async ({address, port}: Address, listener: RequestListener, {name, queueLength, ...options}: ListenOptions): Promise<Server> => {
	const server = createServer({
		maxHeaderSize: maxRequestHeadBytes, keepAliveTimeout: idleTimeoutMs, requestTimeout: 0, noDelay: true,
	}, listener);
	server.maxHeadersCount = unlimitedHeaders;
	const isOpen = await openPort(name, async () => {
		server.listen({host: address, port, backlog: queueLength});
		await once(server, 'listening');
	}, options);
	if (isOpen) {
		// Without a listener, a connection that cannot be accepted would end the process.
		server.on('error', error => {
			options.onFailure(name, error);
		});
	}

	return server;
};

export type CallerServerOptions = OpenPortOptions & {
	/** The present limit of the configuration. */
	readonly idleLimitMs: () => number | undefined;
	/** Closes a connection that has been idle for too long. */
	readonly closeIdle: (socket: Socket) => void;
	/** Whether a request on the connection has not been answered completely. */
	readonly isServing: (socket: Socket) => boolean;
	/** Closes a connection whose answer has not been read for too long. */
	readonly closeUnread: (socket: Socket) => void;
};

/** A connection since its last request began. */
type IdleState = {
	/** Limit that its last answer announced. */
	readonly announcedMs: number;
	/** How long it has been idle. */
	heldMs: number;
};

/** Closes a connection unless a request has arrived on it that was not read yet, as after a pause of this process. */
const closeIfIdle = async (socket: Socket, close: (socket: Socket) => void): Promise<void> => {
	const {bytesRead} = socket;
	await waitForPendingInput();
	if (socket.bytesRead === bytesRead) {
		close(socket);
	}
};

/**
 * Starts the server for callers. An idle connection is held longer than the limit that was announced on it and longer than the present one, which
 * may change at any time.
 */
export const startCallerServer = async (address: Address, listener: RequestListener, {
	idleLimitMs, closeIdle, isServing, closeUnread, ...options
}: CallerServerOptions): Promise<Server> => {
	const states = new WeakMap<Socket, IdleState>();
	const server = await startHttpServer(address, (req, res) => {
		states.set(req.socket, {announcedMs: server.keepAliveTimeout, heldMs: 0});
		server.keepAliveTimeout = idleLimitMs() ?? idleTimeoutMs;
		listener(req, res);
	}, {...options, name: 'callers', queueLength: startLength});
	// With a listener, the server closes no connection by itself when it has been idle for `keepAliveTimeout`.
	server.on('timeout', (socket: Socket) => {
		if (isServing(socket)) {
			if (socket.writableLength > 0) {
				closeUnread(socket);
			}

			return;
		}

		const state = states.get(socket);
		if (!state) {
			closeIdle(socket);
			return;
		}

		state.heldMs += socket.timeout ?? 0;
		const restMs = Math.max(state.announcedMs, idleLimitMs() ?? idleTimeoutMs) + closeMarginMs - state.heldMs;
		if (restMs > 0) {
			socket.setTimeout(restMs);
		} else {
			void closeIfIdle(socket, closeIdle);
		}
	});
	return server;
};

/**
 * Closes the listening socket only. The method of HTTP servers also closes connections whose answer has been written but not sent, as to a caller that
 * reads slowly.
 */
export const closeListener = (server: Server): void => {
	NetServer.prototype.close.call(server);
};

/** Closes a server and all its connections. */
export const closeHttpServer = (server: Server): void => {
	server.close();
	server.closeAllConnections();
};

export type InternalServerSources = {
	readonly isReadinessPath: (path: string) => boolean;
	readonly isReady: () => boolean;
	readonly answerConfig: RequestListener;
};

/** Starts the servers for the load balancer and the other entries. */
export const startInternalServers = async ({listen}: ForwardSettings, sources: InternalServerSources, options: OpenPortOptions): Promise<Server[]> => Promise.all([
	startHttpServer(listen.readiness, (req, res) => {
		res.writeHead(sources.isReadinessPath(req.url ?? '') && sources.isReady() ? 200 : 503);
		res.end();
	}, {...options, name: 'readiness'}),
	startHttpServer(listen.peers, sources.answerConfig, {...options, name: 'peers'}),
]);

/** Starts the server for the metrics collector. */
export const startMetricsServer = async ({ip, metricsPort}: ForwardSettings, metricsText: () => Promise<string>, options: OpenPortOptions): Promise<Server> =>
	startHttpServer({address: ip, port: metricsPort}, (_req, res) => {
		void (async () => {
			res.end(await metricsText());
		})();
	}, {...options, name: 'metrics'});
