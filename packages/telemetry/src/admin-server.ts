/**
 * HTTP server for health checks and metrics. A daemon may add its own routes.
 */
import {createServer, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import findMyWay from 'find-my-way';
import type {Registry} from 'prom-client';

/** Whether the process accepts work, and the reasons if it does not. */
export type Readiness = {readonly ready: boolean; readonly reasons: readonly string[]};

type AdminRouter = ReturnType<typeof findMyWay>;

export type AdminOptions = {
	readonly address: string;
	/** 0 picks a free port. */
	readonly port: number;
	readonly registry: Registry;
	readonly readiness: () => Readiness;
	/** Adds the daemon's own routes. */
	readonly addRoutes?: (router: AdminRouter) => void;
};

/** A running admin server. */
export type AdminServer = {
	readonly port: number;
	/** Resolves when the signal has aborted and the port is free. */
	readonly closed: Promise<void>;
};

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(`${JSON.stringify(body)}\n`);
};

const sendMetrics = async (res: ServerResponse, registry: Registry): Promise<void> => {
	const text = await registry.metrics();
	res.writeHead(200, {'content-type': registry.contentType});
	res.end(text);
};

const createRouter = ({registry, readiness, addRoutes}: AdminOptions): AdminRouter => {
	const router = findMyWay({
		defaultRoute(_req, res) {
			sendJson(res, 404, {error: {code: 'not-found', message: 'no such path'}});
		},
	});
	router.on('GET', '/livez', (_req, res) => {
		sendJson(res, 200, {live: true});
	});
	router.on('GET', '/readyz', (_req, res) => {
		const currentReadiness = readiness();
		sendJson(res, currentReadiness.ready ? 200 : 503, currentReadiness);
	});
	router.on('GET', '/metrics', (_req, res) => {
		void sendMetrics(res, registry);
	});
	addRoutes?.(router);
	return router;
};

/** Serves `/livez`, `/readyz`, `/metrics` and the daemon's own routes until `signal` aborts. */
export const startAdminServer = async (options: AdminOptions, signal: AbortSignal): Promise<AdminServer> => {
	const router = createRouter(options);
	const server = createServer((req, res) => {
		router.lookup(req, res);
	});
	const close = (): void => {
		server.close();
		server.closeAllConnections();
	};

	signal.addEventListener('abort', close, {once: true});
	const closed = new Promise<void>(resolve => {
		server.once('close', resolve);
	});
	server.listen({host: options.address, port: options.port});
	await once(server, 'listening', {signal});
	return {port: (server.address() as AddressInfo).port, closed};
};
