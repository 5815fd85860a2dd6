/**
 * Listens for callers and stops listening without resetting a connection. Closing a listening socket makes the kernel
 * reset the connections that wait in its accept queue, together with the requests that were already sent on them, and
 * closing an idle connection resets a request that is on its way. So the entry first refuses, on connections that stay
 * open, until no caller opens another one; then it stops listening; then it ends each connection after its next answer.
 */
import {once} from 'node:events';
import type {Server} from 'node:http';
import {Server as NetServer, type AddressInfo} from 'node:net';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';
import type {AnswerConnections} from './answer-connections.js';

/** Nothing arrived for this long: no connection while listening, no request afterwards. */
export const quietMs = 300;
/** Callers that open a connection for each call and ignore the time to come back must not keep the process for ever. */
export const quietLimitMs = 2000;
/** Refusals are short; a caller that does not take one in this time has gone. */
const lastAnswersMs = 500;
const pollMs = 20;
/** Bounds the search for a turn of the event loop in which nothing arrives. */
const maxTurns = 2000;

export type CallerListenerOptions = {
	readonly server: Server;
	readonly address: string;
	readonly port: number;
	readonly clock: Clock;
	readonly connections: AnswerConnections;
};

/** A listening server for callers. */
export type CallerListener = {
	readonly port: number;
	/** Settles after `signal` aborted and everything was released. */
	readonly closed: Promise<void>;
	/** Settles when the entry no longer listens and its callers have been told so. Requests have to be refused by then. */
	stopListening(): Promise<void>;
};

/**
 * Closes what is idle and lets answers that are being written or sent be finished. Node.js counts a connection as idle as soon as its answer has been
 * written, so nothing is closed while one is still being sent.
 */
const closeGently = (server: Server, connections: AnswerConnections): void => {
	// The method of the HTTP server would close its idle connections as well.
	NetServer.prototype.close.call(server);
	const closeIdle = (): void => {
		if (!connections.hasUnsent) {
			server.closeIdleConnections();
		}
	};

	closeIdle();
	const sweep = setInterval(closeIdle, pollMs);
	const limit = setTimeout(() => {
		server.closeAllConnections();
	}, lastAnswersMs);
	server.once('close', () => {
		clearInterval(sweep);
		clearTimeout(limit);
		// Ends the timer with which the HTTP server checks its connections.
		server.close();
	});
};

/** What arrived at the server. */
class Arrivals {
	connections = 0;
	requests = 0;

	constructor(server: Server) {
		server.on('connection', () => {
			this.connections += 1;
		});
		server.on('request', () => {
			this.requests += 1;
		});
	}

	get all(): number {
		return this.connections + this.requests;
	}
}

const waitUntilQuiet = async (count: () => number, clock: Clock, signal: AbortSignal): Promise<void> => {
	const startMs = clock.nowMs();
	let lastCount = count();
	let lastChangeMs = startMs;
	while (!signal.aborted && clock.nowMs() - lastChangeMs < quietMs && clock.nowMs() - startMs < quietLimitMs) {
		await sleep(pollMs, undefined, {signal}).catch(() => {/* Aborted. */});
		if (count() !== lastCount) {
			lastCount = count();
			lastChangeMs = clock.nowMs();
		}
	}
};

/**
 * Stops listening right after a turn of the event loop in which nothing arrived, so that the accept queue is empty but
 * for what comes within that turn.
 */
const closeSocketWhenQueueIsEmpty = async (server: Server, arrivals: Arrivals, signal: AbortSignal): Promise<void> => {
	await nextTurn();
	let before = -1;
	for (let turn = 0; turn < maxTurns && before !== arrivals.all; turn += 1) {
		before = arrivals.all;
		await nextTurn();
	}

	if (!signal.aborted) {
		// The method of the HTTP server would close its idle connections as well.
		NetServer.prototype.close.call(server);
	}
};

/** Starts to listen for callers until `signal` aborts. */
export const listenForCallers = async (options: CallerListenerOptions, signal: AbortSignal): Promise<CallerListener> => {
	const {server, address, port, clock, connections} = options;
	const arrivals = new Arrivals(server);
	server.listen({host: address, port});
	await once(server, 'listening', {signal});
	const {port: ownPort} = server.address() as AddressInfo;
	const serverClosed = new AbortController();
	const closed = once(server, 'close').then(() => {
		serverClosed.abort();
	});
	signal.addEventListener('abort', () => {
		closeGently(server, connections);
	}, {once: true});
	return {
		port: ownPort,
		closed,
		async stopListening() {
			connections.keep();
			await waitUntilQuiet(() => arrivals.connections, clock, signal);
			await closeSocketWhenQueueIsEmpty(server, arrivals, signal);
			connections.endAfterAnswers();
			await waitUntilQuiet(() => arrivals.requests, clock, AbortSignal.any([signal, serverClosed.signal]));
		},
	};
};
