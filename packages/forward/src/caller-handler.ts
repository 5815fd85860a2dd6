/**
 * Admits requests of callers and reports how each one ended.
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	pickService, type ForwardAccount, type ForwardRoute, type RouteTable,
} from '@hawthorncleat/core';
import {CallerExchange, readBody} from './caller-exchange.js';
import {forwardRequest} from './forward-request.js';
import type {ForwardDeps, Outcome} from './forward-types.js';
import type {CallerRequest} from './ports.js';

export type CallerHandlerDeps = ForwardDeps & {
	readonly routes: () => RouteTable | undefined;
	readonly isStopping: () => boolean;
	readonly onEnd: (end: RequestEnd) => void;
};

/** What is logged and counted of a request. */
export type RequestEnd = {
	readonly id: string;
	readonly route?: string;
	readonly account?: string;
	readonly configVersion?: number;
	/** What a model request asks for, so that refusals can be told by size. */
	readonly promptTokens?: number;
	readonly maxOutputTokens?: number;
	readonly tookMs: number;
	readonly outcome: Outcome;
};

/** Time after which an entry without a configuration is worth another try. */
const startingRetryMs = 300;

const refuse = (status: number, code: string, retryAfterMs?: number): Outcome => ({
	status, code, ran: 'not-run', attempts: 0, retryAfterMs,
});

type Admission = {readonly route: ForwardRoute; readonly account: ForwardAccount | undefined};

const isOutcome = (value: Admission | Outcome): value is Outcome => 'status' in value;

/** Finds the route and the account of a request. */
const authorize = (routes: RouteTable | undefined, request: CallerRequest): Admission | Outcome => {
	if (!routes) {
		return refuse(503, 'no-configuration', startingRetryMs);
	}

	const route = routes.findRoute(request.hostname, request.target);
	if (!route) {
		return refuse(404, 'no-route');
	}

	if (route.isOpen || routes.config.accounts.length === 0) {
		return {route, account: undefined};
	}

	const account = request.key === undefined ? undefined : routes.findAccount(request.key);
	return account ? {route, account} : refuse(401, 'unknown-key');
};

const finish = (deps: CallerHandlerDeps, exchange: CallerExchange, requestId: string | undefined, outcome: Outcome): void => {
	if (outcome.code === 'answered' || outcome.code === 'caller-left') {
		return;
	}

	if (exchange.hasHead) {
		if (outcome.code === 'timeout') {
			exchange.breakOff();
		}

		return;
	}

	const {headers, body} = deps.wire.writeRefusal({...outcome, requestId});
	exchange.send(outcome.status, headers, body);
};

/** Settles once everything that had arrived by now has been read. */
const afterNextPoll = async (): Promise<void> => new Promise(resolve => {
	setImmediate(() => {
		setImmediate(resolve);
	});
});

const serve = async (
	deps: CallerHandlerDeps,
	request: CallerRequest,
	{req, exchange, routes, admission}: {readonly req: IncomingMessage; readonly exchange: CallerExchange; readonly routes: RouteTable; readonly admission: Admission},
): Promise<Outcome> => {
	const {route, account} = admission;
	exchange.limit(Math.min(request.timeoutMs ?? route.timeoutMs, route.timeoutMs));
	let body: Buffer | undefined;
	if (req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined) {
		body = await readBody(req, routes.config.limits.maxBodyBytes);
		if (body === undefined) {
			return refuse(413, 'body-too-long');
		}
	}

	// A caller that left while this process was busy has its end right behind its request.
	await afterNextPoll();
	if (req.socket.readableEnded) {
		return {
			status: 499, code: 'caller-left', ran: 'not-run', attempts: 0,
		};
	}

	const quarantinedMs = deps.crashes.quarantineRemainingMs({request, account, body});
	if (quarantinedMs !== undefined) {
		return refuse(503, 'crashes-endpoints', quarantinedMs);
	}

	const service = routes.findService(pickService(route, deps.random) ?? '');
	if (!service) {
		return refuse(503, 'no-service', startingRetryMs);
	}

	return forwardRequest(deps, {
		request, body, route, service, account, exchange,
	});
};

/** Serves one request of a caller. */
export const handleCaller = async (deps: CallerHandlerDeps, req: IncomingMessage, res: ServerResponse): Promise<void> => {
	const exchange = new CallerExchange(res, deps.clock);
	if (deps.isStopping()) {
		res.setHeader('connection', 'close');
	}

	const routes = deps.routes();
	const request = deps.wire.readRequest(req.method ?? '', req.url ?? '', req.headers);
	const admission = request ? authorize(routes, request) : refuse(400, 'no-request-id');
	let outcome: Outcome;
	if (isOutcome(admission)) {
		outcome = admission;
		req.resume();
	} else {
		outcome = await serve(deps, request!, {
			req, exchange, routes: routes!, admission,
		}).catch((error: unknown) => {
			if (exchange.endReason !== undefined) {
				return {
					status: 499, code: exchange.endReason, ran: 'not-run', attempts: 0,
				};
			}

			throw error;
		});
	}

	finish(deps, exchange, request?.id, outcome);
	deps.onEnd({
		id: request?.id ?? '',
		...!isOutcome(admission) && {route: admission.route.name, account: admission.account?.name},
		configVersion: routes?.config.version,
		...request && request.promptTokens > 0 && {promptTokens: request.promptTokens, maxOutputTokens: request.maxOutputTokens},
		tookMs: exchange.elapsedMs,
		outcome,
	});
};
