/**
 * Writes answers to callers: JSON, server-sent events and errors, with a bound on what a slow reader makes the entry
 * hold.
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {isRequestError, type RequestError} from '@hawthorncleat/core';
import {
	callerError, errorBody, isCallerErrorCode, retryAfterSeconds,
} from './caller-errors.js';

/** A whole answer that a caller has not taken after this time is dropped. */
const answerTakenMs = 30_000;

/** One caller's request and the way back to it. */
export type CallerConnection = {
	readonly req: IncomingMessage;
	readonly res: ServerResponse;
	/** Aborts when the caller has left before the end of its answer. */
	readonly left: AbortSignal;
};

/** Watches for a caller that leaves. */
export const watchCaller = (req: IncomingMessage, res: ServerResponse): CallerConnection => {
	const controller = new AbortController();
	res.once('close', () => {
		if (!res.writableFinished) {
			controller.abort(new Error('the caller has left'));
		}
	});
	res.on('error', () => {/* The close event follows. */});
	return {req, res, left: controller.signal};
};

const finish = (res: ServerResponse, body?: string | Uint8Array): void => {
	const timer = setTimeout(() => {
		res.destroy();
	}, answerTakenMs);
	timer.unref();
	res.once('close', () => {
		clearTimeout(timer);
	});
	res.end(body);
};

/** Sends a whole answer. */
export const sendAnswer = (
	res: ServerResponse,
	status: number,
	headers: Readonly<Record<string, string>>,
	body: string | Buffer,
): void => {
	if (res.destroyed || res.headersSent) {
		return;
	}

	res.writeHead(status, headers);
	finish(res, body);
};

export const sendJson = (res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void => {
	sendAnswer(res, status, {'content-type': 'application/json', ...headers}, JSON.stringify(body));
};

/** Turns any error into one of the caller interface, without details of the inside. */
export const toCallerError = (err: unknown): RequestError => {
	if (isRequestError(err) && isCallerErrorCode(err.code)) {
		return err;
	}

	return callerError('endpoint-failed', 'the request failed inside the entry', {cause: err});
};

/** Sends an error; the connection ends with it if the rest of the body was not read. */
export const sendError = ({req, res}: CallerConnection, err: RequestError): void => {
	const headers: Record<string, string> = {};
	if (err.retryAfterMs !== undefined) {
		headers['retry-after'] = retryAfterSeconds(err.retryAfterMs);
	}

	if (err.status === 401) {
		headers['www-authenticate'] = 'Bearer';
	}

	if (!req.complete) {
		headers.connection = 'close';
	}

	sendJson(res, err.status, errorBody(err), headers);
};

/** A stream of server-sent events that drops a caller that reads too slowly. */
export class EventStream {
	readonly #res: ServerResponse;
	readonly #maxUnsentBytes: number;

	constructor(res: ServerResponse, maxUnsentBytes: number) {
		this.#res = res;
		this.#maxUnsentBytes = maxUnsentBytes;
	}

	get isStarted(): boolean {
		return this.#res.headersSent;
	}

	send(value: unknown): void {
		this.#write(`data: ${JSON.stringify(value)}\n\n`);
	}

	/** Ends a complete answer. */
	done(): void {
		this.#write('data: [DONE]\n\n');
		this.#end();
	}

	/** Ends an answer that could not be completed. */
	fail(err: RequestError): void {
		this.#write(`event: error\ndata: ${JSON.stringify(errorBody(err))}\n\n`);
		this.#end();
	}

	#write(text: string): void {
		const res = this.#res;
		if (res.destroyed || res.writableEnded) {
			return;
		}

		if (!res.headersSent) {
			res.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
		}

		res.write(text);
		if (res.writableLength > this.#maxUnsentBytes) {
			res.destroy(new Error('the caller reads too slowly'));
		}
	}

	#end(): void {
		if (!this.#res.destroyed) {
			finish(this.#res);
		}
	}
}
