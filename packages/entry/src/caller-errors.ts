/**
 * The errors of the caller interface: code, status and whether the request ran.
 */
import {createRequestError, type Ran, type RequestError} from '@hawthorncleat/core';

const errorTable = {
	'bad-request': {status: 400, ran: 'not-run'},
	'body-too-large': {status: 413, ran: 'not-run'},
	'idempotency-key-missing': {status: 400, ran: 'not-run'},
	'key-missing': {status: 401, ran: 'not-run'},
	'key-unknown': {status: 401, ran: 'not-run'},
	'key-withdrawn': {status: 401, ran: 'not-run'},
	'route-unknown': {status: 404, ran: 'not-run'},
	'model-unknown': {status: 404, ran: 'not-run'},
	'account-rate-limited': {status: 429, ran: 'not-run'},
	overloaded: {status: 429, ran: 'not-run'},
	'no-endpoint': {status: 503, ran: 'not-run'},
	'freshness-lost': {status: 503, ran: 'not-run'},
	'claims-unavailable': {status: 503, ran: 'not-run'},
	draining: {status: 503, ran: 'not-run'},
	'action-in-doubt': {status: 409, ran: 'unknown'},
	'action-already-ran': {status: 409, ran: 'ran'},
	'idempotency-key-reused': {status: 422, ran: 'not-run'},
	'request-quarantined': {status: 422, ran: 'not-run'},
	'endpoint-failed': {status: 502, ran: 'unknown'},
	'endpoint-timeout': {status: 504, ran: 'unknown'},
} as const satisfies Record<string, {status: number; ran: Ran}>;

/** A code of the caller interface. */
export type CallerErrorCode = keyof typeof errorTable;

type Details = {readonly ran?: Ran; readonly retryAfterMs?: number; readonly cause?: unknown};

/** Creates an error of the table; only codes that do not always run alike take another `ran`. */
export const callerError = (code: CallerErrorCode, message: string, details: Details = {}): RequestError => {
	const {status, ran} = errorTable[code];
	const properties = {code, status, ran: details.ran ?? ran};
	return createRequestError(
		message,
		details.retryAfterMs === undefined ? properties : {...properties, retryAfterMs: details.retryAfterMs},
		details.cause,
	);
};

/** Tells whether an error already has a code of the caller interface. */
export const isCallerErrorCode = (code: string): code is CallerErrorCode => Object.hasOwn(errorTable, code);

/** The JSON body of an error answer. */
export const errorBody = (err: RequestError): {error: Record<string, unknown>} => {
	const {code, message, ran, retryAfterMs} = err;
	return {
		error: retryAfterMs === undefined
			? {code, message, ran}
			: {
				code, message, ran, retryAfterMs,
			},
	};
};

/** Value of `Retry-After` in whole seconds, rounded up. */
export const retryAfterSeconds = (retryAfterMs: number): string => String(Math.max(1, Math.ceil(retryAfterMs / 1000)));
