/**
 * The endpoints that this entry knows, with their connections and what is assumed of their load.
 */
import {
	DecodeLatencyModel, OutlierEjection, PrefillLatencyModel, SegmentCache, PrefillBacklog, SplitRejections, StallDetector, type Clock, type EndpointView, type RegisteredEndpoint,
} from '@hawthorncleat/core';
import {createConnections, type Connections} from './connections.js';

/** Callers share an endpoint's connections; a few are left to entries that are not known yet. */
const connectionShare = 0.8;
/** Part of an engine's memory that cached parts are assumed to fill. */
const cachePart = 0.7;

/** An endpoint with its connections. */
export type KnownEndpoint = EndpointView & {
	readonly connections: Connections;
	readonly silence: StallDetector;
	readonly refusals: SplitRejections;
	/** Own requests that run there. */
	ownRunning: number;
	ownLate: number;
	ownTokens: number;
};

export type EndpointPoolOptions = {
	readonly clock: Clock;
	/** Entries that share the endpoints. */
	readonly entries: () => number;
	readonly serviceOf: (name: string) => {readonly maxConnections: number; readonly engine?: {readonly kvTokens: number}} | undefined;
};

const isSameProcess = (a: RegisteredEndpoint, b: RegisteredEndpoint): boolean =>
	a.address === b.address && a.port === b.port && a.startedAt === b.startedAt && a.role === b.role;

export class EndpointPool {
	readonly #options: EndpointPoolOptions;
	readonly #known = new Map<string, KnownEndpoint>();
	readonly #byService = new Map<string, KnownEndpoint[]>();

	constructor(options: EndpointPoolOptions) {
		this.#options = options;
	}

	get(id: string): KnownEndpoint | undefined {
		return this.#known.get(id);
	}

	ofService(service: string): readonly KnownEndpoint[] {
		return this.#byService.get(service) ?? [];
	}

	all(): IterableIterator<KnownEndpoint> {
		return this.#known.values();
	}

	/** Takes over what an endpoint says of itself; a restarted process is known nothing of. */
	put(endpoint: RegisteredEndpoint): void {
		const known = this.#known.get(endpoint.id);
		if (known && isSameProcess(known.endpoint, endpoint)) {
			Object.assign(known, {endpoint});
		} else {
			this.#close(known);
			this.#known.set(endpoint.id, this.#create(endpoint));
		}

		this.#index();
	}

	/** Requests that run there go on. */
	remove(id: string): void {
		this.#close(this.#known.get(id));
		this.#known.delete(id);
		this.#index();
	}

	async destroy(): Promise<void> {
		await Promise.all([...this.#known.values()].map(async ({connections}) => connections.dispatcher.destroy()));
	}

	#create(endpoint: RegisteredEndpoint): KnownEndpoint {
		const service = this.#options.serviceOf(endpoint.service);
		const maxConnections = Math.max(4, Math.floor((service?.maxConnections ?? 64) * connectionShare / Math.max(1, this.#options.entries())));
		return {
			endpoint,
			ejection: new OutlierEjection(),
			prefillBacklog: new PrefillBacklog(this.#options.clock.nowMs()),
			prefillLatency: new PrefillLatencyModel(endpoint.role ?? 'decode'),
			decodeLatency: new DecodeLatencyModel(),
			silence: new StallDetector(),
			refusals: new SplitRejections(),
			segmentCache: new SegmentCache((service?.engine?.kvTokens ?? 0) * cachePart),
			running: 0,
			lateRequests: 0,
			roleChangeUntilMs: 0,
			runningTokens: 0,
			ownRunning: 0,
			ownLate: 0,
			ownTokens: 0,
			connections: createConnections(`http://${endpoint.address}:${endpoint.port}`, maxConnections),
		};
	}

	#close(known: KnownEndpoint | undefined): void {
		known?.connections.dispatcher.close().catch(() => {/* Closing twice is harmless. */});
	}

	#index(): void {
		this.#byService.clear();
		for (const known of this.#known.values()) {
			const endpoints = this.#byService.get(known.endpoint.service) ?? [];
			endpoints.push(known);
			this.#byService.set(known.endpoint.service, endpoints);
		}
	}
}
