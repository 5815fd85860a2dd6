/**
 * TCP relay in front of a listening process. It makes a network fail in the ways that closing a socket cannot: a link
 * that goes silent without an end, a partition of one dialer, and refused connections.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {findFreePort, loopback} from '@hawthorncleat/test-kit';
import {LineShuffler} from './line-shuffler.js';
import type {SeededRandom} from './random.js';

/** The first line of an internal connection names its dialer, which is how a relay tells dialers apart. */
const helloId = /"id":"([^"]+)"/;

/** Which bytes are lost. */
export type LostBytes = 'to-target' | 'to-dialer' | 'both';

/** Chooses connections by the id in the dialer's `hello`; it is empty while no byte has arrived. */
export type DialerFilter = (dialer: string) => boolean;

/** A running relay. */
export type Relay = {
	readonly port: number;
	/** Number of connections that are open on the dialer's side. */
	readonly openCount: number;
	/** Frames that were repeated or delayed so far. */
	readonly crossedFrames: number;
	/** Settles after the signal aborted and all sockets were closed. */
	readonly closed: Promise<void>;
	/** Makes the open connections silent for good; new ones work. */
	silenceOpen(lost?: LostBytes): void;
	/** Makes open and new connections of these dialers silent until `heal`. */
	partition(isAffected?: DialerFilter): void;
	/** Repeats and delays frames on their way to the dialers of open connections, for as long as these last. */
	crossFrames(random: SeededRandom): void;
	/** Closes the open connections. */
	cut(): void;
	/** Closes the open connections and refuses new ones until `heal`. */
	refuse(): Promise<void>;
	/** Lets new connections work. A connection that has lost bytes stays silent, since its stream has a gap. */
	heal(): Promise<void>;
};

class Link {
	dialer = '';
	readonly #dialerSocket: Socket;
	readonly #targetSocket: Socket;
	readonly #lost = {toTarget: false, toDialer: false};
	#shuffler: LineShuffler | undefined;

	constructor(dialerSocket: Socket, targetPort: number, onFirstBytes: (link: Link) => void) {
		this.#dialerSocket = dialerSocket;
		this.#targetSocket = connect({host: loopback, port: targetPort});
		dialerSocket.once('data', (chunk: Uint8Array) => {
			this.dialer = helloId.exec(String(chunk))?.[1] ?? '';
			onFirstBytes(this);
		});
		this.#forward(dialerSocket, this.#targetSocket, 'toTarget');
		this.#forward(this.#targetSocket, dialerSocket, 'toDialer');
	}

	/** Both sides have closed, or the relay has closed them. */
	get isClosed(): boolean {
		return this.#dialerSocket.destroyed && this.#targetSocket.destroyed;
	}

	get crossedFrames(): number {
		return this.#shuffler?.touched ?? 0;
	}

	crossFrames(random: SeededRandom): void {
		this.#shuffler ??= new LineShuffler(random);
	}

	silence(lost: LostBytes): void {
		this.#lost.toTarget ||= lost !== 'to-dialer';
		this.#lost.toDialer ||= lost !== 'to-target';
	}

	destroy(): void {
		this.#dialerSocket.destroy();
		this.#targetSocket.destroy();
	}

	#forward(from: Socket, to: Socket, direction: 'toTarget' | 'toDialer'): void {
		from.on('data', (chunk: Uint8Array) => {
			const shuffler = direction === 'toDialer' ? this.#shuffler : undefined;
			if (!this.#lost[direction] && !to.destroyed && !to.write(shuffler ? shuffler.push(chunk) : chunk)) {
				from.pause();
				to.once('drain', () => {
					from.resume();
				});
			}
		});
		from.on('error', () => {/* Followed by close. */});
		from.on('close', () => {
			// The end of a connection is lost as its bytes are.
			if (!this.#lost[direction]) {
				to.destroy();
			}
		});
	}
}

class TcpRelay implements Relay {
	readonly port: number;
	readonly closed: Promise<void>;
	readonly #targetPort: number;
	readonly #links = new Set<Link>();
	#server: Server;
	#isPartitioned: DialerFilter | undefined;
	#openCount = 0;
	#earlierCrossed = 0;

	constructor(server: Server, targetPort: number, signal: AbortSignal) {
		this.#server = server;
		this.#targetPort = targetPort;
		this.port = (server.address() as AddressInfo).port;
		this.#accept();
		this.closed = once(signal, 'abort').then(async () => this.refuse());
	}

	get openCount(): number {
		return this.#openCount;
	}

	silenceOpen(lost: LostBytes = 'both'): void {
		for (const link of this.#links) {
			link.silence(lost);
		}
	}

	partition(isAffected: DialerFilter = () => true): void {
		this.#isPartitioned = isAffected;
		for (const link of this.#links) {
			this.#applyPartition(link);
		}
	}

	get crossedFrames(): number {
		return this.#earlierCrossed + [...this.#links].reduce((sum, link) => sum + link.crossedFrames, 0);
	}

	crossFrames(random: SeededRandom): void {
		for (const link of this.#links) {
			link.crossFrames(random);
		}
	}

	cut(): void {
		for (const link of this.#links) {
			link.destroy();
		}

		this.#links.clear();
	}

	async refuse(): Promise<void> {
		this.cut();
		if (this.#server.listening) {
			this.#server.close();
			await once(this.#server, 'close');
		}
	}

	async heal(): Promise<void> {
		this.#isPartitioned = undefined;
		if (!this.#server.listening) {
			this.#server = await listenOn(this.port);
			this.#accept();
		}
	}

	#accept(): void {
		this.#server.on('connection', socket => {
			const link = new Link(socket, this.#targetPort, opened => {
				this.#applyPartition(opened);
			});
			this.#forgetClosed();
			this.#links.add(link);
			this.#openCount += 1;
			this.#applyPartition(link);
			socket.once('close', () => {
				this.#openCount -= 1;
			});
		});
	}

	#forgetClosed(): void {
		for (const link of this.#links) {
			if (link.isClosed) {
				this.#earlierCrossed += link.crossedFrames;
				this.#links.delete(link);
			}
		}
	}

	#applyPartition(link: Link): void {
		if (this.#isPartitioned?.(link.dialer)) {
			link.silence('both');
		}
	}
}

const listenOn = async (port: number): Promise<Server> => {
	const server = createServer();
	server.listen(port, loopback);
	await once(server, 'listening');
	return server;
};

/** Starts a relay to a port on loopback. It keeps its own port while it refuses connections, so that no ephemeral port will do. */
export const startRelay = async (
	{targetPort, port}: {readonly targetPort: number; readonly port?: number},
	signal: AbortSignal,
): Promise<Relay> => new TcpRelay(await listenOn(port ?? await findFreePort()), targetPort, signal);
