/**
 * Stand-in for a plain service. GET and HEAD are lookups without effect; every other method places an order. The history
 * records which orders took effect, with the headers of each call.
 */
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {createHistory, type History, type RecordFields} from '../history.js';
import {
	dropConnection, sendJson, startHttpServer, type Exchange, type Handler,
} from '../http-server.js';

export type ServiceCall = {
	readonly method: string;
	readonly path: string;
	readonly headers: IncomingHttpHeaders;
	readonly body: string;
	/** Value of `idempotency-key`, else of `x-action-id`. */
	readonly actionId: string | undefined;
};

/** How the service answers one call. Without any fields, it answers at once with status 200. */
export type ServiceBehaviour = {
	/** Delay before the order takes effect. */
	readonly delayBeforeMs?: number;
	/** Delay between the effect and the answer. */
	readonly delayAfterMs?: number;
	readonly status?: number;
	/** Whether the call takes effect; by default it does if the status is below 500. */
	readonly effect?: boolean;
	/** Resets the connection before or after the order takes effect, instead of answering. */
	readonly drop?: 'before-effect' | 'after-effect';
};

/** A call is recorded on arrival (`received`), at its effect (`lookup` or `order`) and after its answer (`answered`). */
export type ServiceEvent
	= | {readonly kind: 'received' | 'lookup' | 'order'; readonly call: ServiceCall}
		| {readonly kind: 'answered'; readonly call: ServiceCall; readonly status: number};

export type ServiceRecord = ServiceEvent & RecordFields;

export type PlainServiceOptions = {
	readonly address?: string;
	readonly port?: number;
	/** Chooses how each call is answered; `callNumber` counts from 1. */
	readonly chooseBehaviour?: (call: ServiceCall, callNumber: number) => ServiceBehaviour;
};

/** A running plain service stand-in. */
export type PlainServiceStandIn = {
	readonly port: number;
	readonly url: string;
	readonly history: readonly ServiceRecord[];
	/** Resolves once `signal` has aborted and every connection is closed. */
	readonly closed: Promise<void>;
	/** Drops all connections and refuses new ones until `restart`. */
	stop(): void;
	restart(): Promise<void>;
};

const lookupMethods = new Set(['GET', 'HEAD']);
const defaultStatus = 200;
const firstServerErrorStatus = 500;

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

const sendAnswer = (res: ServerResponse, call: ServiceCall, status: number, sequence: number): void => {
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

	const hasEffect = behaviour.effect ?? status < firstServerErrorStatus;
	const kind = lookupMethods.has(call.method) ? 'lookup' : 'order';
	const sequence = hasEffect ? history.append({kind, call}).sequence : 0;
	await delay(behaviour.delayAfterMs ?? 0);
	if (behaviour.drop === 'after-effect') {
		dropConnection(req);
		return;
	}

	sendAnswer(res, call, status, sequence);
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

/** Starts the plain service stand-in. It runs until `signal` aborts. */
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
