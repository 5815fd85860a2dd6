/**
 * The endpoints that this entry knows, with their connections and what is assumed of their load.
 */
import {
	DecodePace, EndpointTrust, EnginePace, PartCache, PrefillBacklog, Refusals, StreamSilence, type Clock, type EndpointView, type RegisteredEndpoint,
} from '@hawthorncleat/core';
import {createConnections, type Connections} from './connections.js';

/** Callers share an endpoint's connections; a few are left to entries that are not known yet. */
const connectionShare = 0.8;
/** Part of an engine's memory that cached parts are assumed to fill. */
const cachePart = 0.7;

/** An endpoint with its connections. */
export type PooledEndpoint = EndpointView & {
	readonly connections: Connections;
	readonly stallDetector: StreamSilence;
	readonly refusals: Refusals;
	/** Own requests that run there. */
	ownRunning: number;
	ownLateRequests: number;
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
	readonly #known = new Map<string, PooledEndpoint>();
	readonly #byService = new Map<string, PooledEndpoint[]>();

	constructor(options: EndpointPoolOptions) {
		this.#options = options;
	}

	get(id: string): PooledEndpoint | undefined {
		return this.#known.get(id);
	}

	ofService(service: string): readonly PooledEndpoint[] {
		return this.#byService.get(service) ?? [];
	}

	all(): IterableIterator<PooledEndpoint> {
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

	#create(endpoint: RegisteredEndpoint): PooledEndpoint {
		const service = this.#options.serviceOf(endpoint.service);
		const maxConnections = Math.max(4, Math.floor((service?.maxConnections ?? 64) * connectionShare / Math.max(1, this.#options.entries())));
		return {
			endpoint,
			trust: new EndpointTrust(),
			work: new PrefillBacklog(this.#options.clock.nowMs()),
			pace: new EnginePace(endpoint.role ?? 'decode'),
			decode: new DecodePace(),
			stallDetector: new StreamSilence(),
			refusals: new Refusals(),
			parts: new PartCache((service?.engine?.kvTokens ?? 0) * cachePart),
			running: 0,
			late: 0,
			changesUntilMs: 0,
			runningTokens: 0,
			ownRunning: 0,
			ownLateRequests: 0,
			ownTokens: 0,
			connections: createConnections(`http://${endpoint.address}:${endpoint.port}`, maxConnections),
		};
	}

	#close(known: PooledEndpoint | undefined): void {
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
