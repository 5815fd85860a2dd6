/**
 * One agent as the entry sees it: its connection, its load reports and the streams that run there.
 */
import {brandAs, type EndpointId} from '@hawthorncleat/core';
import type {
	ActionMessage,
	ActionRef,
	HelloResult,
	HostRecord,
	LoadReport,
	OrderConfirmParams,
	OrderConfirmResult,
	RequestFailed,
	RequestFrame,
} from '@hawthorncleat/schema';
import type {Handlers, Peer} from '@hawthorncleat/wire';
import {KeptConnection, type ConnectionOptions} from './kept-connection.js';

/** What a stream hears from its agent. */
export type StreamListener = {
	onFrame(frame: RequestFrame): void;
	onFailed(failed: RequestFailed): void;
	onConnectionLost(): void;
};

/** What all endpoints of an entry share. */
export type EndpointOptions = ConnectionOptions & {
	readonly onCrashSuspects: (fingerprints: readonly string[], source: string) => void;
	readonly onConnected?: (endpoint: Endpoint) => void;
	readonly onDisconnected?: (endpoint: Endpoint, reason: string) => void;
	readonly onReport?: (endpoint: Endpoint, report: LoadReport) => void;
	/** Hears the queue length that came with the answer to a request. */
	readonly onQueue?: (endpoint: Endpoint, queuedTokens: number) => void;
};

/** A connection to one agent with all that is known of its endpoint. */
export class Endpoint {
	readonly id: EndpointId;
	readonly host: HostRecord;
	readonly streams = new Map<string, StreamListener>();
	/** Requests of this entry that are crash suspects and run here. */
	runningSuspects = 0;
	/** Service calls of this entry that run here. */
	openCalls = 0;
	/** Tokens of work sent since the last load report. */
	dispatchedTokens = 0;
	/** The host list says that the host is leaving. */
	isListedAsLeaving = false;
	/** Answers the agent's question whether an order of a table outage still stands; set by the planner that sent one. */
	confirmOrder: ((question: OrderConfirmParams) => OrderConfirmResult) | undefined;
	/** The entry no longer connects to this host once its work here has ended. */
	isRetired = false;

	readonly #options: EndpointOptions;
	readonly #connection: KeptConnection;
	#hello: HelloResult | undefined;
	#report: LoadReport | undefined;
	#hasAnnouncedLeaving = false;
	#lastActionNumber = 0;

	constructor(host: HostRecord, options: EndpointOptions) {
		this.id = brandAs<EndpointId>(host.endpoint ?? host.hostId);
		this.host = host;
		this.#options = options;
		this.#connection = new KeptConnection({
			address: host.address,
			port: host.port,
			role: 'agent',
			handlers: this.#handlers(),
			onUp: hello => {
				this.#connected(hello);
			},
			onDown: reason => {
				this.#disconnected(reason);
			},
			onHeartbeat: heartbeat => {
				this.#hasAnnouncedLeaving ||= heartbeat.leaving;
			},
		}, options);
	}

	get peer(): Peer | undefined {
		return this.#connection.peer;
	}

	/** Whether the entry no longer connects to this agent. */
	get isClosed(): boolean {
		return this.#connection.isClosed;
	}

	get incarnation(): string {
		return this.#hello?.incarnation ?? '';
	}

	/** Addresses an action to the open connection, whose agent accepts each number once and only there. */
	addressAction(action: ActionRef): ActionMessage {
		this.#lastActionNumber += 1;
		return {...action, connection: this.#hello?.connection ?? 0, number: this.#lastActionNumber};
	}

	get report(): LoadReport | undefined {
		return this.#report;
	}

	get isLeaving(): boolean {
		return this.#hasAnnouncedLeaving || this.isListedAsLeaving || this.isRetired;
	}

	/** Whether new work may be sent here. */
	get acceptsWork(): boolean {
		return this.peer !== undefined && !this.isLeaving && this.#report?.unavailable !== true;
	}

	get isIdle(): boolean {
		return this.streams.size === 0 && this.openCalls === 0;
	}

	/** Takes over the queue length that an answer to `request.start` gave between two load reports. */
	noteQueue(queuedTokens: number): void {
		this.#options.onQueue?.(this, queuedTokens);
		if (this.#report) {
			this.#report = {...this.#report, waitingTokens: queuedTokens};
			this.dispatchedTokens = 0;
		}
	}

	/** Waits until there is a connection, at most `limitMs`. */
	async waitForPeer(limitMs: number): Promise<Peer | undefined> {
		return this.#connection.waitForPeer(limitMs);
	}

	async close(): Promise<void> {
		await this.#connection.close();
	}

	#connected(hello: HelloResult): void {
		if (this.#hello?.incarnation !== hello.incarnation) {
			this.#report = undefined;
			this.#hasAnnouncedLeaving = false;
		}

		this.#hello = hello;
		this.#lastActionNumber = 0;
		this.#options.onConnected?.(this);
	}

	#disconnected(reason: string): void {
		this.dispatchedTokens = 0;
		for (const stream of this.streams.values()) {
			stream.onConnectionLost();
		}

		this.#options.onDisconnected?.(this, reason);
	}

	#handlers(): Handlers<Peer> {
		return {
			'request.frame': frame => {
				this.streams.get(frame.requestId)?.onFrame(frame);
			},
			'request.failed': failed => {
				this.streams.get(failed.requestId)?.onFailed(failed);
			},
			'load.report': report => {
				this.#receiveReport(report);
			},
			'order.confirm': question => this.confirmOrder?.(question) ?? {confirmed: false, validForMs: 0},
			'crash.suspect': ({fingerprints}) => {
				this.#options.onCrashSuspects(fingerprints, this.id);
			},
		};
	}

	#receiveReport(report: LoadReport): void {
		this.#report = report;
		this.dispatchedTokens = 0;
		this.#hasAnnouncedLeaving ||= report.leaving;
		this.#options.onReport?.(this, report);
	}
}
