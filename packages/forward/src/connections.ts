/**
 * Connections to one endpoint. A reset always counts as a failure here. The HTTP client takes it for the end of an answer
 * that has no length, and the runtime reports a reset that arrives together with data as an ordinary end; either way an
 * answer that broke off would look complete.
 */
import type {Socket} from 'node:net';
import {buildConnector, Pool, type Dispatcher} from 'undici';

/** A connection that takes longer is treated as refused: data centres are milliseconds apart. */
const connectLimitMs = 700;
/** Idle time after which a connection is not used again when the endpoint states no limit. */
const idleLimitMs = 3000;

export type Connections = {
	readonly dispatcher: Dispatcher;
	/** Whether the connection that is ending at this moment was reset. */
	isEndingByReset(): boolean;
};

const connect = buildConnector({timeout: connectLimitMs});

/** A connection that was reset has no peer any more, while one that was closed properly still has. */
const hasNoPeer = (socket: Socket): boolean => socket.remoteAddress === undefined;

/** Opens connections to an endpoint when they are needed. */
export const createConnections = (origin: string, maxConnections: number): Connections => {
	let isReset = false;
	const watch = (socket: Socket): void => {
		socket.prependListener('end', () => {
			isReset = hasNoPeer(socket);
		});
		socket.prependListener('error', (error: NodeJS.ErrnoException) => {
			if (error.code === 'ECONNRESET') {
				// The HTTP client excuses only this code.
				error.code = 'ERESET';
			}
		});
	};

	const dispatcher = new Pool(origin, {
		connections: maxConnections,
		pipelining: 1,
		headersTimeout: 0,
		bodyTimeout: 0,
		keepAliveTimeout: idleLimitMs,
		connect(options, callback) {
			connect(options, (...result) => {
				const [, socket] = result;
				if (socket) {
					watch(socket);
				}

				callback(...result);
			});
		},
	});
	return {
		dispatcher,
		isEndingByReset() {
			const wasReset = isReset;
			isReset = false;
			return wasReset;
		},
	};
};
