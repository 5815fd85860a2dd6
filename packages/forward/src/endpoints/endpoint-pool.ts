/**
 * The registered endpoints, with their connections, their tracked load and their latency estimators.
 */
import {setMaxListeners} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	DecodeLatencyModel, EndpointRateLimit, OutlierEjection, PrefillLatencyModel, RetainedBackoffs, SegmentCache, PrefillBacklog, SplitRejections, StallDetector,
	type Clock, type EndpointView, type RegisteredEndpoint,
} from '@hawthorncleat/core';
import {createConnections, type Connections} from './connections.js';

/** Fraction of an endpoint's connections that the live entries share; the rest is for entries that have just started. */
const liveEntryConnectionFraction = 0.8;
/** Fraction of an engine's KV cache memory that cached prompt segments are assumed to fill. */
const cacheFraction = 0.7;

/** An endpoint with its connections and the load that this entry puts on it. */
export type PooledEndpoint = EndpointView & {
	readonly connections: Connections;
	/** Aborted when the endpoint takes no new requests any more. Only requests that wait for a connection listen to its signal. */
	withdrawal: AbortController;
	readonly stallDetector: StallDetector;
	readonly splitRejections: SplitRejections;
	/** Requests of this entry that run there; `ownLateRequests` of them in the lowest priority class. */
	ownRunning: number;
	ownLateRequests: number;
	ownTokens: number;
};

export type EndpointPoolOptions = {
	readonly clock: Clock;
	/** Number of live entries, which share the endpoints. */
	readonly entries: () => number;
	/** The limit of an endpoint's process, which outlasts its registration. By default there is none. */
	readonly rateLimitOf?: (endpoint: RegisteredEndpoint) => EndpointRateLimit;
	readonly serviceOf: (name: string) => {readonly maxConnections: number; readonly engine?: {readonly kvTokens: number}} | undefined;
};

const isSameProcess = (a: RegisteredEndpoint, b: RegisteredEndpoint): boolean =>
	a.address === b.address && a.port === b.port && a.startedAt === b.startedAt && a.role === b.role;

const createWithdrawal = (): AbortController => {
	const controller = new AbortController();
	// Any number of requests may wait for a connection.
	setMaxListeners(0, controller.signal);
	return controller;
};

const createUnlimited = (): EndpointRateLimit => new EndpointRateLimit({share: () => 1, phase: () => 0});

export class EndpointPool {
	readonly #options: EndpointPoolOptions;
	readonly #byId = new Map<string, PooledEndpoint>();
	readonly #byService = new Map<string, PooledEndpoint[]>();
	readonly #backoffs = new RetainedBackoffs();

	constructor(options: EndpointPoolOptions) {
		this.#options = options;
	}

	get(id: string): PooledEndpoint | undefined {
		return this.#byId.get(id);
	}

	ofService(service: string): readonly PooledEndpoint[] {
		return this.#byService.get(service) ?? [];
	}

	/** Number of endpoints. */
	get size(): number {
		return this.#byId.size;
	}

	all(): IterableIterator<PooledEndpoint> {
		return this.#byId.values();
	}

	/**
	 * Whether new requests may be sent to the endpoint: it has neither begun to leave nor been removed or replaced by another process, and it is not in
	 * its backoff.
	 */
	maySend(target: PooledEndpoint): boolean {
		return !target.endpoint.isLeaving && !target.backoff.isActive(this.#options.clock.nowMs()) && this.#byId.get(target.endpoint.id) === target;
	}

	/** Ends the exchanges with an endpoint that wait for a connection, so that their requests are sent elsewhere. */
	withdrawWaiting(target: PooledEndpoint): void {
		const {withdrawal} = target;
		target.withdrawal = createWithdrawal();
		withdrawal.abort();
	}

	/**
	 * Adds or updates an endpoint. A restarted process starts without load, estimates or connections; a process that is registered again keeps its
	 * backoff.
	 */
	put(endpoint: RegisteredEndpoint): void {
		const pooled = this.#byId.get(endpoint.id);
		if (pooled && isSameProcess(pooled.endpoint, endpoint)) {
			const hasBegunToLeave = endpoint.isLeaving && !pooled.endpoint.isLeaving;
			Object.assign(pooled, {endpoint});
			if (hasBegunToLeave) {
				this.withdrawWaiting(pooled);
			}
		} else {
			this.#close(pooled);
			this.#byId.set(endpoint.id, this.#create(endpoint));
		}

		this.#indexByService();
	}

	/** Removes an endpoint. Requests that run there continue. */
	remove(id: string): void {
		this.#close(this.#byId.get(id));
		this.#byId.delete(id);
		this.#indexByService();
	}

	/** Closes all connections once the calls on them have ended, such as releases of KV caches, or after the limit. */
	async close(limitMs: number): Promise<void> {
		const closed = Promise.all([...this.#byId.values()].map(async ({connections}) => connections.close()));
		const limit = new AbortController();
		await Promise.race([closed, sleep(limitMs, undefined, {signal: limit.signal}).catch(() => undefined)]);
		limit.abort();
		await this.destroy();
	}

	async destroy(): Promise<void> {
		await Promise.all([...this.#byId.values()].map(async ({connections}) => connections.dispatcher.destroy()));
	}

	#create(endpoint: RegisteredEndpoint): PooledEndpoint {
		const service = this.#options.serviceOf(endpoint.service);
		const maxConnections = Math.max(4, Math.floor((service?.maxConnections ?? 64) * liveEntryConnectionFraction / Math.max(1, this.#options.entries())));
		const sameRole = this.ofService(endpoint.service).filter(other => other.endpoint.role === endpoint.role);
		return {
			endpoint,
			ejection: new OutlierEjection(),
			backoff: this.#backoffs.restore(endpoint),
			rateLimit: this.#options.rateLimitOf?.(endpoint) ?? createUnlimited(),
			prefillBacklog: new PrefillBacklog(this.#options.clock.nowMs()),
			prefillLatency: new PrefillLatencyModel(endpoint.role ?? 'decode', sameRole.map(({prefillLatency}) => prefillLatency)),
			decodeLatency: new DecodeLatencyModel(),
			stallDetector: new StallDetector(),
			splitRejections: new SplitRejections(),
			segmentCache: new SegmentCache((service?.engine?.kvTokens ?? 0) * cacheFraction),
			running: 0,
			lateRequests: 0,
			roleChangeUntilMs: 0,
			runningTokens: 0,
			ownRunning: 0,
			ownLateRequests: 0,
			ownTokens: 0,
			withdrawal: createWithdrawal(),
			connections: createConnections(`http://${endpoint.address}:${endpoint.port}`, maxConnections),
		};
	}

	#close(pooled: PooledEndpoint | undefined): void {
		if (pooled) {
			this.#backoffs.retain(pooled.endpoint, pooled.backoff, this.#options.clock.nowMs());
		}

		pooled?.withdrawal.abort();
		pooled?.connections.close().catch(() => {/* Closing twice is harmless. */});
	}

	#indexByService(): void {
		this.#byService.clear();
		for (const pooled of this.#byId.values()) {
			const endpoints = this.#byService.get(pooled.endpoint.service) ?? [];
			endpoints.push(pooled);
			this.#byService.set(pooled.endpoint.service, endpoints);
		}
	}
}
