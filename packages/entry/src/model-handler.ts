/**
 * The two model paths of the caller interface and the list of models.
 */
import {createHash} from 'node:crypto';
import {brandAs, type Fingerprint} from '@hawthorncleat/core';
import {authenticate, authorize, type Caller} from './authorize.js';
import {callerError} from './caller-errors.js';
import {
	EventStream, sendError, sendJson, toCallerError, type CallerConnection,
} from './caller-connection.js';
import {refuseKeyInBody} from './caller-headers.js';
import type {CallerContext, IncomingCall} from './caller-context.js';
import {
	endEvents,
	estimateTokens,
	modelList,
	readCompletionRequest,
	tokenEvent,
	wholeAnswer,
	type AnswerEnd,
	type AnswerHead,
	type CompletionKind,
	type CompletionRequest,
} from './completion-format.js';
import {runModelRequest, type ModelRequest} from './model-request.js';
import {parseJsonObject, readBody} from './request-body.js';

/** Hash of account, route and body, by which a request that crashes engines is recognised. */
export const fingerprintOf = (account: string, route: string, body: Uint8Array): Fingerprint => {
	const hash = createHash('sha256').update(`${JSON.stringify([account, route])}\n`).update(body);
	return brandAs<Fingerprint>(hash.digest('hex'));
};

const endOfRun = async (
	call: IncomingCall,
	request: ModelRequest,
	onTokens: (tokens: readonly string[]) => void,
	context: CallerContext,
): Promise<AnswerEnd> => {
	const {metrics} = context;
	let outputTokens = 0;
	const deadline = new AbortController();
	const timer = setTimeout(() => {
		deadline.abort(callerError('endpoint-timeout', 'the answer took too long', {retryAfterMs: context.timings.retryAfterMs}));
	}, request.route.route.timeoutMs);
	const countTokens = (tokens: readonly string[]): void => {
		if (outputTokens === 0) {
			metrics.firstToken.observe((context.clock.nowMs() - request.admittedMs) / 1000);
		}

		outputTokens += tokens.length;
		metrics.tokens.inc(tokens.length);
		onTokens(tokens);
	};

	try {
		const signal = AbortSignal.any([call.connection.left, deadline.signal]);
		const end = await runModelRequest(request, countTokens, context, signal);
		context.usage.record(request.clientAccount, {promptTokens: end.promptTokens, outputTokens, serviceCalls: 0});
		return end;
	} catch (error) {
		// A caller that leaves pays for the tokens that it was sent; other unfinished answers are not billed.
		if (call.connection.left.aborted && outputTokens > 0) {
			context.usage.record(request.clientAccount, {promptTokens: 0, outputTokens, serviceCalls: 0});
		}

		throw error;
	} finally {
		clearTimeout(timer);
	}
};

const streamAnswer = async (
	call: IncomingCall,
	asked: CompletionRequest,
	request: ModelRequest,
	context: CallerContext,
): Promise<AnswerEnd> => {
	const events = new EventStream(call.connection.res, context.timings.maxUnsentBytes);
	const head = answerHead(asked, request, context);
	const sendTokens = (tokens: readonly string[]): void => {
		events.send(tokenEvent(asked.kind, head, tokens.join(''), !events.isStarted));
	};

	try {
		const end = await endOfRun(call, request, sendTokens, context);
		for (const event of endEvents(asked.kind, head, end, asked.includeUsage)) {
			events.send(event);
		}

		events.done();
		return end;
	} catch (error) {
		if (events.isStarted) {
			events.fail(toCallerError(error));
		}

		throw error;
	}
};

const answerWhole = async (
	call: IncomingCall,
	asked: CompletionRequest,
	request: ModelRequest,
	context: CallerContext,
): Promise<AnswerEnd> => {
	const parts: string[] = [];
	const end = await endOfRun(call, request, tokens => {
		parts.push(...tokens);
	}, context);
	const head = answerHead(asked, request, context);
	sendJson(call.connection.res, 200, wholeAnswer(asked.kind, head, parts.join(''), end));
	return end;
};

const answerHead = (asked: CompletionRequest, request: ModelRequest, context: CallerContext): AnswerHead => ({
	id: `${asked.kind === 'chat' ? 'chatcmpl' : 'cmpl'}-${request.requestId}`,
	created: Math.floor(context.wallClock.nowMs() / 1000),
	model: asked.model,
});

const admitRequest = (
	call: IncomingCall,
	asked: CompletionRequest,
	body: Uint8Array,
	context: CallerContext,
): {request: ModelRequest; caller: Caller} => {
	const route = context.config.current().findModelRoute(asked.model);
	if (!route) {
		throw callerError('model-unknown', 'no such model');
	}

	const caller = authorizeModel(call, route, context);
	const request = {
		requestId: call.requestId,
		clientAccount: caller.name,
		route,
		fingerprint: fingerprintOf(caller.name, route.route.name, body),
		traceparent: call.span.traceparent,
		admittedMs: call.receivedMs,
		weight: caller.account?.weight ?? 1,
		prompt: asked.prompt,
		maxTokens: asked.maxTokens,
		tokens: estimateTokens(asked.prompt) + asked.maxTokens,
	};
	return {request, caller};
};

const authorizeModel = (call: IncomingCall, route: Parameters<typeof authorize>[0], context: CallerContext): Caller => {
	try {
		return authorize(route, call.key, context);
	} catch (error) {
		const err = toCallerError(error);
		throw err.code === 'route-unknown' ? callerError('model-unknown', 'no such model') : err;
	}
};

/** Handles `POST /v1/completions` and `POST /v1/chat/completions`. */
export const handleCompletion = async (kind: CompletionKind, call: IncomingCall, context: CallerContext): Promise<void> => {
	// A key that is no good is refused before its caller can make the entry hold a body.
	if (call.key !== undefined) {
		authenticate(call.key, context);
	}

	const body = await readBody(call.connection.req, context.bodyLimits);
	refuseKeyInBody(body, call.key);
	const asked = readCompletionRequest(kind, parseJsonObject(body));
	const {request, caller} = admitRequest(call, asked, body, context);
	const admission = context.limits.admit(caller, request.tokens);
	let usedTokens = 0;
	try {
		const answer = asked.stream ? streamAnswer : answerWhole;
		const end = await answer(call, asked, request, context);
		usedTokens = end.promptTokens + end.outputTokens;
	} finally {
		admission.release(request.tokens - usedTokens);
	}
};

/** Handles `GET /v1/models`: the models that this caller may use. */
export const handleModelList = async (call: IncomingCall, context: CallerContext): Promise<void> => {
	const account = call.key === undefined ? undefined : authenticate(call.key, context);
	const routes = context.config.current().listModelRoutes().filter(({route, accounts}) =>
		route.access === 'open' || (account !== undefined && (accounts?.has(account.name) ?? true)));
	if (routes.length === 0 && account === undefined) {
		authenticate(undefined, context);
	}

	sendJson(call.connection.res, 200, modelList(routes.map(({route}) => route.name)));
};

/** Answers a call with its error unless its answer has begun. */
export const answerFailure = (connection: CallerConnection, err: unknown): void => {
	if (!connection.res.headersSent && !connection.res.destroyed) {
		sendError(connection, toCallerError(err));
	}
};
