/**
 * Handles requests of callers: authorizes each one, reads its body, forwards it and reports how it ended.
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	pickService, type ForwardAccount, type ForwardRoute, type RouteTable,
} from '@hawthorncleat/core';
import {settleCharge, type AccountCharge, type AccountLimits} from '../accounts/account-limits.js';
import {forwardRequest} from '../requests/forward-request.js';
import type {ForwardDeps} from '../requests/forward-deps.js';
import type {Outcome} from '../requests/outcome.js';
import type {CallerRequest} from '../ports.js';
import {waitForPendingInput} from './pending-input.js';
import {createEarlyOutcome, finishExchange} from './early-end.js';
import {CallerExchange, type ExchangeOptions} from './caller-exchange.js';
import type {HeldBytes, Holding} from './held-bytes.js';
import {discardBody, readBody, type BodyRefusal} from './read-body.js';

export type CallerHandlerDeps = ExchangeOptions & ForwardDeps & {
	readonly heldBytes: HeldBytes;
	/** The same rule for requests that run, each of which takes a connection to an endpoint. */
	readonly requestSlots: HeldBytes;
	readonly routes: () => RouteTable | undefined;
	readonly accountLimits: Pick<AccountLimits, 'admit'>;
	/** Whether an earlier answer on the connection has announced its close. */
	readonly isAfterClose: (res: ServerResponse) => boolean;
	/** Called for a request whose caller had left when it was read. */
	readonly onLeft: () => void;
	readonly onEnd: (end: RequestEnd) => void;
	/** Reports an exception while a request was served. */
	readonly onError: (error: unknown) => void;
};

/** The figures of a finished request that are logged and counted. */
export type RequestEnd = {
	readonly id: string;
	readonly route?: string;
	readonly account?: string;
	readonly configVersion?: number;
	/** Size of a model request, so that rejections can be compared by size. */
	readonly promptTokens?: number;
	readonly maxOutputTokens?: number;
	/** The request that began the stream, if the caller resumes one. */
	readonly resumedId?: string;
	readonly tookMs: number;
	/** Time since this entry was told to stop; absent if it was not. */
	readonly stoppingMs?: number;
	/** Whether the answer was to be sent only once it was complete. */
	readonly isBuffered?: boolean;
	readonly outcome: Outcome;
};

/** Retry delay while this entry has no configuration for the request. */
const notReadyRetryMs = 300;

/** Longest wait for the rest of the body of a request that is refused. The rest usually arrives within one round trip. */
const refusedBodyMs = 500;

/** Retry delay while there is no memory for a request: most that hold some have ended by then. */
const noMemoryRetryMs = 500;
/** Memory of a request beside its body and its answer. */
const requestBytes = 16_384;

const reject = (status: number, code: string, retryAfterMs?: number): Outcome => ({
	status, code, ran: 'not-run', attempts: 0, retryAfterMs,
});

const noMemory = (): Outcome => reject(503, 'no-memory', noMemoryRetryMs);

const refusals: Readonly<Record<BodyRefusal, () => Outcome>> = {
	'no-room': noMemory,
	stalled: () => reject(408, 'body-stalled'),
	'too-long': () => reject(413, 'body-too-long'),
};

type Admission = {readonly route: ForwardRoute; readonly account: ForwardAccount | undefined; readonly charge?: AccountCharge};

const isRejected = (value: Admission | Outcome): value is Outcome => 'status' in value;

/** Finds the route and the account of a request, or rejects it. */
const authorize = (routes: RouteTable | undefined, request: CallerRequest): Admission | Outcome => {
	if (!routes) {
		return reject(503, 'no-configuration', notReadyRetryMs);
	}

	const route = routes.findRoute(request.hostname, request.target);
	if (!route) {
		return reject(404, 'no-route');
	}

	if (route.isOpen || routes.config.accounts.length === 0) {
		return {route, account: undefined};
	}

	const account = request.key === undefined ? undefined : routes.findAccount(request.key);
	return account ? {route, account} : reject(401, 'unknown-key');
};

/** Time limit of a request: its caller's, if that is shorter than the route's. */
const timeLimitOf = ({timeoutMs = Number.POSITIVE_INFINITY}: CallerRequest, route: ForwardRoute): number => Math.min(timeoutMs, route.timeoutMs);

/** Charges an authorized request to the limit of its account, or rejects it. */
const chargeAccount = ({accountLimits}: CallerHandlerDeps, request: CallerRequest, admission: Admission): Admission | Outcome => {
	const {account, route} = admission;
	if (!account) {
		return admission;
	}

	const charged = accountLimits.admit(account, request, timeLimitOf(request, route));
	return 'charge' in charged ? {...admission, charge: charged.charge} : reject(429, 'account-limit', charged.retryAfterMs);
};

