/**
 * Keeps the listening queue as short as what the entry accepts before callers give up. The queue is served in the order of arrival and one connection in each
 * turn of the event loop, so once it takes longer than callers wait, each accepted connection is dead and the entry serves nobody. A caller that finds the
 * queue full cannot connect and tries another entry, at the cost of the second that it would have waited in vain.
 */
import {Server as NetServer} from 'node:net';
import type {Server} from 'node:http';
import type {AcceptMonitor} from './accept-monitor.js';

/** Length while no connections wait. It bounds what a crowd leaves in the queue before the rate at which the entry accepts it is known. */
const calmLength = 32;
/** Length at the start, when an entry is slowest and callers may be waiting for it. */
export const startLength = 16;
const minLength = 8;
/** As Node.js listens without another value. */
const maxLength = 511;
/** Callers give up a connection on which nothing is read for a second. The rest is for reading the request. */
const maxQueueMs = 400;
/** Changes of less than this fraction are not worth a system call. */
const minChange = 0.25;
const msPerSecond = 1000;

/** Length of the listening queue by the rate at which an entry accepts connections while some wait; undefined while none do. */
export const queueLength = (acceptedPerSecond: number | undefined): number => acceptedPerSecond === undefined
	? calmLength
	: Math.min(maxLength, Math.max(minLength, Math.round(acceptedPerSecond * maxQueueMs / msPerSecond)));

/** Changes the length of the queue of a server that listens. Node.js sets it when a server starts to listen, also on the socket of another server. */
const listenAgain = (server: Server, length: number): void => {
	const listener = new NetServer({allowHalfOpen: true, noDelay: true});
	listener.on('connection', socket => {
		server.emit('connection', socket);
	});
	listener.listen(server, length);
};

export class ListeningQueue {
	readonly #server: Server;
	readonly #accepts: Pick<AcceptMonitor, 'waitingRate'>;
	#length = startLength;

	/** The server listens with the length of the start. */
	constructor(server: Server, accepts: Pick<AcceptMonitor, 'waitingRate'>) {
		this.#server = server;
		this.#accepts = accepts;
	}

	/** Adjusts the length to the present rate. A server that was closed is left alone. */
	adjust(): void {
		const length = queueLength(this.#accepts.waitingRate);
		if (this.#server.listening && Math.abs(length - this.#length) > this.#length * minChange) {
			this.#length = length;
			listenAgain(this.#server, length);
		}
	}
}
