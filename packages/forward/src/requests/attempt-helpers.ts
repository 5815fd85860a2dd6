/**
 * Shared by all exchanges with an endpoint: builds the call, checks that an answer belongs to the request, and classifies
 * a failure.
 */
import {
	brandAs, type FailureKind, type ForwardRoute, type RatePlace, type SegmentKey,
} from '@hawthorncleat/core';
import type {EndpointCall, ExchangeEnd, ExchangeLimits} from '../endpoints/endpoint-exchange.js';
import type {PooledEndpoint} from '../endpoints/endpoint-pool.js';
import type {AnswerHead, CallerRequest, SendDetails} from '../ports.js';
import type {AdmittedRequest} from './admitted-request.js';
import type {FailedAttempt, SupersededAttempt} from './attempt-result.js';
import type {ForwardDeps} from './forward-deps.js';

/** Lowest status that is an error of the endpoint. */
export const minServerErrorStatus = 500;

/** HTTP has no higher status. */
const maxStatus = 599;

/** Whether a request of the route may run more than once. */
export const isRepeatable = ({kind, isResumable}: ForwardRoute): boolean => kind === 'idempotent' || (kind === 'stream' && isResumable);

/** Whether an endpoint has certainly not run the request of a failed attempt. */
export const isNotRunFailure = (failure: FailureKind): boolean => failure === 'not-connected' || failure === 'refused';

/** Result of an exchange that was ended because another attempt of the request delivered first. */
export const createSuperseded = (end: ExchangeEnd, head: AnswerHead | undefined): SupersededAttempt => {
	const wasSent = end.kind !== 'not-sent';
	return {kind: 'superseded', wasSent, mayHaveRun: wasSent && !head?.isNotRun && !head?.isFromOtherEndpoint};
};

/** Classifies an exchange that ended without a usable answer. `hasTimedOut`: a time limit of the call ended it. */
export const classifyFailure = (end: ExchangeEnd, head: AnswerHead | undefined, {failedAt, hasTimedOut = false}: {failedAt: PooledEndpoint; hasTimedOut?: boolean}): FailedAttempt => {
	if (head && (head.isFromOtherEndpoint || head.isNotRun)) {
		return {
			kind: 'failed', failure: 'refused', detail: `status ${head.status}`, failedAt, isMisdirected: head.isFromOtherEndpoint, retryAfterMs: head.retryAfterMs,
		};
	}

	if (end.kind === 'not-sent') {
		return {
			kind: 'failed',
			failure: 'not-connected',
			detail: end.error.message,
			failedAt,
			isDown: (end.error as NodeJS.ErrnoException).code === 'ECONNREFUSED',
			isWithdrawn: end.isWithdrawn,
			isQueueFull: end.isQueueFull,
		};
	}

	const detail = end.kind === 'broken' ? end.error.message : `status ${head?.status ?? 'none'}`;
	if (hasTimedOut) {
		return {
			kind: 'failed', failure: 'no-progress', detail, failedAt,
		};
	}

	const failure = head && end.kind === 'complete' ? 'invalid-response' : 'connection-lost';
	return {
		kind: 'failed', failure, detail, failedAt, retryAfterMs: head?.retryAfterMs,
	};
};

/**
 * Whether an answer belongs to the request and may be relayed. A success must bear the id of the request and the seal of
 * the endpoint; any other status may lack both, but must not bear another id.
 */
export const isAnswerToRequest = (head: AnswerHead, {request}: AdmittedRequest): boolean =>
	head.status <= maxStatus && (head.requestId === undefined ? head.status >= 300 : head.requestId === request.id) && (head.isSealed || head.status >= 300);

/** What is known of a call before it is sent. */
export type CallDetails = Omit<SendDetails, 'remainingMs'>;

export const createEndpointCall = (deps: ForwardDeps, {request, body, exchange, account}: AdmittedRequest, details: CallDetails): EndpointCall => ({
	method: request.method,
	path: request.target,
	headers: () => deps.wire.writeRequest(request, {...details, remainingMs: Math.max(1, Math.floor(exchange.remainingMs))}),
	account: account?.name,
	...body && body.length > 0 && {body},
});

/** Limits of a new request for an endpoint: it is not written once the endpoint has begun to leave or wants no requests, nor beyond the limit that it names. */
export const createRequestLimits = (
	{pool, clock}: Pick<ForwardDeps, 'clock' | 'pool'>,
	{target, place}: {readonly target: PooledEndpoint; readonly place: RatePlace},
	signal: AbortSignal,
): ExchangeLimits => ({
	signal, withdrawal: target.withdrawal.signal, maySend: () => pool.maySend(target) && place.confirm(clock.nowMs()),
});

export const createSendDetails = ({account}: AdmittedRequest, target: PooledEndpoint, level: number | undefined): CallDetails => ({
	endpoint: target.endpoint,
	account: account?.name,
	level,
});
