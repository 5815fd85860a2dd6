/**
 * Counts the open connections of callers by what happens on them, and closes them, so that the log and the metrics tell which ones the entry closed.
 */
import {performance} from 'node:perf_hooks';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {waitForPendingInput} from './pending-input.js';
import {pickYielding} from './yielding-connection.js';

type Connection = {
	/** Requests so far. */
	requests: number;
	/** Requests that have been read and not answered completely, in the order in which they were read. */
	readonly running: Set<ServerResponse>;
	/** Bytes that had been read when the last request ended. Any further ones are part of the next request. */
	bytesAtRest: number;
	readonly address: string;
	/** When it was opened or its last request ended, or when part of a further request was seen first. */
	sinceMs: number;
	/** Part of a request was seen on it. */
	isReceiving: boolean;
	/** Whether an answer has announced its close and has been sent. */
	isEnding: boolean;
};

/**
 * Why the entry closed a connection. `idle-limit`: it was idle for too long, `unused-limit`: it had no request for too long, `head-limit`: the head of a
 * request or the rest of a refused one took too long, `connection-limit`: too many were open, `pipeline-limit`: too many requests waited on it for their
 * answers, `unread-limit`: its answer was not read for too long. The others are closed by a stop: `stop-idle` without a request,
 * `stop-unused` without any request since it was opened, `stop-receiving` with part of the head of a request, `stop-running` with a request that had
 * been read and not answered completely.
 */
export type CloseReason
	= | 'connection-limit' | 'head-limit' | 'idle-limit' | 'pipeline-limit' | 'unread-limit' | 'unused-limit'
		| 'stop-idle' | 'stop-receiving' | 'stop-running' | 'stop-unused';

/** Limits for connections without a complete head of a request. */
export type WaitLimits = {readonly headMs: number; readonly unusedMs: number};

/** Callers wait for an answer before they send the next request on a connection, or have a few under way. */
const maxPipelined = 64;

export type ConnectionCounts = {
	readonly connections: number;
	/** Connections without a request so far. */
	readonly unused: number;
	/** Connections with part of the head of a request. */
	readonly receiving: number;
	/** Requests that have been read and not answered completely. */
	readonly running: number;
	/** All requests answered or closed since the start. */
	readonly ended: number;
	/** Connections that the entry has closed since the start. */
	readonly closed: Readonly<Partial<Record<CloseReason, number>>>;
};

const stopReasonOf = (socket: Socket, {requests, running, bytesAtRest}: Connection): CloseReason => {
	if (running.size > 0) {
		return 'stop-running';
	}

	if (socket.bytesRead > bytesAtRest) {
		return 'stop-receiving';
	}

	return requests === 0 ? 'stop-unused' : 'stop-idle';
};

const announcesClose = (res: ServerResponse): boolean => res.getHeader('connection') === 'close';

/** Whether a request was read to its end and its answer is not complete yet. */
const waitsForEntry = ({req, writableEnded}: ServerResponse): boolean => req.complete && !writableEnded;

/** Notes that what has arrived on a connection belongs to its past requests. */
const setAtRest = ({bytesRead}: Socket, connection: Connection): void => {
	connection.bytesAtRest = bytesRead;
	connection.sinceMs = performance.now();
	connection.isReceiving = false;
};

/** Node.js emits `close` only for the response that is being sent, and not for those that wait for it. */
const closeQueued = (running: ReadonlySet<ServerResponse>): void => {
	for (const res of running) {
		if (!res.socket) {
			res.destroy();
			res.emit('close');
		}
	}
};

export class CallerConnections {
	readonly #open = new Map<Socket, Connection>();
	readonly #closed = new Map<CloseReason, number>();
	readonly #onClose: (reason: CloseReason) => void;
	readonly #onAccept: () => void;
	readonly #maxOpen: number;
	#accepted = 0;
	#running = 0;
	#ended = 0;

	/** `onClose` is called for each connection that the entry closes, `onAccept` for each one that it accepts. `maxOpen`: most open ones. */
	constructor(onClose: (reason: CloseReason) => void, onAccept: () => void = () => undefined, maxOpen = Number.POSITIVE_INFINITY) {
		this.#maxOpen = maxOpen;
		this.#onClose = onClose;
		this.#onAccept = onAccept;
	}

	/** Number of connections accepted since the start. */
	get accepted(): number {
		return this.#accepted;
	}

	get running(): number {
		return this.#running;
	}

