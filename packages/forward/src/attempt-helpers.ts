/**
 * What every attempt at an endpoint needs: its call, and the name of its failure.
 */
import type {EndpointCall, ExchangeEnd} from './endpoint-exchange.js';
import type {PooledEndpoint} from './endpoint-pool.js';
import type {AdmittedRequest, FailedAttempt, ForwardDeps} from './forward-types.js';
import type {AnswerHead, SendDetails} from './ports.js';

/** Status from which on an answer is an error of the endpoint. */
export const minServerErrorStatus = 500;

/** Names what an attempt met when it ended without a usable answer. */
export const classifyFailure = (end: ExchangeEnd, head: AnswerHead | undefined, {at, isLate}: {at: PooledEndpoint; isLate: boolean}): FailedAttempt => {
	if (head && (head.isOtherEndpoint || head.isNotRun)) {
		return {
			kind: 'failed', failure: 'refused', detail: `status ${head.status}`, failedAt: at, isMisdirected: head.isOtherEndpoint,
		};
	}

	if (end.kind === 'not-sent') {
		return {
			kind: 'failed', failure: 'not-connected', detail: end.error.message, failedAt: at, isDown: (end.error as NodeJS.ErrnoException).code === 'ECONNREFUSED',
		};
	}

	const detail = end.kind === 'broken' ? end.error.message : `status ${head?.status ?? 'none'}`;
	if (isLate) {
		return {
			kind: 'failed', failure: 'no-progress', detail, failedAt: at,
		};
	}

	const failure = head && end.kind === 'complete' ? 'invalid-response' : 'connection-lost';
	return {
		kind: 'failed', failure, detail, failedAt: at,
	};
};

/** Whether an answer belongs to the request and may be passed on. */
export const isAnswerToRequest = (head: AnswerHead, {request}: AdmittedRequest): boolean =>
	(head.requestId === undefined ? head.status >= 300 : head.requestId === request.id) && (head.isSealed || head.status >= 300);

export const createEndpointCall = (deps: ForwardDeps, {request, body}: AdmittedRequest, details: SendDetails): EndpointCall => ({
	method: request.method,
	path: request.target,
	headers: deps.wire.writeRequest(request, details),
	...body && body.length > 0 && {body},
});

export const createSendDetails = ({account, exchange}: AdmittedRequest, known: PooledEndpoint, level: number | undefined): SendDetails => ({
	endpoint: known.endpoint,
	account: account?.name,
	leftMs: Math.max(1, Math.floor(exchange.leftMs)),
	level,
});
