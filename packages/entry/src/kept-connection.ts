/**
 * A connection to another process that is opened again, with growing pauses, whenever it ends.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock, Random} from '@hawthorncleat/core';
import {
	validate, validators, type Heartbeat, type HelloParams, type HelloResult,
} from '@hawthorncleat/schema';
import {dial, type Handlers, type Peer} from '@hawthorncleat/wire';

const helloTimeoutMs = 2000;

/** What all connections of an entry share. */
export type ConnectionOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly hello: () => HelloParams;
	readonly heartbeat: () => Heartbeat;
	readonly onPeerVersion?: (version: number) => void;
	readonly firstReconnectMs: number;
	readonly maxReconnectMs: number;
};

/** What one connection is for. */
export type ConnectionTarget = {
	readonly address: string;
	readonly port: number;
	readonly role: HelloResult['role'];
	readonly handlers: Handlers<Peer>;
	onUp?(hello: HelloResult, peer: Peer): void;
	onDown?(reason: string): void;
	onHeartbeat?(heartbeat: Heartbeat): void;
};

/** Keeps a connection open until it is closed here. */
export class KeptConnection {
	readonly #target: ConnectionTarget;
	readonly #options: ConnectionOptions;
	readonly #controller = new AbortController();
	readonly #stopped: Promise<void>;
	#peer: Peer | undefined;
	#connected = createSignal();

	constructor(target: ConnectionTarget, options: ConnectionOptions) {
		this.#target = target;
		this.#options = options;
		this.#stopped = this.#keepConnected();
	}

	/** The open connection after its `hello`. */
	get peer(): Peer | undefined {
		return this.#peer?.isOpen ? this.#peer : undefined;
	}

	/** Whether the connection was closed here and will not be opened again. */
	get isClosed(): boolean {
		return this.#controller.signal.aborted;
	}

	/** Waits until there is a connection, at most `limitMs`. */
	async waitForPeer(limitMs: number): Promise<Peer | undefined> {
		this.#forgetClosedPeer();
		if (!this.peer) {
			const limit = new AbortController();
			const signal = AbortSignal.any([limit.signal, this.#controller.signal]);
			await Promise.race([this.#connected.promise, sleep(limitMs, undefined, {signal}).catch(ignore)]);
			limit.abort();
		}

		return this.peer;
	}

	async close(): Promise<void> {
		this.#controller.abort();
		await this.#stopped;
	}

	async #keepConnected(): Promise<void> {
		const {signal} = this.#controller;
		const {firstReconnectMs, maxReconnectMs, random} = this.#options;
		let backoffMs = firstReconnectMs;
		while (!signal.aborted) {
			const wasConnected = await this.#connectOnce(signal).catch(() => false);
			backoffMs = wasConnected ? firstReconnectMs : Math.min(backoffMs * 2, maxReconnectMs);
			// The random part keeps the entries from reconnecting to a restarted agent all at once.
			await sleep(backoffMs * (0.5 + (random() / 2)), undefined, {signal}).catch(ignore);
		}
	}

	async #connectOnce(signal: AbortSignal): Promise<boolean> {
		const {address, port, handlers} = this.#target;
		const {clock, heartbeat} = this.#options;
		const onHeartbeat = this.#receiveHeartbeat;
		const peer = await dial({
			address, port, clock, heartbeat, handlers, onHeartbeat,
		}, signal);
		try {
			this.#adopt(peer, await this.#sayHello(peer));
		} catch (error) {
			peer.close();
			throw error;
		}

		this.#lose(await peer.closed);
		return true;
	}

	async #sayHello(peer: Peer): Promise<HelloResult> {
		const answer = await peer.call('hello', this.#options.hello(), {timeoutMs: helloTimeoutMs});
		const checked = validate<HelloResult>(validators.validateHelloResult, answer);
		if (!checked.ok || checked.value.role !== this.#target.role) {
			throw new Error(`the answer to hello is not one of an ${this.#target.role}`);
		}

		return checked.value;
	}

	#adopt(peer: Peer, hello: HelloResult): void {
		peer.remoteId = hello.id;
		this.#peer = peer;
		this.#target.onUp?.(hello, peer);
		this.#connected.resolve();
		this.#options.onPeerVersion?.(hello.configVersion);
	}

	#lose(reason: string): void {
		this.#forgetClosedPeer();
		this.#target.onDown?.(reason);
	}

	/** A call may fail before `closed` has been noticed; whoever waits then must not see the old signal. */
	#forgetClosedPeer(): void {
		if (this.#peer && !this.#peer.isOpen) {
			this.#peer = undefined;
			this.#connected = createSignal();
		}
	}

	readonly #receiveHeartbeat = (heartbeat: Heartbeat): void => {
		this.#target.onHeartbeat?.(heartbeat);
		this.#options.onPeerVersion?.(heartbeat.configVersion);
	};
}

const ignore = (): void => {/* An aborted wait only ends early. */};

const createSignal = (): {promise: Promise<void>; resolve: () => void} => {
	let resolve!: () => void;
	const promise = new Promise<void>(_resolve => {
		resolve = _resolve;
	});
	return {promise, resolve};
};
