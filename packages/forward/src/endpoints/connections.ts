/**
 * Connections to one endpoint. A connection reset always counts as a failure. The HTTP client treats it as the end of an
 * answer without a length, and Node reports a reset that arrives together with data as an ordinary end; in both cases a
 * truncated answer would look complete. In the other direction, a connection is reset when the entry gives it up.
 */
import type {Socket} from 'node:net';
import {ConnectionQueue} from '@hawthorncleat/core';
import {buildConnector, Pool, type Dispatcher} from 'undici';

/** Data centres are milliseconds apart, so a connection attempt that takes longer counts as failed. */
const connectTimeoutMs = 700;
/** Idle time after which a connection is not reused if the endpoint states no keep-alive limit. */
const idleTimeoutMs = 3000;

export type Connections = {
	readonly dispatcher: Dispatcher;
	/** Calls that wait for a connection. The dispatcher gets as many as it has connections, so nothing waits in it. */
	readonly queue: ConnectionQueue;
	/** Whether the connection that is ending right now was reset. Clears the flag. */
	isEndingByReset(): boolean;
	/** Closes the connections once all calls have ended. */
	close(): Promise<void>;
};

const connect = buildConnector({timeout: connectTimeoutMs});

/** The socket of a reset connection has lost its remote address; one that was closed properly still has it. */
const hasNoRemoteAddress = (socket: Socket): boolean => socket.remoteAddress === undefined;

/**
 * Resets a connection that is given up instead of closing it. A connection that is closed still delivers what was written to it, so a request that a full or
 * a cut link holds would reach its endpoint although nobody waits for it any more.
 */
const resetWhenGivenUp = (socket: Socket): void => {
	const destroy = socket.destroy.bind(socket);
	let reason: Error | undefined;
	socket.destroy = error => {
		// The HTTP client gives up a connection with an error, and so does Node.js when the connection itself fails, which must be reported as it is.
		if (error && !('syscall' in error) && !socket.destroyed && reason === undefined) {
			reason = error;
			// Calls `destroy` once more, without the error.
			return socket.resetAndDestroy();
		}

		return destroy(error ?? reason);
	};
};

/** Creates a pool that connects to an endpoint on demand. */
export const createConnections = (origin: string, maxConnections: number): Connections => {
	let isReset = false;
	const detectResets = (socket: Socket): void => {
		socket.prependListener('end', () => {
			isReset = hasNoRemoteAddress(socket);
		});
		socket.prependListener('error', (error: NodeJS.ErrnoException) => {
			if (error.code === 'ECONNRESET') {
				// The HTTP client treats ECONNRESET, and no other code, as the end of an answer.
				error.code = 'ERESET';
			}
		});
	};

	const dispatcher = new Pool(origin, {
		connections: maxConnections,
		pipelining: 1,
		headersTimeout: 0,
		bodyTimeout: 0,
		keepAliveTimeout: idleTimeoutMs,
		connect(options, callback) {
			connect(options, (...result) => {
				const [, socket] = result;
				if (socket) {
					detectResets(socket);
					resetWhenGivenUp(socket);
				}

				callback(...result);
			});
		},
	});
	const queue = new ConnectionQueue({connections: maxConnections});
	return {
		dispatcher,
		queue,
		isEndingByReset() {
			const wasReset = isReset;
			isReset = false;
			return wasReset;
		},
		async close() {
			await queue.whenIdle();
			await dispatcher.close();
		},
	};
};
