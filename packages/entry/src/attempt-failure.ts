/**
 * What an attempt's failure means for the retry rules and for the caller.
 */
import {Buffer} from 'node:buffer';
import {
	isRequestError, type FailureKind, type Ran, type RequestError,
} from '@hawthorncleat/core';
import {maxLineBytes} from '@hawthorncleat/wire';
import {callerError} from './caller-errors.js';

/** One failed attempt. */
export type AttemptFailure = {
	readonly kind: FailureKind;
	readonly ran: Ran;
	/** Code of the agent's refusal, or of the failure. */
	readonly code: string;
	readonly retryAfterMs?: number;
	/** Prompt tokens that wait at the agent that refused. */
	readonly queuedTokens?: number;
};

/** Room in a line for the method, the id and the punctuation around the parameters. */
const envelopeBytes = 1024;
/** JSON writes a control character in six bytes. */
const maxEscapedBytes = 6;

/** Classifies the error of a call to an agent. Whatever is not certain to have no effect counts as unknown. */
export const classifyCallError = (err: unknown): AttemptFailure => {
	if (!isRequestError(err)) {
		return {kind: 'invalid-response', ran: 'unknown', code: 'invalid-response'};
	}

	const {code, ran, retryAfterMs, queuedTokens} = err;
	if (code === 'connection-closed') {
		return {kind: 'not-connected', ran: 'not-run', code};
	}

	if (ran === 'not-run') {
		return {
			kind: 'refused',
			ran,
			code,
			...(retryAfterMs !== undefined && {retryAfterMs}),
			...(queuedTokens !== undefined && {queuedTokens}),
		};
	}

	// An agent's own words are not checked by the wire layer.
	return ran === 'ran'
		? {kind: 'service-error', ran, code}
		: {kind: 'connection-lost', ran: 'unknown', code: String(code)};
};

const lossCodes: ReadonlySet<string> = new Set(['connection-lost', 'connection-closed']);

/** Whether a call failed because its connection ended, so that it may be made again on the next one. */
export const isConnectionLoss = (err: unknown): boolean => lossCodes.has(classifyCallError(err).code);

/** What is known after several attempts: one that may have run outweighs those that did not. */
export const combineRan = (a: Ran, b: Ran): Ran => {
	if (a === 'ran' || b === 'ran') {
		return 'ran';
	}

	return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not-run';
};

const isTimeout = (failure: AttemptFailure): boolean =>
	failure.kind === 'no-progress' || failure.code === 'call-timeout';

/** The final answer of a request that is given up. */
export const giveUp = (failure: AttemptFailure | undefined, ran: Ran, retryAfterMs: number): RequestError => {
	if (!failure) {
		return callerError('no-endpoint', 'no endpoint can take the request', {retryAfterMs});
	}

	if (ran === 'not-run') {
		const code = failure.code === 'overloaded' ? 'overloaded' : 'no-endpoint';
		const laterMs = failure.retryAfterMs ?? retryAfterMs;
		return callerError(code, 'no endpoint took the request', {retryAfterMs: laterMs});
	}

	const code = isTimeout(failure) ? 'endpoint-timeout' : 'endpoint-failed';
	return callerError(code, `the endpoint gave no whole answer (${failure.kind})`, {ran, retryAfterMs});
};

/**
 * Tells whether a message fits the line length of the wire. The agent closes the connection at a longer line, which
 * would cost all other requests on it.
 */
export const fitsLine = (params: unknown, textLength: number): boolean => {
	const limit = maxLineBytes - envelopeBytes;
	if (textLength * maxEscapedBytes < limit / 2) {
		return true;
	}

	return Buffer.byteLength(JSON.stringify(params)) <= limit;
};
