/**
 * The caller's side of one request: its body, its answer, and the signal that aborts it when the caller disconnects, the deadline passes or this entry
 * ends.
 */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@hawthorncleat/core';
import {AnswerBuffer, maxWholeAnswerBytes} from '../utils/answer-buffer.js';
import type {OutgoingHeaders} from '../ports.js';
import type {Holding} from './held-bytes.js';

/** A connection whose answer makes no progress for this time is closed. */
const maxUnreadMs = 20_000;

/** Why a request ended before its answer was complete. `entry-closed`: this entry closed the connection. `stop-limit`: this entry ends. */
export type EndReason = 'caller-left' | 'entry-closed' | 'stop-limit' | 'timeout';

const endReasonError = (reason: EndReason): Error => Object.assign(new Error(reason), {reason});

/** Who closed a connection. A caller that closes it leaves the end of its data or an error. */
const closeReasonOf = ({readableEnded, errored}: Socket): EndReason => readableEnded || errored ? 'caller-left' : 'entry-closed';

export type ExchangeOptions = {
	readonly clock: Clock;
	/** Aborting it ends the request. */
	readonly stopLimit: AbortSignal;
	/** Whether callers should open their next connection elsewhere. */
	readonly isStopping: () => boolean;
	/** Whether another request has been read on the connection since this one. */
	readonly hasLaterRequest: (res: ServerResponse) => boolean;
};

type AnswerStart = {readonly status: number; readonly headers: OutgoingHeaders};

export class CallerExchange {
	readonly startedMs: number;
	deadlineMs = Number.POSITIVE_INFINITY;
	readonly #res: ServerResponse;
	readonly #clock: Clock;
	readonly #isStopping: () => boolean;
	readonly #hasLaterRequest: (res: ServerResponse) => boolean;
	readonly #controller = new AbortController();
	#endReason: EndReason | undefined;
	#timer: NodeJS.Timeout | undefined;
	/** What is kept for this request, from the memory budget. */
	#holding: Holding | undefined;
	/** Calls to endpoints that may still read the body. */
	#bodyReaders = 0;
	/** Bytes of an answer that is sent only once it is complete. */
	#buffer: AnswerBuffer | undefined;
	#bufferedStart: AnswerStart | undefined;

