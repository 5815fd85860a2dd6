/**
 * HTTP server of the stand-ins, with `find-my-way` as its router. It reads whole bodies and answers with JSON. To imitate
 * a crash, it can drop all connections, stop, and restart on the same port.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import findMyWay, {type HTTPMethod} from 'find-my-way';

/** One request with its whole body, and its response. */
export type Exchange = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	readonly path: string;
	readonly params: Readonly<Record<string, string | undefined>>;
	readonly query: URLSearchParams;
	readonly body: string;
};

export type Handler = (exchange: Exchange) => Promise<void> | void;

export type HttpRoute = readonly [method: HTTPMethod | HTTPMethod[], path: string, handler: Handler];

export type HttpServerOptions = {
	readonly address?: string;
	readonly port?: number;
	readonly routes: readonly HttpRoute[];
};

/** A server that can stop and restart on the same port. */
export type HttpServer = {
	readonly port: number;
	readonly url: string;
	/** Resolves once `signal` has aborted and every connection is closed. */
	readonly closed: Promise<void>;
	/** Drops all connections and refuses new ones until `restart`. */
	stop(): void;
	/** Listens again on the same port. */
	restart(): Promise<void>;
};

export const defaultAddress = '127.0.0.1';
// While the server is stopped, an outgoing connection may briefly have its port as local port.
const maxListenAttempts = 40;
const listenRetryDelayMs = 50;

export const sendJson = (res: ServerResponse, status: number, value: unknown): void => {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(value));
};

/** Resets the connection, so that the client receives no answer. */
export const dropConnection = (req: IncomingMessage): void => {
	req.socket.resetAndDestroy();
};

/** A request body is not valid; the client receives status 400. */
export class BadBodyError extends Error {}

/** Parses a JSON body; throws `BadBodyError` if it is not JSON. */
export const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch (error) {
		throw new BadBodyError('body is not JSON', {cause: error});
	}
};

const readBody = async (req: IncomingMessage): Promise<string> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
};

const handleExchange = async (handler: Handler, exchange: Omit<Exchange, 'body'>): Promise<void> => {
	try {
		const body = await readBody(exchange.req);
		await handler({...exchange, body});
	} catch (error) {
		if (exchange.res.headersSent || exchange.res.destroyed) {
			exchange.res.destroy();
			return;
		}

		const status = error instanceof BadBodyError ? 400 : 500;
		sendJson(exchange.res, status, {error: error instanceof Error ? error.message : String(error)});
	}
};

const createRequestListener = (routes: readonly HttpRoute[]): (req: IncomingMessage, res: ServerResponse) => void => {
	const router = findMyWay({
		defaultRoute(_req, res) {
			sendJson(res, 404, {error: 'no such path'});
		},
	});
	for (const [method, path, handler] of routes) {
		router.on(method, path, (req, res, params) => {
			const url = new URL(req.url ?? '/', 'http://stand-in');
			const exchange = {
				req, res, path: url.pathname, params, query: url.searchParams,
			};
			void handleExchange(handler, exchange);
		});
	}

	return (req, res) => {
		router.lookup(req, res);
	};
};

const startListening = async (server: Server, address: string, port: number): Promise<number> => {
	server.listen({host: address, port});
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};

/** Listens on the server's earlier port, with retries while the port is occupied. */
const listenWithRetries = async (server: Server, address: string, port: number): Promise<void> => {
	for (let attempt = 1; attempt < maxListenAttempts; attempt += 1) {
		try {
			await startListening(server, address, port);
			return;
		} catch {
			await delay(listenRetryDelayMs);
		}
	}

	await startListening(server, address, port);
};

const stopListening = (server: Server): void => {
	if (server.listening) {
		server.close();
	}

	server.closeAllConnections();
};

/** Starts a server that runs until `signal` aborts. */
export const startHttpServer = async (options: HttpServerOptions, signal: AbortSignal): Promise<HttpServer> => {
	const address = options.address ?? defaultAddress;
	const server = createServer(createRequestListener(options.routes));
	// Clients keep idle connections; if the server closed them early, a test would see a fault that it did not inject.
	server.keepAliveTimeout = 60_000;
	// With the default limit headers that a daemon has sent could be missing here.
	server.maxHeadersCount = 0;
	const port = await startListening(server, address, options.port ?? 0);
	const closed = new Promise<void>(resolve => {
		const stop = (): void => {
			if (server.listening) {
				server.once('close', resolve);
			} else {
				resolve();
			}

			stopListening(server);
		};

		signal.addEventListener('abort', stop, {once: true});
		if (signal.aborted) {
			stop();
		}
	});
	return {
		port,
		url: `http://${address}:${port}`,
		closed,
		stop() {
			stopListening(server);
		},
		async restart() {
			if (!signal.aborted && !server.listening) {
				await listenWithRetries(server, address, port);
				if (signal.aborted) {
					stopListening(server);
				}
			}
		},
	};
};
