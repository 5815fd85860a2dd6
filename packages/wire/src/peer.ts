/**
 * One end of a JSON-RPC 2.0 connection over TCP, with one JSON object per line. Both ends may send calls and
 * notifications, and both send heartbeats. A connection on which no bytes arrive for `stallLimitMs` is destroyed, because
 * a middlebox may have dropped it without a reset to either end.
 */
import type {Socket} from 'node:net';
import {
	createRequestError, isRequestError, type Clock, type RequestError,
} from '@hawthorncleat/core';
import {
	validate, type Finding, type Heartbeat, type Refusal,
} from '@hawthorncleat/schema';
import {
	createJSONRPCErrorResponse,
	JSONRPCClient,
	JSONRPCErrorCode,
	JSONRPCErrorException,
	JSONRPCServer,
	JSONRPCServerAndClient,
	type JSONRPCErrorResponse,
	type JSONRPCID,
	type JSONRPCParams,
} from 'json-rpc-2.0';
import {LineReader} from './line-reader.js';
import {
	paramsValidators, type CallName, type Calls, type Handlers, type NotificationName, type Notifications,
} from './messages.js';

export const heartbeatIntervalMs = 1000;
/** Three heartbeat intervals, so that one late heartbeat doesn't close a connection. */
export const stallLimitMs = 3000;
/** JSON-RPC code of a `RequestError` that the other side reported. */
const requestErrorCode = -32_000;
/** Only created locally, to distinguish a call without a response from an error that the other side reported. */
const callTimeoutErrorCode = -32_001;
const defaultCallTimeoutMs = 10_000;

/** Why a connection ended. */
export type CloseReason = 'closed-here' | 'closed-there' | 'silent' | 'protocol-error' | 'failed';

export type PeerOptions = {
	readonly socket: Socket;
	readonly clock: Clock;
	readonly handlers: Handlers<Peer>;
	/** Returns the content of the next heartbeat. */
	readonly heartbeat: () => Heartbeat;
	readonly onHeartbeat?: (heartbeat: Heartbeat, peer: Peer) => void;
	readonly heartbeatIntervalMs?: number;
	readonly stallLimitMs?: number;
};

export type CallOptions = {readonly timeoutMs?: number};

const createConnectionLostError = (reason: CloseReason): RequestError =>
	createRequestError(`connection lost (${reason})`, {code: 'connection-lost', ran: 'unknown', status: 502});

const createInvalidParametersError = (method: string, findings: readonly Finding[]): JSONRPCErrorException =>
	new JSONRPCErrorException(
		`invalid parameters of ${method}: ${findings.map(finding => `${finding.place} ${finding.problem}`).join('; ')}`,
		JSONRPCErrorCode.InvalidParams,
	);

const createTimeoutResponse = (id: JSONRPCID): JSONRPCErrorResponse =>
	createJSONRPCErrorResponse(id, callTimeoutErrorCode, 'no response before the timeout');

const toWireError = (err: unknown): Error => {
	if (!isRequestError(err)) {
		return err instanceof Error ? err : new Error(String(err));
	}

	const data: Refusal = {code: err.code, ran: err.ran};
	if (err.retryAfterMs !== undefined) {
		data.retryAfterMs = err.retryAfterMs;
	}

	if (err.queuedTokens !== undefined) {
		data.queuedTokens = err.queuedTokens;
	}

	return new JSONRPCErrorException(err.message, requestErrorCode, {...data, status: err.status});
};

const fromWireError = (err: unknown): unknown => {
	if (!(err instanceof JSONRPCErrorException) || err.code !== requestErrorCode) {
		return err;
	}

	const data = err.data as Refusal & {status?: number};
	return createRequestError(err.message, data);
};

/** A connection to another process of the system. */
export class Peer {
	/** Resolves when the connection has ended, for any reason. */
	readonly closed: Promise<CloseReason>;
	/** Set by the owner of the peer, for instance to the id from `hello`; not used here. */
	remoteId = '';

	readonly #options: PeerOptions;
	readonly #reader = new LineReader();
	readonly #client: JSONRPCClient;
	readonly #rpc: JSONRPCServerAndClient;
	readonly #timer: NodeJS.Timeout;
	readonly #resolveClosed: (reason: CloseReason) => void;
	#lastReceivedMs: number;
	#closeReason: CloseReason | undefined;

