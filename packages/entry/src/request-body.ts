/**
 * Reads the body of a caller's request within limits of size and time.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {callerError} from './caller-errors.js';

type BodyLimits = {readonly maxBodyBytes: number; readonly bodyTimeoutMs: number};

const tooLarge = (limit: number): Error => callerError('body-too-large', `the body is larger than ${limit} bytes`);

const collect = async (req: IncomingMessage, limit: number, signal: AbortSignal): Promise<Buffer> => {
	const chunks: Buffer[] = [];
	let bytes = 0;
	return new Promise((resolve, reject) => {
		req.on('data', (chunk: Buffer) => {
			bytes += chunk.length;
			if (bytes > limit) {
				req.removeAllListeners('data');
				req.pause();
				reject(tooLarge(limit));
				return;
			}

			chunks.push(chunk);
		});
		req.once('end', () => {
			resolve(Buffer.concat(chunks));
		});
		req.once('error', err => {
			reject(callerError('bad-request', 'the body could not be read', {cause: err}));
		});
		req.once('close', () => {
			reject(callerError('bad-request', 'the caller closed the connection before the end of the body'));
		});
		signal.addEventListener('abort', () => {
			reject(callerError('bad-request', 'the body did not arrive in time'));
		}, {once: true});
	});
};

/** Reads the whole body. */
export const readBody = async (req: IncomingMessage, limits: BodyLimits): Promise<Buffer> => {
	if (Number(req.headers['content-length'] ?? 0) > limits.maxBodyBytes) {
		throw tooLarge(limits.maxBodyBytes);
	}

	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort();
	}, limits.bodyTimeoutMs);
	try {
		return await collect(req, limits.maxBodyBytes, controller.signal);
	} finally {
		clearTimeout(timer);
	}
};

/** Parses a JSON object; anything else is refused. */
export const parseJsonObject = (body: Buffer): Record<string, unknown> => {
	let value: unknown;
	try {
		value = JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(body));
	} catch (error) {
		throw callerError('bad-request', 'the body is not valid JSON', {cause: error});
	}

	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		throw callerError('bad-request', 'the body must be a JSON object');
	}

	return value as Record<string, unknown>;
};
