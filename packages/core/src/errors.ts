/**
 * Errors that reach a caller or another process. Each says whether the request ran, because a caller may repeat only
 * what certainly did not run.
 */
import ModernError from 'modern-errors';

/** Whether the endpoint may have executed the request. `not-run` is a promise. */
export type Ran = 'not-run' | 'ran' | 'unknown';

/** Base class of all errors that the project throws. */
export const BaseError = ModernError.subclass('BaseError');

const RequestErrorClass = BaseError.subclass('RequestError');

export type RequestErrorDetails = {
	readonly code: string;
	readonly ran: Ran;
	/** HTTP status for the caller. */
	readonly status?: number;
	/** Present where a later try can succeed. */
	readonly retryAfterMs?: number;
	/** Prompt tokens that wait at the agent that refused. */
	readonly queuedTokens?: number;
};

/** A request that got no answer from its endpoint, with what the caller has to know. */
export type RequestError = Error & RequestErrorDetails & {readonly status: number};

const defaultStatus = 500;

/** Creates the error that ends a request. */
export const createRequestError = (message: string, details: RequestErrorDetails, cause?: unknown): RequestError => {
	const properties = {status: defaultStatus, ...details};
	return new RequestErrorClass(message, {cause, props: properties});
};

/** Tells a request error from any other error. */
export const isRequestError = (value: unknown): value is RequestError => value instanceof RequestErrorClass;