	constructor(options: PeerOptions) {
		this.#options = options;
		this.#lastReceivedMs = options.clock.nowMs();
		const {promise, resolve} = createDeferred<CloseReason>();
		this.closed = promise;
		this.#resolveClosed = resolve;
		this.#client = new JSONRPCClient(async payload => {
			this.#send(payload);
		});
		this.#rpc = new JSONRPCServerAndClient(
			this.#createServer(),
			this.#client,
			{errorListener() {/* Errors are returned to the caller; a log line per failed call would flood the log. */}},
		);
		this.#attachSocket();
		this.#timer = setInterval(() => {
			this.#sendHeartbeat();
		}, options.heartbeatIntervalMs ?? heartbeatIntervalMs);
	}

	get isOpen(): boolean {
		return this.#closeReason === undefined;
	}

	/** Bytes that are written but not yet passed to the operating system; grows when the other side reads slowly. */
	get bufferedBytes(): number {
		return this.#options.socket.writableLength;
	}

	get bytesSent(): number {
		return this.#options.socket.bytesWritten;
	}

	get bytesReceived(): number {
		return this.#options.socket.bytesRead;
	}

	async call<Name extends CallName>(
		name: Name,
		params: Calls[Name]['params'],
		options: CallOptions = {},
	): Promise<Calls[Name]['result']> {
		if (this.#closeReason) {
			throw createRequestError('connection is closed', {code: 'connection-closed', ran: 'not-run', status: 503});
		}

		try {
			const timeoutMs = options.timeoutMs ?? defaultCallTimeoutMs;
			return await this.#client.timeout(timeoutMs, createTimeoutResponse).request(name, params as JSONRPCParams) as Calls[Name]['result'];
		} catch (error) {
			throw this.#toCallError(error);
		}
	}

	notify<Name extends NotificationName>(name: Name, params: Notifications[Name]): void {
		if (!this.#closeReason) {
			this.#rpc.notify(name, params as JSONRPCParams);
		}
	}

	close(reason: CloseReason = 'closed-here'): void {
		if (this.#closeReason) {
			return;
		}

		this.#closeReason = reason;
		clearInterval(this.#timer);
		this.#options.socket.destroy();
		this.#rpc.rejectAllPendingRequests('connection lost');
		this.#resolveClosed(reason);
	}

	#createServer(): JSONRPCServer {
		const server = new JSONRPCServer({errorListener() {/* Errors are returned to the caller, as above. */}});
		const names = Object.keys(paramsValidators) as Array<CallName | NotificationName | 'heartbeat'>;
		for (const name of names) {
			const handler = name === 'heartbeat' ? this.#receiveHeartbeat : this.#options.handlers[name];
			if (handler) {
				server.addMethod(name, async params => this.#handle(name, handler as UntypedHandler, params));
			}
		}

		return server;
	}

	readonly #receiveHeartbeat = (heartbeat: Heartbeat): void => {
		this.#options.onHeartbeat?.(heartbeat, this);
	};

	async #handle(name: CallName | NotificationName | 'heartbeat', handler: UntypedHandler, params: unknown): Promise<unknown> {
		const checked = validate(paramsValidators[name], params);
		if (!checked.ok) {
			throw createInvalidParametersError(name, checked.findings);
		}

		try {
			return await handler(checked.value, this) ?? null;
		} catch (error) {
			throw toWireError(error);
		}
	}

	#attachSocket(): void {
		const {socket} = this.#options;
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', () => {
			this.close('failed');
		});
		socket.on('close', () => {
			this.close('closed-there');
		});
	}

	#receive(chunk: Uint8Array): void {
		this.#lastReceivedMs = this.#options.clock.nowMs();
		try {
			for (const line of this.#reader.push(chunk)) {
				void this.#rpc.receiveAndSend(JSON.parse(line));
			}
		} catch {
			this.close('protocol-error');
		}
	}

	#send(payload: unknown): void {
		if (!this.#closeReason) {
			this.#options.socket.write(`${JSON.stringify(payload)}\n`);
		}
	}

	/** Sends a heartbeat, or closes the connection if it is stalled. */
	#sendHeartbeat(): void {
		const stalledMs = this.#options.clock.nowMs() - this.#lastReceivedMs;
		if (stalledMs > (this.#options.stallLimitMs ?? stallLimitMs)) {
			this.close('silent');
			return;
		}

		this.#send({jsonrpc: '2.0', method: 'heartbeat', params: this.#options.heartbeat()});
	}

	#toCallError(err: unknown): Error {
		if (this.#closeReason) {
			return createConnectionLostError(this.#closeReason);
		}

		if (err instanceof JSONRPCErrorException && err.code === callTimeoutErrorCode) {
			return createRequestError(err.message, {code: 'call-timeout', ran: 'unknown', status: 504});
		}

		const converted = fromWireError(err);
		return converted instanceof Error ? converted : new Error(String(converted));
	}
}

type UntypedHandler = (params: unknown, peer: Peer) => unknown;

const createDeferred = <Value>(): {promise: Promise<Value>; resolve: (value: Value) => void} => {
	let resolve!: (value: Value) => void;
	const promise = new Promise<Value>(_resolve => {
		resolve = _resolve;
	});
	return {promise, resolve};
};