/** Reads the body of a request, or rejects the request when it is too long or not complete when the request ends. */
const receiveBody = async (req: IncomingMessage, exchange: CallerExchange, limits: {readonly maxBytes: number; readonly holding: Holding}): Promise<Buffer | Outcome> => {
	try {
		const body = await Promise.race([readBody(req, limits), exchange.rejectAtEnd()]);
		return typeof body === 'string' ? refusals[body]() : body;
	} catch (error) {
		const {endReason} = exchange;
		if (endReason === undefined) {
			throw error;
		}

		// What still arrives of the body must not be read as another request.
		exchange.closeAfterAnswer();
		return endReason === 'timeout' ? reject(408, 'body-timeout') : createEarlyOutcome(endReason, {ran: 'not-run', attempts: 0});
	}
};

const serve = async (
	deps: CallerHandlerDeps,
	request: CallerRequest,
	{req, exchange, routes, admission}: {readonly req: IncomingMessage; readonly exchange: CallerExchange; readonly routes: RouteTable; readonly admission: Admission},
): Promise<Outcome> => {
	const {route, account} = admission;
	exchange.setTimeLimit(timeLimitOf(request, route));
	const holding = deps.heldBytes.open([`address ${req.socket.remoteAddress ?? ''}`, ...account ? [`account ${account.name}`] : []]);
	exchange.holdWith(holding);
	if (!holding.take(requestBytes)) {
		req.resume();
		return noMemory();
	}

	let body: Buffer | undefined;
	if (req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined) {
		const received = await receiveBody(req, exchange, {maxBytes: routes.config.limits.maxBodyBytes, holding});
		if ('status' in received) {
			return received;
		}

		body = received;
	}

	// If the caller disconnected while this process was busy, the end of its connection arrived right after the request.
	await waitForPendingInput();
	if (req.socket.readableEnded) {
		deps.onLeft();
		return createEarlyOutcome('caller-left', {ran: 'not-run', attempts: 0});
	}

	const service = routes.findService(deps.streams.serviceOf(request, route) ?? pickService(route, deps.random) ?? '');
	if (!service) {
		return reject(503, 'no-service', notReadyRetryMs);
	}

	const slot = deps.requestSlots.open(account ? [account.name] : []);
	if (!slot.take(1)) {
		return reject(503, 'no-descriptors', noMemoryRetryMs);
	}

	try {
		return await forwardRequest(deps, {
			request, body, route, service, account, exchange,
		});
	} finally {
		slot.release();
	}
};

/** What is known of a request while it is served. */
type RequestView = {
	request?: CallerRequest;
	admission?: Admission;
	configVersion?: number;
};

/** Reads, authorizes and serves a request. `view` gets what is found out about it. */
const admitAndServe = async (deps: CallerHandlerDeps, {req, res}: {req: IncomingMessage; res: ServerResponse}, exchange: CallerExchange, view: RequestView): Promise<Outcome> => {
	const routes = deps.routes();
	view.configVersion = routes?.config.version;
	view.request = deps.wire.readRequest(req.method ?? '', req.url ?? '', req.headers);
	if (deps.isAfterClose(res)) {
		return createEarlyOutcome('entry-closed', {ran: 'not-run', attempts: 0});
	}

	const authorized = view.request ? authorize(routes, view.request) : reject(400, 'no-request-id');
	const admission = isRejected(authorized) ? authorized : chargeAccount(deps, view.request!, authorized);
	if (!isRejected(authorized)) {
		view.admission = authorized;
	}

	if (isRejected(admission)) {
		// A connection that closes with its answer while the body still arrives is reset, and its caller may lose the answer.
		if (deps.isStopping() && !req.complete) {
			await discardBody(req, refusedBodyMs, exchange.signal);
		}

		req.resume();
		return admission;
	}

	const outcome = await serve(deps, view.request!, {
		req, exchange, routes: routes!, admission,
	});
	if (admission.charge) {
		settleCharge(admission.charge, outcome);
	}

	return outcome;
};

/** Turns an exception into an outcome: nothing is known about whether the request ran. */
const recoverFromException = (deps: CallerHandlerDeps, exchange: CallerExchange, error: unknown): Outcome => {
	deps.onError(error);
	// The body may not have been read.
	exchange.closeAfterAnswer();
	return createEarlyOutcome('internal-error', {ran: 'unknown', attempts: 0});
};

/** Handles one request of a caller from its head to its log line. */
export const handleCallerRequest = async (deps: CallerHandlerDeps, req: IncomingMessage, res: ServerResponse): Promise<void> => {
	const exchange = new CallerExchange(res, deps);

	const view: RequestView = {};
	const outcome = await admitAndServe(deps, {req, res}, exchange, view).catch((error: unknown) => recoverFromException(deps, exchange, error));
	const {request, admission, configVersion} = view;
	const {stoppingMs} = deps.stop;
	finishExchange(exchange, deps.wire, request?.id, outcome);
	deps.onEnd({
		id: request?.id ?? '',
		...admission && {route: admission.route.name, account: admission.account?.name},
		configVersion,
		...request && request.promptTokens > 0 && {promptTokens: request.promptTokens, maxOutputTokens: request.maxOutputTokens},
		...request?.lastEventId !== undefined && {resumedId: request.resumedId},
		tookMs: exchange.elapsedMs,
		...stoppingMs !== undefined && {stoppingMs: Math.round(stoppingMs)},
		...exchange.isBuffered && {isBuffered: true},
		outcome,
	});
};
