/**
 * Reads the body of a caller's request within the memory budget, and discards what is left of a refused one.
 */
import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {finished} from 'node:stream/promises';
import {withTimeLimit} from '../utils/time-limit.js';
import {CompactBytes} from './compact-bytes.js';
import type {Holding} from './held-bytes.js';
import {waitForPendingInput} from './pending-input.js';

/** Longest time without a byte of a body. */
const maxBodyPauseMs = 5000;

/** Why a body was not read to its end. */
export type BodyRefusal = 'no-room' | 'stalled' | 'too-long';

export type BodyLimits = {
	readonly maxBytes: number;
	readonly holding: Holding;
	readonly maxPauseMs?: number;
};

const closedError = new Error('the connection closed within a body');

const announcedBytes = ({headers}: IncomingMessage): number | undefined => {
	const value = headers['content-length'];
	return value === undefined ? undefined : Number(value);
};

/** A length that was announced is refused before any of the body is read. */
const refuseLength = (length: number | undefined, {maxBytes, holding}: BodyLimits): BodyRefusal | undefined => {
	if (length === undefined) {
		return undefined;
	}

	if (length > maxBytes) {
		return 'too-long';
	}

	return holding.allows(length) ? undefined : 'no-room';
};

/** Calls `onStall` when no chunk has arrived for a time. Each chunk has to be reported. */
const watchProgress = (maxPauseMs: number, onStall: () => void): {record: () => void; end: () => void} => {
	let chunks = 0;
	const check = async (): Promise<void> => {
		const before = chunks;
		// After a pause of this process the next chunk may already be there.
		await waitForPendingInput();
		if (chunks === before) {
			onStall();
		}
	};

	const timer = setTimeout(() => {
		void check();
	}, maxPauseMs);
	return {
		record() {
			chunks += 1;
			timer.refresh();
		},
		end() {
			clearTimeout(timer);
		},
	};
};

/**
 * Reads a body. The rest of a refused one is discarded as it arrives, because a caller may read its answer only after it has sent everything.
 * Rejects when the connection closes.
 */
export const readBody = async (req: IncomingMessage, limits: BodyLimits): Promise<Buffer | BodyRefusal> => {
	const {maxBytes, holding, maxPauseMs = maxBodyPauseMs} = limits;
	const length = announcedBytes(req);
	const refusal = refuseLength(length, limits);
	if (refusal) {
		req.resume();
		return refusal;
	}

	const before = holding.bytes;
	const bytes = new CompactBytes(taken => holding.take(taken), length);
	return new Promise((resolve, reject) => {
		let isFinished = false;
		const finish = (end: Buffer | BodyRefusal): void => {
			if (isFinished) {
				return;
			}

			isFinished = true;
			progress.end();
			req.off('data', onData);
			bytes.clear();
			const taken = holding.bytes - before;
			if (typeof end === 'string') {
				holding.give(taken);
				req.resume();
			} else {
				holding.give(Math.max(0, taken - end.buffer.byteLength));
			}

			resolve(end);
		};

		const progress = watchProgress(maxPauseMs, () => {
			finish('stalled');
		});
		const onData = (chunk: Buffer): void => {
			progress.record();
			if (bytes.length + chunk.length > maxBytes) {
				finish('too-long');
			} else if (!bytes.append(chunk)) {
				finish('no-room');
			}
		};

		req.on('data', onData);
		req.once('end', () => {
			if (!isFinished) {
				finish(bytes.toBuffer() ?? 'no-room');
			}
		});
		req.once('error', () => undefined);
		req.once('close', () => {
			progress.end();
			// What ended the connection is known one step later.
			setImmediate(() => {
				reject(closedError);
			});
		});
	});
};

/** Discards the rest of a body; resolves when it has arrived, after the limit, or when the request has ended. */
export const discardBody = async (req: IncomingMessage, limitMs: number, signal: AbortSignal): Promise<void> => {
	req.resume();
	await withTimeLimit(limitMs, signal, async limited => finished(req, {signal: limited})).catch(() => undefined);
};
