/**
 * The HTTP server for callers.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import findMyWay from 'find-my-way';
import {callerError} from './caller-errors.js';
import {toCallerError, watchCaller} from './caller-connection.js';
import type {CallerContext, IncomingCall} from './caller-context.js';
import {bearerKey, refuseKeyInUrl} from './caller-headers.js';
import {answerFailure, handleCompletion, handleModelList} from './model-handler.js';
import {readBody} from './request-body.js';
import {handleServiceCall} from './service-handler.js';

type Handler = (call: IncomingCall, context: CallerContext) => Promise<void>;
type CallKind = 'completion' | 'chat' | 'models' | 'service';

const handlers: Readonly<Record<CallKind, Handler>> = {
	completion: async (call, context) => handleCompletion('completion', call, context),
	chat: async (call, context) => handleCompletion('chat', call, context),
	models: handleModelList,
	service: handleServiceCall,
};

const parseUrl = (target: string | undefined): URL => {
	if (!target?.startsWith('/')) {
		throw callerError('bad-request', 'the request target must be a path');
	}

	try {
		return new URL(`http://entry${target}`);
	} catch (error) {
		throw callerError('bad-request', 'the request target is not a valid path', {cause: error});
	}
};

const receive = (req: IncomingMessage, res: ServerResponse, context: CallerContext, makeId: () => string): IncomingCall => {
	const connection = watchCaller(req, res);
	context.connections.add(res);
	const span = context.telemetry.startSpan('entry.request', String(req.headers.traceparent ?? ''));
	const receivedMs = context.clock.nowMs();
	const key = bearerKey(req.headers.authorization);
	return {
		requestId: makeId(), connection, url: new URL('http://entry/'), key, span, receivedMs,
	};
};

/** A connection that closes while its request is still arriving is reset, and the refusal is lost; so the body is read first. */
const refuseWhileDraining = async (req: IncomingMessage, {running, bodyLimits}: CallerContext): Promise<void> => {
	if (running.isDraining) {
		await readBody(req, bodyLimits).catch(() => {/* The refusal follows all the same. */});
		running.refuseWhileDraining();
	}
};

const serve = async (kind: CallKind, call: IncomingCall, context: CallerContext): Promise<void> => {
	const {connection, key, span, receivedMs} = call;
	let code = 'ok';
	try {
		await refuseWhileDraining(connection.req, context);
		const url = parseUrl(connection.req.url);
		refuseKeyInUrl(url, key);
		await handlers[kind]({...call, url}, context);
	} catch (error) {
		code = connection.left.aborted ? 'caller-left' : toCallerError(error).code;
		answerFailure(connection, error);
	}

	context.metrics.requests.inc({kind, code});
	context.metrics.duration.observe({kind}, (context.clock.nowMs() - receivedMs) / 1000);
	span.setAttributes({'hawthorncleat.outcome': code});
	span.end(code === 'ok' ? undefined : code);
};

/** Creates the server; the caller listens and closes. */
export const createCallerServer = (context: CallerContext, makeId: () => string): Server => {
	const handle = (kind: CallKind) => (req: IncomingMessage, res: ServerResponse): void => {
		const call = receive(req, res, context, makeId);
		void context.running.track(async () => serve(kind, call, context));
	};

	const router = findMyWay({
		defaultRoute: handle('service'), onBadUrl(_path, req, res) {
			handle('service')(req, res);
		},
	});
	router.on('POST', '/v1/completions', handle('completion'));
	router.on('POST', '/v1/chat/completions', handle('chat'));
	router.on('GET', '/v1/models', handle('models'));
	const server = createServer((req, res) => {
		router.lookup(req, res);
	});
	// The entry's own limit for a body is shorter; this one covers slow headers.
	server.headersTimeout = 10_000;
	// By default Node.js drops all headers after the first thousand without an error. The size of a head is limited instead.
	server.maxHeadersCount = 0;
	return server;
};
