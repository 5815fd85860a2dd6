/**
 * The calls to one endpoint that wait for a connection. The HTTP client has such a queue, too, but nothing can be taken out of it before a connection is free, so a
 * call that nobody waits for any more would keep its body. Calls are started in turns of their groups, so that one client account with many requests does not hold
 * up the others.
 */

/** Of one endpoint. More would wait beyond the time limit of most requests. */
const defaultMaxWaiting = 1000;
const defaultMaxWaitingBytes = 32 * 1024 * 1024;

/** A call that needs a connection. */
export type QueuedCall = {
	/** The client account, or an empty text for calls of this process. */
	readonly group: string;
	/** Size of its body. */
	readonly bytes: number;
	/** Called once a connection is free for it. */
	readonly start: () => void;
};

export type ConnectionQueueOptions = {
	/** Calls that may run at the same time. */
	readonly connections: number;
	readonly maxWaiting?: number;
	readonly maxWaitingBytes?: number;
};

export class ConnectionQueue {
	readonly #options: Required<ConnectionQueueOptions>;
	/** Waiting calls by group; the group whose turn is next comes first. */
	readonly #groups = new Map<string, Set<QueuedCall>>();
	readonly #onIdle: Array<() => void> = [];
	#running = 0;
	#waiting = 0;
	#waitingBytes = 0;

	constructor(options: ConnectionQueueOptions) {
		this.#options = {maxWaiting: defaultMaxWaiting, maxWaitingBytes: defaultMaxWaitingBytes, ...options};
	}

	/** Calls that wait. */
	get waiting(): number {
		return this.#waiting;
	}

	get waitingBytes(): number {
		return this.#waitingBytes;
	}

	/** Starts a call, or keeps it until a connection is free. Returns false if too many wait. */
	enter(call: QueuedCall): boolean {
		if (this.#running < this.#options.connections) {
			this.#running += 1;
			call.start();
			return true;
		}

		const {maxWaiting, maxWaitingBytes} = this.#options;
		if (this.#waiting >= maxWaiting || this.#waitingBytes + call.bytes > maxWaitingBytes) {
			return false;
		}

		const calls = this.#groups.get(call.group) ?? new Set();
		this.#groups.set(call.group, calls.add(call));
		this.#waiting += 1;
		this.#waitingBytes += call.bytes;
		return true;
	}

	/** Takes out a call that has not started. */
	leave(call: QueuedCall): void {
		const calls = this.#groups.get(call.group);
		if (!calls?.delete(call)) {
			return;
		}

		this.#waiting -= 1;
		this.#waitingBytes -= call.bytes;
		if (calls.size === 0) {
			this.#groups.delete(call.group);
		}

		this.#reportIdle();
	}

	/** Records that a call that was started has ended, and starts the next one. */
	release(): void {
		this.#running -= 1;
		const next = this.#takeNext();
		if (next) {
			this.#running += 1;
			next.start();
		}

		this.#reportIdle();
	}

	/** Resolves when no call waits any more. */
	async whenIdle(): Promise<void> {
		return new Promise(resolve => {
			this.#onIdle.push(resolve);
			this.#reportIdle();
		});
	}

	#takeNext(): QueuedCall | undefined {
		const [group, calls] = this.#groups.entries().next().value ?? [];
		const [call] = calls ?? [];
		if (group === undefined || !calls || !call) {
			return undefined;
		}

		this.leave(call);
		if (calls.size > 0) {
			this.#groups.delete(group);
			this.#groups.set(group, calls);
		}

		return call;
	}

	#reportIdle(): void {
		if (this.#waiting > 0) {
			return;
		}

		for (const resolve of this.#onIdle.splice(0)) {
			resolve();
		}
	}
}
