/**
 * Opens and accepts TCP connections between the project's processes.
 */
import {
	createServer, connect, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {once, setMaxListeners} from 'node:events';
import {createRequestError, type RequestError} from '@hawthorncleat/core';
import {Peer, type PeerOptions} from './peer.js';

const defaultDialTimeoutMs = 2000;

export type DialOptions = Omit<PeerOptions, 'socket'> & {
	readonly address: string;
	readonly port: number;
	readonly timeoutMs?: number;
};

const createConnectionRefusedError = (options: DialOptions, cause?: unknown): RequestError =>
	createRequestError(`cannot connect to ${options.address}:${options.port}`, {code: 'connection-refused', ran: 'not-run', status: 503}, cause);

const openSocket = async (options: DialOptions, signal: AbortSignal): Promise<Socket> => {
	const socket = connect({host: options.address, port: options.port});
	// Not AbortSignal.timeout: Node 20 may garbage-collect a timeout signal that only a combined signal refers to before it
	// fires.
	const timeoutController = new AbortController();
	const timer = setTimeout(() => {
		timeoutController.abort();
	}, options.timeoutMs ?? defaultDialTimeoutMs);
	try {
		await once(socket, 'connect', {signal: AbortSignal.any([signal, timeoutController.signal])});
		return socket;
	} catch (error) {
		socket.on('error', () => {/* The socket is no longer used. */});
		socket.destroy();
		throw createConnectionRefusedError(options, error);
	} finally {
		clearTimeout(timer);
	}
};

/** Connects to a listening process. The connection is closed when `signal` aborts. */
export const dial = async (options: DialOptions, signal: AbortSignal): Promise<Peer> => {
	const socket = await openSocket(options, signal);
	const peer = new Peer({...options, socket});
	closeOnAbort(peer, signal);
	return peer;
};

const closeOnAbort = (peer: Peer, signal: AbortSignal): void => {
	const close = (): void => {
		peer.close();
	};

	if (signal.aborted) {
		close();
		return;
	}

	signal.addEventListener('abort', close, {once: true});
	void peer.closed.then(() => {
		signal.removeEventListener('abort', close);
	});
};

export type ListenOptions = Omit<PeerOptions, 'socket'> & {
	readonly address: string;
	readonly port: number;
	readonly onPeer?: (peer: Peer) => void;
};

/** A listening socket and its accepted connections. */
export type Listener = {
	readonly port: number;
	/** The open connections. */
	readonly peers: ReadonlySet<Peer>;
	/** Resolves when `signal` has aborted and the socket and all connections are closed. */
	readonly closed: Promise<void>;
};

/** Starts to listen. An abort before the socket listens also closes it. */
const startListening = async (server: Server, {address, port}: ListenOptions, signal: AbortSignal): Promise<void> => {
	server.listen({host: address, port});
	try {
		await once(server, 'listening', {signal});
	} catch (error) {
		server.close();
		throw error;
	}
};

/** Accepts connections of other processes until `signal` aborts. */
export const listen = async (options: ListenOptions, signal: AbortSignal): Promise<Listener> => {
	const peers = new Set<Peer>();
	// Each accepted connection adds a listener to the signal; Node would warn of a leak from the eleventh listener on.
	setMaxListeners(0, signal);
	const server = createServer(socket => {
		const peer = new Peer({...options, socket});
		peers.add(peer);
		closeOnAbort(peer, signal);
		void peer.closed.then(() => {
			peers.delete(peer);
		});
		options.onPeer?.(peer);
	});
	await startListening(server, options, signal);
	const closed = once(server, 'close').then(() => {/* The event's arguments are not needed. */});
	signal.addEventListener('abort', () => {
		server.close();
	}, {once: true});
	return {port: (server.address() as AddressInfo).port, peers, closed};
};