	get counts(): ConnectionCounts {
		const states = [...this.#open].map(([socket, connection]) => stopReasonOf(socket, connection));
		return {
			connections: states.length,
			unused: states.filter(state => state === 'stop-unused').length,
			receiving: states.filter(state => state === 'stop-receiving').length,
			running: this.#running,
			ended: this.#ended,
			closed: this.closed,
		};
	}

	/** Connections that the entry has closed since the start. */
	get closed(): Readonly<Partial<Record<CloseReason, number>>> {
		return Object.fromEntries(this.#closed);
	}

	/** Counts the connections of this server from now on. */
	track(server: Server): void {
		server.on('connection', socket => {
			this.#accepted += 1;
			this.#onAccept();
			const address = socket.remoteAddress ?? '';
			if (!this.#makeRoom(address)) {
				this.close(socket, 'connection-limit');
				return;
			}

			// Each of the requests that are sent without waiting for answers listens to the end of the connection.
			socket.setMaxListeners(0);
			const connection: Connection = {
				requests: 0, running: new Set(), bytesAtRest: 0, address, sinceMs: performance.now(), isReceiving: false, isEnding: false,
			};
			this.#open.set(socket, connection);
			socket.once('close', () => {
				this.#open.delete(socket);
				closeQueued(connection.running);
			});
		});
	}

	/** Counts a request. Returns false if too many requests wait on its connection, which is closed then. */
	recordRequest(req: IncomingMessage, res: ServerResponse): boolean {
		const {socket} = req;
		const connection = this.#open.get(socket);
		if (connection) {
			connection.requests += 1;
			connection.running.add(res);
		}

		this.#running += 1;
		res.once('close', () => {
			this.#running -= 1;
			this.#ended += 1;
			if (connection) {
				connection.running.delete(res);
				connection.isEnding ||= announcesClose(res);
				setAtRest(socket, connection);
			}
		});
		// The rest of the body of a request that was refused early is no part of a further request.
		req.once('end', () => {
			if (connection?.running.size === 0) {
				setAtRest(socket, connection);
			}
		});
		if (connection && connection.running.size > maxPipelined) {
			this.close(socket, 'pipeline-limit');
		}

		return !socket.destroyed;
	}

	/** Whether a request has been read on the connection and not answered completely. */
	isServing(socket: Socket): boolean {
		return (this.#open.get(socket)?.running.size ?? 0) > 0;
	}

	/** Closes the connections that have waited too long for the head of a request. What had arrived at this process is read before. */
	async closeLate({headMs, unusedMs}: WaitLimits): Promise<void> {
		const late = this.#findLate(headMs, unusedMs);
		if (late.length === 0) {
			return;
		}

		await waitForPendingInput();
		for (const [socket, connection] of late) {
			const state = stopReasonOf(socket, connection);
			if (state === 'stop-receiving' && connection.isReceiving) {
				this.close(socket, 'head-limit');
			} else if (state === 'stop-unused') {
				this.close(socket, 'unused-limit');
			}
		}
	}

	/** Whether an earlier answer has announced the close of the connection, so that this request cannot be answered. */
	isAfterClose(res: ServerResponse): boolean {
		const connection = this.#open.get(res.req.socket);
		if (!connection) {
			return false;
		}

		const running = [...connection.running];
		return connection.isEnding || running.slice(0, running.indexOf(res)).some(earlier => announcesClose(earlier));
	}

	/** Whether another request has been read on the connection since this one. It needs the connection after this answer. */
	hasLaterRequest(res: ServerResponse): boolean {
		const running = this.#open.get(res.req.socket)?.running;
		return running !== undefined && [...running].at(-1) !== res;
	}

	close(socket: Socket, reason: CloseReason): void {
		if (socket.destroyed) {
			return;
		}

		this.#closed.set(reason, (this.#closed.get(reason) ?? 0) + 1);
		this.#onClose(reason);
		socket.destroy();
	}

	/**
	 * Closes the connections without a request during a stop, while there is time each one right after everything that has arrived was read. A
	 * connection that has had no request yet may still get its first one.
	 */
	async closeIdle(hasTime: () => boolean): Promise<void> {
		for (const [socket, connection] of this.#open) {
			if (stopReasonOf(socket, connection) !== 'stop-idle') {
				continue;
			}

			if (hasTime()) {
				await waitForPendingInput();
			}

			if (stopReasonOf(socket, connection) === 'stop-idle') {
				this.close(socket, 'stop-idle');
			}
		}
	}

	/** Closes the connections that are left when the entry ends. */
	closeAll(): void {
		for (const [socket, connection] of this.#open) {
			this.close(socket, stopReasonOf(socket, connection));
		}
	}

	#pickYielding(newAddress: string, isServing: (connection: Connection) => boolean): {readonly socket: Socket} | undefined {
		const candidates = [...this.#open].map(([socket, connection]) => ({socket, address: connection.address, isServing: isServing(connection)}));
		return pickYielding(candidates, newAddress);
	}

	/** The connections in order of their age that have waited too long. Notes which ones have part of a head. */
	#findLate(headMs: number, unusedMs: number): Array<[Socket, Connection]> {
		const nowMs = performance.now();
		return [...this.#open].filter(([socket, connection]) => {
			const state = stopReasonOf(socket, connection);
			if (state === 'stop-receiving' && !connection.isReceiving) {
				connection.isReceiving = true;
				connection.sinceMs = nowMs;
			}

			return (state === 'stop-receiving' && nowMs - connection.sinceMs > headMs) || (state === 'stop-unused' && nowMs - connection.sinceMs > unusedMs);
		});
	}

	/**
	 * Closes a connection without a request if there are too many, or else one whose caller still sends its request or leaves its answer unread; false if there
	 * is none to close.
	 */
	#makeRoom(address: string): boolean {
		if (this.#open.size < this.#maxOpen) {
			return true;
		}

		const yielding = this.#pickYielding(address, ({running}) => running.size > 0)
			?? this.#pickYielding(address, ({running}) => [...running].some(res => waitsForEntry(res)));
		if (yielding) {
			this.#open.delete(yielding.socket);
			this.close(yielding.socket, 'connection-limit');
		}

		return yielding !== undefined;
	}
}
