/**
 * What every attempt at an endpoint needs: its call, and the name of its failure.
 */
import type {AttemptCall, AttemptEnd} from './attempt.js';
import type {KnownEndpoint} from './endpoint-pool.js';
import type {AdmittedRequest, FailedAttempt, ForwardDeps} from './forward-types.js';
import type {AnswerHead, SendDetails} from './ports.js';

/** Status from which on an answer is an error of the endpoint. */
export const serverError = 500;

/** Names what an attempt met when it ended without a usable answer. */
export const describeFailure = (end: AttemptEnd, head: AnswerHead | undefined, {at, isLate}: {at: KnownEndpoint; isLate: boolean}): FailedAttempt => {
	if (head && (head.isFromOtherEndpoint || head.isNotRun)) {
		return {
			kind: 'failed', failure: 'refused', detail: `status ${head.status}`, at, isMisdirected: head.isFromOtherEndpoint,
		};
	}

	if (end.kind === 'not-sent') {
		return {
			kind: 'failed', failure: 'not-connected', detail: end.error.message, at, isDown: (end.error as NodeJS.ErrnoException).code === 'ECONNREFUSED',
		};
	}

	const detail = end.kind === 'broken' ? end.error.message : `status ${head?.status ?? 'none'}`;
	if (isLate) {
		return {
			kind: 'failed', failure: 'no-progress', detail, at,
		};
	}

	const failure = head && end.kind === 'complete' ? 'invalid-response' : 'connection-lost';
	return {
		kind: 'failed', failure, detail, at,
	};
};

/** Whether an answer belongs to the request and may be passed on. */
export const isOwnAnswer = (head: AnswerHead, {request}: AdmittedRequest): boolean =>
	(head.requestId === undefined ? head.status >= 300 : head.requestId === request.id) && (head.isSealed || head.status >= 300);

export const createCall = (deps: ForwardDeps, {request, body}: AdmittedRequest, details: SendDetails): AttemptCall => ({
	method: request.method,
	path: request.target,
	headers: deps.wire.writeRequest(request, details),
	...body && body.length > 0 && {body},
});

export const createDetails = ({account, exchange}: AdmittedRequest, known: KnownEndpoint, level: number | undefined): SendDetails => ({
	endpoint: known.endpoint,
	account: account?.name,
	remainingMs: Math.max(1, Math.floor(exchange.leftMs)),
	level,
});
