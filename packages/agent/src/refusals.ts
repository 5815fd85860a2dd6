/**
 * The errors with which an agent refuses work before anything reaches its endpoint.
 */
import {createRequestError, type RequestError} from '@hawthorncleat/core';

/** Time after which an endpoint that is changing or not answering may be tried again. */
export const unavailableRetryAfterMs = 1000;

export const overloaded = (retryAfterMs: number, queuedTokens?: number): RequestError =>
	createRequestError('the endpoint is full', {
		code: 'overloaded', ran: 'not-run', status: 429, retryAfterMs, ...(queuedTokens !== undefined && {queuedTokens}),
	});

export const unavailable = (code: string, message: string): RequestError =>
	createRequestError(message, {
		code, ran: 'not-run', status: 503, retryAfterMs: unavailableRetryAfterMs,
	});

/**
 * Rule `other-incarnation` of models/action-claim.pml: a message that another incarnation was meant to get. An action may
 * have run there.
 */
export const otherIncarnation = (isAction: boolean): RequestError =>
	createRequestError('addressed to another incarnation of this agent', {
		code: 'other-incarnation', ran: isAction ? 'unknown' : 'not-run', status: 503,
	});

export const unknownRequest = (): RequestError =>
	createRequestError('this agent does not have the request', {code: 'unknown-request', ran: 'unknown', status: 404});
