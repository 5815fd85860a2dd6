/**
 * Errors that are returned to a caller or to another process. Each states whether the request ran, because a request that
 * is not idempotent may be repeated only if it certainly did not run.
 */
import ModernError from 'modern-errors';

/** Whether the endpoint executed the request. `not-run` is used only if the request certainly did not run. */
export type Ran = 'not-run' | 'ran' | 'unknown';

/** Base class of the errors that this project throws. */
export const BaseError = ModernError.subclass('BaseError');

const RequestErrorClass = BaseError.subclass('RequestError');

export type RequestErrorDetails = {
	readonly code: string;
	readonly ran: Ran;
	/** HTTP status of the response to the caller. */
	readonly status?: number;
	/** Present if a later retry can succeed. */
	readonly retryAfterMs?: number;
	/** Prompt tokens in the queue of the agent that rejected the request. */
	readonly queuedTokens?: number;
};

/** The error of a request that got no answer from its endpoint, with the details for the caller. */
export type RequestError = Error & RequestErrorDetails & {readonly status: number};

const defaultStatus = 500;

/** Creates the error with which a request fails. */
export const createRequestError = (message: string, details: RequestErrorDetails, cause?: unknown): RequestError => {
	const properties = {status: defaultStatus, ...details};
	return new RequestErrorClass(message, {cause, props: properties});
};

export const isRequestError = (value: unknown): value is RequestError => value instanceof RequestErrorClass;
