/**
 * All other paths of the caller interface: calls of plain services.
 */
import {Buffer} from 'node:buffer';
import type {ServiceCallResult} from '@hawthorncleat/schema';
import {actionDigest, readIdempotencyKey, runAction} from './action-request.js';
import {authorize, type Caller} from './authorize.js';
import {callerError} from './caller-errors.js';
import {sendAnswer} from './caller-connection.js';
import type {CallerContext, IncomingCall} from './caller-context.js';
import {
	forwardedHeaders, refuseAmbiguousPath, refuseKeyInBody, returnedToCaller,
} from './caller-headers.js';
import {fingerprintOf} from './model-handler.js';
import {readBody} from './request-body.js';
import {runServiceRequest, type ServiceRequest} from './service-request.js';

/** Bodies of a service are charged like prompts, at four bytes a token. */
const bytesPerToken = 4;

const run = async (call: IncomingCall, request: ServiceRequest, context: CallerContext): Promise<ServiceCallResult> => {
	const {left, req} = call.connection;
	if (!request.route.route.action) {
		return runServiceRequest(request, context, left);
	}

	const key = readIdempotencyKey(req.headers['idempotency-key']);
	return runAction(request, key, {
		claims: context.claims,
		dispatch: async claimed => runServiceRequest(claimed, context, left),
		checkAgain() {
			if (left.aborted) {
				throw callerError('bad-request', 'the caller left before the action was sent');
			}

			authorize(request.route, call.key, context);
		},
		inBackground(work) {
			void context.running.track(async () => work).catch(() => {/* The claim then stays in doubt. */});
		},
		retryAfterMs: context.retryAfterMs,
	});
};

const buildRequest = (call: IncomingCall, caller: Caller, route: ServiceRequest['route'], body: Buffer): ServiceRequest => {
	const method = call.connection.req.method ?? 'GET';
	const path = call.url.pathname + call.url.search;
	const digest = Buffer.from(actionDigest({method, path, body}));
	return {
		requestId: call.requestId,
		clientAccount: caller.name,
		route,
		fingerprint: fingerprintOf(caller.name, route.route.name, digest),
		traceparent: call.span.traceparent,
		admittedMs: call.receivedMs,
		method,
		path,
		headers: forwardedHeaders(call.connection.req.headers, route.route.headers ?? [], call.key),
		body,
	};
};

const findRoute = (call: IncomingCall, context: CallerContext): ServiceRequest['route'] => {
	const route = context.config.current().findServiceRoute(call.connection.req.method ?? 'GET', call.url.pathname);
	if (!route) {
		throw callerError('route-unknown', 'no such route');
	}

	return route;
};

/** Handles a call of a plain service. */
export const handleServiceCall = async (call: IncomingCall, context: CallerContext): Promise<void> => {
	refuseAmbiguousPath(call.url);
	const route = findRoute(call, context);
	authorize(route, call.key, context);
	if (route.route.action) {
		readIdempotencyKey(call.connection.req.headers['idempotency-key']);
	}

	const body = await readBody(call.connection.req, context.bodyLimits);
	refuseKeyInBody(body, call.key);
	// The configuration may have changed while the body arrived.
	const currentRoute = findRoute(call, context);
	const caller = authorize(currentRoute, call.key, context);
	const tokens = 1 + Math.ceil(body.length / bytesPerToken);
	const admission = context.limits.admit(caller, tokens);
	try {
		const answer = await run(call, buildRequest(call, caller, currentRoute, body), context);
		context.usage.record(caller.name, {promptTokens: 0, outputTokens: 0, serviceCalls: 1});
		const headers = returnedToCaller(answer.headers);
		sendAnswer(call.connection.res, answer.status, headers, Buffer.from(answer.bodyBase64, 'base64'));
	} finally {
		admission.release(0);
	}
};
