/**
 * Tracks the load of the endpoints: requests of this entry as soon as they start and end, those of other entries from their
 * gossip messages. Also holds the estimators of token demand and answer lengths of each service.
 */
import {
	TokensPerEvent, getOrCreate, LateRequestBudget, LongAnswerLoadLimit, TokenWindow, type Clock, type PromptSegment, type TokenRate, type TrackedPrefill,
} from '@hawthorncleat/core';
import type {EndpointPool, PooledEndpoint} from './endpoint-pool.js';

/** Prefill work that was sent to an engine, as it is gossiped to other entries. */
export type SentWork = {
	readonly endpoint: string;
	readonly level: number;
	/** Prompt tokens that the engine is not expected to have in its cache. */
	readonly tokens: number;
	/** Expected output tokens. */
	readonly outputTokens: number;
	readonly segments: readonly PromptSegment[];
	/** The request was rejected: it counts as demand of the service, but not as work of the engine. */
	readonly isRefused?: boolean;
};

/** Requests that one entry runs at one endpoint; `late` counts those of the lowest priority class, `tokens` their KV cache. */
export type RunningCount = {readonly endpoint: string; readonly requests: number; readonly late: number; readonly tokens: number};

/** What a running request takes up at an engine: KV cache tokens, and whether it is in the lowest priority class. */
export type RequestSize = {readonly tokens: number; readonly isLate: boolean};

/** Without a message for this time, the running requests of another entry no longer count. */
const stalePeerMs = 3000;

type PeerLoad = {receivedMs: number; running: readonly RunningCount[]};

export class LoadTracker {
	readonly #clock: Clock;
	readonly #pool: EndpointPool;
	readonly #peers = new Map<string, PeerLoad>();
	readonly #demand = new Map<string, TokenWindow>();
	readonly #longAnswerLoadLimits = new Map<string, LongAnswerLoadLimit>();
	readonly #tokensPerEvent = new Map<string, TokensPerEvent>();
	readonly #lateRequestBudgets = new Map<string, LateRequestBudget>();
	#sent: SentWork[] = [];

	constructor(clock: Clock, pool: EndpointPool) {
		this.#clock = clock;
		this.#pool = pool;
	}

	/** Token rates that callers request at all entries. */
	tokenDemand(service: string): TokenRate {
		return this.#demandOf(service).rate(this.#clock.nowMs());
	}

	/** Limit on the load of an engine at which the long answers of a service still meet their deadlines. */
	longAnswerLoadLimit(service: string): LongAnswerLoadLimit {
		return getOrCreate(this.#longAnswerLoadLimits, service, () => new LongAnswerLoadLimit());
	}

	/** Estimator of the tokens per event in the streams of a service. */
	tokensPerEvent(service: string): TokensPerEvent {
		return getOrCreate(this.#tokensPerEvent, service, () => new TokensPerEvent());
	}

	/** Prefill budget for the late requests of a service. */
	lateRequestBudget(service: string): LateRequestBudget {
		return getOrCreate(this.#lateRequestBudgets, service, () => new LateRequestBudget());
	}

	/** Counts a request that is sent to an endpoint. */
	startRequest(pooled: PooledEndpoint, size: RequestSize): void {
		this.#count(pooled, size, 1);
	}

	endRequest(pooled: PooledEndpoint, size: RequestSize): void {
		this.#count(pooled, size, -1);
	}

	/** Counts prefill work that is sent to an engine. */
	startPrefill(pooled: PooledEndpoint, work: Omit<SentWork, 'endpoint'>): TrackedPrefill {
		pooled.segmentCache.add(work.segments);
		this.#sent.push({...work, endpoint: pooled.endpoint.id});
		const nowMs = this.#clock.nowMs();
		this.#demandOf(pooled.endpoint.service).add(work.tokens, work.outputTokens, nowMs);
		return pooled.prefillBacklog.track(work.level, pooled.prefillLatency.prefillMs(work.tokens), nowMs);
	}

	/** Counts the demand of a request that is rejected for lack of engine capacity. */
	recordRejected(pooled: PooledEndpoint, {tokens, outputTokens}: Pick<SentWork, 'outputTokens' | 'tokens'>): void {
		this.#sent.push({
			endpoint: pooled.endpoint.id, level: 0, tokens, outputTokens, segments: [], isRefused: true,
		});
		this.#demandOf(pooled.endpoint.service).add(tokens, outputTokens, this.#clock.nowMs());
	}

	endPrefill(pooled: PooledEndpoint, work: TrackedPrefill): void {
		pooled.prefillBacklog.complete(work, this.#clock.nowMs());
	}

	/** Returns the work sent since the last call. */
	drainSent(): SentWork[] {
		const sent = this.#sent;
		this.#sent = [];
		return sent;
	}

	ownRunningCounts(): RunningCount[] {
		return [...this.#pool.all()]
			.filter(({ownRunning}) => ownRunning > 0)
			.map(({endpoint, ownRunning, ownLateRequests, ownTokens}) => ({
				endpoint: endpoint.id, requests: ownRunning, late: ownLateRequests, tokens: ownTokens,
			}));
	}

	/** Applies a gossip message of another entry. */
	applyPeerMessage(peer: string, running: readonly RunningCount[], sent: readonly SentWork[]): void {
		const nowMs = this.#clock.nowMs();
		this.#applyRunning(this.#peers.get(peer)?.running ?? [], -1);
		this.#applyRunning(running, 1);
		this.#peers.set(peer, {receivedMs: nowMs, running});
		for (const {endpoint, level, tokens, outputTokens, segments, isRefused} of sent) {
			const pooled = this.#pool.get(endpoint);
			if (pooled) {
				if (!isRefused) {
					pooled.prefillBacklog.add(level, pooled.prefillLatency.prefillMs(tokens), nowMs);
					pooled.segmentCache.add(segments);
				}

				this.#demandOf(pooled.endpoint.service).add(tokens, outputTokens, nowMs);
			}
		}
	}

	/** Removes the running requests of entries whose messages no longer arrive. */
	dropStalePeers(): void {
		const nowMs = this.#clock.nowMs();
		for (const [peer, {receivedMs, running}] of this.#peers) {
			if (nowMs - receivedMs > stalePeerMs) {
				this.#applyRunning(running, -1);
				this.#peers.delete(peer);
			}
		}
	}

	#count(pooled: PooledEndpoint, {tokens, isLate}: RequestSize, sign: 1 | -1): void {
		const late = isLate ? sign : 0;
		pooled.ownRunning += sign;
		pooled.ownLateRequests += late;
		pooled.ownTokens += sign * tokens;
		pooled.running += sign;
		pooled.lateRequests += late;
		pooled.runningTokens += sign * tokens;
	}

	#demandOf(service: string): TokenWindow {
		return getOrCreate(this.#demand, service, () => new TokenWindow());
	}

	/** Endpoints are added and removed between two messages, so a count could fall below that of this entry, which is its minimum. */
	#applyRunning(running: readonly RunningCount[], sign: 1 | -1): void {
		for (const {endpoint, requests, late, tokens} of running) {
			const pooled = this.#pool.get(endpoint);
			if (pooled) {
				pooled.running = Math.max(pooled.ownRunning, pooled.running + (sign * requests));
				pooled.lateRequests = Math.max(pooled.ownLateRequests, pooled.lateRequests + (sign * late));
				pooled.runningTokens = Math.max(pooled.ownTokens, pooled.runningTokens + (sign * tokens));
			}
		}
	}
}
