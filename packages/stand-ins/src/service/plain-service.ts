/**
 * Stand-in for a plain service: GET and HEAD look something up, every other method places an order. Its history tells
 * which orders ran, with all headers received.
 */
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createHistory, type History, type RecordFields} from '../history.js';
import {
	dropConnection, sendJson, startHttpServer, type Exchange, type Handler,
} from '../http-server.js';

/** One received call. */
export type ServiceCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	/** Value of `idempotency-key`, else of `x-action-id`. */
	readonly actionId: string | undefined;
};

/** How one call is answered; absent fields mean a prompt, whole answer. */
export type ServiceBehaviour = {
	/** Wait before the order takes effect. */
	readonly delayBeforeMs?: number;
	/** Wait between effect and answer. */
	readonly delayAfterMs?: number;
	/** Status of the answer; from 500 the order has no effect unless `effect` is true. */
	readonly status?: number;
	readonly effect?: boolean;
	/** Closes the connection before the order takes effect, or after it. */
	readonly drop?: 'before-effect' | 'after-effect';
};

/** `lookup` and `order` are recorded when they take effect, `received` on arrival, `answered` after the answer. */
export type ServiceEvent
	= | {readonly kind: 'received' | 'lookup' | 'order'; readonly call: ServiceCall}
		| {readonly kind: 'answered'; readonly call: ServiceCall; readonly status: number};

export type ServiceRecord = ServiceEvent & RecordFields;

export type PlainServiceOptions = {
	readonly address?: string;
	readonly port?: number;
	/** Chooses the behaviour of each call; `callNumber` counts from 1. */
	readonly chooseBehaviour?: (call: ServiceCall, callNumber: number) => ServiceBehaviour;
};

/** A running plain service. */
export type PlainServiceStandIn = {
	readonly port: number;
	readonly url: string;
	readonly history: readonly ServiceRecord[];
	/** Settles after `signal` aborted and every connection was closed. */
	readonly closed: Promise<void>;
	/** Drops all connections and refuses new ones until `comeBack`. */
	stop(): void;
	restart(): Promise<void>;
};

const lookupMethods = new Set(['GET', 'HEAD']);
const defaultStatus = 200;
const firstErrorStatus = 500;

const readHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
	const value = headers[name];
	return Array.isArray(value) ? value[0] : value;
};

const createCall = ({req, body}: Exchange): ServiceCall => ({
	method: req.method ?? 'GET',
	path: req.url ?? '/',
	headers: req.headers,
	body,
	actionId: readHeader(req.headers, 'idempotency-key') ?? readHeader(req.headers, 'x-action-id'),
});

const answer = (res: ServerResponse, call: ServiceCall, status: number, sequence: number): void => {
	if (call.method === 'HEAD') {
		res.writeHead(status).end();
		return;
	}

	const isLookup = lookupMethods.has(call.method);
	sendJson(res, status, isLookup ? {found: call.path} : {order: sequence, received: call.body});
};

const handleCall = async (history: History<ServiceEvent>, exchange: Exchange, call: ServiceCall, behaviour: ServiceBehaviour): Promise<void> => {
	const {req, res} = exchange;
	const status = behaviour.status ?? defaultStatus;
	history.append({kind: 'received', call});
	await delay(behaviour.delayBeforeMs ?? 0);
	if (behaviour.drop === 'before-effect') {
		dropConnection(req);
		return;
	}

	const hasEffect = behaviour.effect ?? status < firstErrorStatus;
	const kind = lookupMethods.has(call.method) ? 'lookup' : 'order';
	const sequence = hasEffect ? history.append({kind, call}).sequence : 0;
	await delay(behaviour.delayAfterMs ?? 0);
	if (behaviour.drop === 'after-effect') {
		dropConnection(req);
		return;
	}

	answer(res, call, status, sequence);
	history.append({kind: 'answered', call, status});
};

const createServiceHandler = (history: History<ServiceEvent>, options: PlainServiceOptions): Handler => {
	let callNumber = 0;
	return async exchange => {
		const call = createCall(exchange);
		callNumber += 1;
		await handleCall(history, exchange, call, options.chooseBehaviour?.(call, callNumber) ?? {});
	};
};

/** Starts the plain service. It runs until `signal` aborts. */
export const startPlainService = async (options: PlainServiceOptions, signal: AbortSignal): Promise<PlainServiceStandIn> => {
	const history = createHistory<ServiceEvent>();
	const handler = createServiceHandler(history, options);
	const server = await startHttpServer({
		address: options.address,
		port: options.port,
		routes: [[['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'], '*', handler]],
	}, signal);
	return {
		port: server.port,
		url: server.url,
		history: history.records,
		stop: server.stop,
		restart: server.restart,
		closed: server.closed,
	};
};
