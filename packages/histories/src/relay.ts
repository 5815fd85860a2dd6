/**
 * TCP relay in front of a listening process. It makes a network fail in the ways that closing a socket cannot: a link
 * that goes silent without an end, a partition of one dialer, refused connections, and a link that is narrow towards its dialers.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
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
	/** Limits the rate at which bytes pass to the dialers, on all later connections together. */
	narrow(bytesPerSecond: number): void;
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

const msPerSecond = 1000;

/** The rate of a narrow link, which its connections share. */
class LinkRate {
	readonly #bytesPerSecond: number;
	/** When the bytes that were taken so far have passed. */
	#freeMs = 0;

	constructor(bytesPerSecond: number) {
		this.#bytesPerSecond = bytesPerSecond;
	}

	/** Time until these bytes have passed. */
	take(bytes: number): number {
		const nowMs = performance.now();
		this.#freeMs = Math.max(nowMs, this.#freeMs) + (bytes / this.#bytesPerSecond * msPerSecond);
		return this.#freeMs - nowMs;
	}
}

class Link {
	dialer = '';
	readonly #dialerSocket: Socket;
	readonly #targetSocket: Socket;
	readonly #lost = {toTarget: false, toDialer: false};
	readonly #rate: LinkRate | undefined;
	#shuffler: LineShuffler | undefined;

	constructor(dialerSocket: Socket, {targetPort, rate}: {readonly targetPort: number; readonly rate: LinkRate | undefined}, onFirstBytes: (link: Link) => void) {
		this.#dialerSocket = dialerSocket;
		this.#rate = rate;
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

	/** Passes a chunk on; false if its receiver has to drain first. */
	#pass(to: Socket, direction: 'toTarget' | 'toDialer', chunk: Uint8Array): boolean {
		const shuffler = direction === 'toDialer' ? this.#shuffler : undefined;
		return this.#lost[direction] || to.destroyed || to.write(shuffler ? shuffler.push(chunk) : chunk);
	}

	async #passLater(from: Socket, delayMs: number, pass: () => boolean): Promise<void> {
		from.pause();
		await sleep(delayMs);
		pass();
		from.resume();
	}

	#forward(from: Socket, to: Socket, direction: 'toTarget' | 'toDialer'): void {
		from.on('data', (chunk: Uint8Array) => {
			if (direction === 'toDialer' && this.#rate) {
				void this.#passLater(from, this.#rate.take(chunk.length), () => this.#pass(to, direction, chunk));
			} else if (!this.#pass(to, direction, chunk)) {
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
	#rate: LinkRate | undefined;
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

	narrow(bytesPerSecond: number): void {
		this.#rate = new LinkRate(bytesPerSecond);
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
			const link = new Link(socket, {targetPort: this.#targetPort, rate: this.#rate}, opened => {
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