	constructor(res: ServerResponse, {
		clock, stopLimit, isStopping, hasLaterRequest,
	}: ExchangeOptions) {
		this.#res = res;
		this.#clock = clock;
		this.#isStopping = isStopping;
		this.#hasLaterRequest = hasLaterRequest;
		this.startedMs = clock.nowMs();
		const {socket} = res.req;
		const onStopLimit = (): void => {
			this.#end('stop-limit');
		};

		// Node.js ends its own side at the end of a caller's, and emits `close` only once that has been sent, behind the rest of the answer.
		const onCallerEnd = (): void => {
			if (!res.writableEnded) {
				this.#end('caller-left');
			}
		};

		stopLimit.addEventListener('abort', onStopLimit, {once: true});
		socket.once('end', onCallerEnd);
		res.once('close', () => {
			clearTimeout(this.#timer);
			this.#releaseIfUnused();
			socket.removeListener('end', onCallerEnd);
			stopLimit.removeEventListener('abort', onStopLimit);
			if (!res.writableFinished) {
				this.#end(closeReasonOf(socket));
			}
		});
		if (stopLimit.aborted) {
			onStopLimit();
		}
	}

	/** Aborts when the request ends before its answer is complete. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	get endReason(): EndReason | undefined {
		return this.#endReason;
	}

	/** Rejects when the request ends before its answer is complete. */
	async rejectAtEnd(): Promise<never> {
		this.signal.throwIfAborted();
		return new Promise((_resolve, reject) => {
			this.signal.addEventListener('abort', () => {
				reject(this.signal.reason as Error);
			}, {once: true});
		});
	}

	/** Counts what is kept for this request from now on, until its answer was sent or its connection has closed, and no call needs its body. */
	holdWith(holding: Holding): void {
		this.#holding = holding;
		this.#releaseIfUnused();
	}

	/** Counts the body until a call with it needs it no more, also when the caller has left. */
	async holdUntil(released: Promise<void>): Promise<void> {
		this.#bodyReaders += 1;
		await released;
		this.#bodyReaders -= 1;
		this.#releaseIfUnused();
	}

	/** Takes bytes of an answer from the memory budget; false if there is no room for them. */
	mayHold(bytes: number): boolean {
		return this.#holding?.take(bytes) ?? true;
	}

	/** Whether the whole answer was written. */
	get isAnswered(): boolean {
		return this.#res.writableEnded;
	}

	get remainingMs(): number {
		return this.deadlineMs - this.#clock.nowMs();
	}

	get elapsedMs(): number {
		return this.#clock.nowMs() - this.startedMs;
	}

	get hasSentHead(): boolean {
		return this.#res.headersSent;
	}

	/** Whether part of an answer has been passed to this exchange, so that no other answer may take its place unless the part was never sent. */
	get hasBegunAnswer(): boolean {
		return this.hasSentHead || this.#bufferedStart !== undefined;
	}

	/** Whether the answer is sent only once it is complete. */
	get isBuffered(): boolean {
		return this.#buffer !== undefined;
	}

	/** Sends the answer only once it is complete, so that the end of this entry cannot cut it. Until then the request may still end with an error answer. */
	bufferAnswer(): void {
		this.#buffer ??= new AnswerBuffer(maxWholeAnswerBytes);
	}

	/** Ends the request because this entry ends too soon for it. */
	endForStop(): void {
		this.#end('stop-limit');
	}

	setTimeLimit(ms: number): void {
		this.deadlineMs = this.startedMs + ms;
		this.#timer = setTimeout(() => {
			this.#end('timeout');
		}, Math.max(0, this.remainingMs));
	}

	send(status: number, headers: OutgoingHeaders, body: Buffer | string): void {
		if (this.#res.destroyed || this.#res.headersSent) {
			return;
		}

		this.#announceStop();
		this.#res.writeHead(status, {...headers, 'content-length': String(Buffer.byteLength(body))});
		this.#res.end(body);
		this.#limitUnread();
	}

	startStream(status: number, headers: OutgoingHeaders): void {
		if (this.#buffer) {
			this.#bufferedStart = {status, headers};
			return;
		}

		this.#announceStop();
		this.#res.writeHead(status, headers);
	}

	/** Announces that the connection ends with the answer, unless a later request on it must be answered too. */
	closeAfterAnswer(): void {
		if (!this.#res.headersSent && !this.#hasLaterRequest(this.#res)) {
			this.#res.setHeader('connection', 'close');
		}
	}

	/** Returns false while the caller reads more slowly than the stream arrives. */
	write(chunk: Buffer): boolean {
		if (this.#buffer) {
			if (!this.#buffer.append(chunk) || !this.mayHold(chunk.length)) {
				this.endForStop();
			}

			return true;
		}

		return this.#res.write(chunk);
	}

	onDrain(listener: () => void): void {
		this.#res.on('drain', listener);
	}

	finishStream(lastBytes: Buffer): void {
		if (this.#buffer && this.#bufferedStart) {
			const {status, headers} = this.#bufferedStart;
			this.send(status, headers, Buffer.concat([this.#buffer.drain(), lastBytes]));
			return;
		}

		this.#res.end(lastBytes);
		this.#limitUnread();
	}

	/** Closes the connection, so that the caller cannot take a partial answer for a complete one. */
	closeConnection(): void {
		this.#res.destroy();
	}

	/** A request that was read before the stop has the same effect as a later one: the connection is about to be closed. */
	#announceStop(): void {
		if (this.#isStopping()) {
			this.closeAfterAnswer();
		}
	}

	/** The server closes the connection if nothing of the answer is taken for too long. Node.js sets another limit once it was sent. */
	#limitUnread(): void {
		if (!this.#res.writableFinished) {
			this.#res.req.socket.setTimeout(maxUnreadMs);
		}
	}

	#releaseIfUnused(): void {
		if (this.#res.closed && this.#bodyReaders === 0) {
			this.#holding?.release();
		}
	}

	#end(reason: EndReason): void {
		if (!this.#controller.signal.aborted) {
			this.#endReason = reason;
			this.#controller.abort(endReasonError(reason));
		}
	}
}
