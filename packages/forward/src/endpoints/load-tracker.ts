/**
 * Tracks the load of the endpoints: requests of this entry as soon as they start and end, those of other entries from their
 * gossip messages. Also holds the estimators of token demand and answer lengths of each service.
 */
import {
	TokensPerEvent, getOrCreate, LateRequestBudget, LongAnswerLoadLimit, TokenWindow,
	type Clock, type LevelWork, type PrefillSize, type PromptSegment, type TokenRate, type TrackedPrefill,
} from '@hawthorncleat/core';
import type {EndpointPool, PooledEndpoint} from './endpoint-pool.js';
import {EngineSpeeds, type MeasuredSpeed} from './engine-speeds.js';

/** Prefill work that was sent to an engine, as it is gossiped to other entries. */
export type SentWork = {
	readonly endpoint: string;
	readonly level: number;
	/** Prompt tokens that the engine is not expected to have in its cache. */
	readonly tokens: number;
	/** Prompt tokens before them that it is expected to have. */
	readonly cachedTokens: number;
	/** Expected output tokens. */
	readonly outputTokens: number;
	readonly segments: readonly PromptSegment[];
	/** The request was rejected: it counts as demand of the service, but not as work of the engine. */
	readonly isRefused?: boolean;
};

/** Requests that one entry runs at one endpoint; `late` counts those of the lowest priority class, `tokens` their KV cache. */
export type RunningCount = {readonly endpoint: string; readonly requests: number; readonly late: number; readonly tokens: number};

/** Prefills that one entry has sent to one engine and that have not completed. */
export type PendingPrefills = {readonly endpoint: string; readonly work: readonly LevelWork[]};

/** Load of one entry; `prefills` is absent in messages of entries that do not report completions, `speeds` in those of earlier versions. */
export type EntryLoad = {
	readonly running: readonly RunningCount[];
	readonly prefills?: readonly PendingPrefills[];
	readonly sent: readonly SentWork[];
	readonly speeds?: readonly MeasuredSpeed[];
};

/** What a running request takes up at an engine: KV cache tokens, and whether it is in the lowest priority class. */
export type RequestSize = {readonly tokens: number; readonly isLate: boolean};

type PromptTokens = Pick<SentWork, 'cachedTokens' | 'tokens'>;

const sizeOf = ({tokens, cachedTokens}: PromptTokens): PrefillSize => ({uncachedTokens: tokens, cachedTokens});

const prefillMsOf = ({prefillLatency}: PooledEndpoint, work: PromptTokens): number => prefillLatency.prefillMs(sizeOf(work));

/** Without a message for this time, the running requests of another entry no longer count. */
const stalePeerMs = 3000;

type PeerLoad = {readonly receivedMs: number; readonly running: readonly RunningCount[]; readonly prefills: readonly PendingPrefills[]};

export class LoadTracker {
	/** Speeds of the engines. */
	readonly speeds: EngineSpeeds;
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
		this.speeds = new EngineSpeeds(pool);
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
		this.#demandOf(pooled.endpoint.service).add(sizeOf(work), work.outputTokens, {nowMs});
		return pooled.prefillBacklog.track(work.level, prefillMsOf(pooled, work), nowMs);
	}

	/** Counts the demand of a request that is rejected for lack of engine capacity. */
	recordRejected(pooled: PooledEndpoint, {tokens, outputTokens}: Pick<SentWork, 'outputTokens' | 'tokens'>): void {
		this.#sent.push({
			endpoint: pooled.endpoint.id, level: 0, tokens, cachedTokens: 0, outputTokens, segments: [], isRefused: true,
		});
		this.#demandOf(pooled.endpoint.service).add({uncachedTokens: tokens, cachedTokens: 0}, outputTokens, {nowMs: this.#clock.nowMs(), isRejected: true});
	}

	completePrefill(pooled: PooledEndpoint, work: TrackedPrefill): void {
		pooled.prefillBacklog.complete(work, this.#clock.nowMs());
	}

	/** Forgets a prefill that has failed or was given up, which tells nothing of the work that was sent before it. */
	abandonPrefill(pooled: PooledEndpoint, work: TrackedPrefill): void {
		pooled.prefillBacklog.remove(work, this.#clock.nowMs());
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

	/** Prefills of this entry that have not completed. */
	ownPendingPrefills(): PendingPrefills[] {
		const nowMs = this.#clock.nowMs();
		return [...this.#pool.all()]
			.map(({endpoint, prefillBacklog}) => ({endpoint: endpoint.id, work: prefillBacklog.ownPending(nowMs)}))
			.filter(({work}) => work.length > 0);
	}

	/** Applies a gossip message of another entry. */
	applyPeerMessage(peer: string, {running, prefills, sent, speeds = []}: EntryLoad): void {
		this.speeds.apply(speeds);
		const nowMs = this.#clock.nowMs();
		this.#applyRunning(this.#peers.get(peer)?.running ?? [], -1);
		this.#applyRunning(running, 1);
		this.#applyPrefills(peer, prefills ?? []);
		this.#peers.set(peer, {receivedMs: nowMs, running, prefills: prefills ?? []});
		for (const work of sent) {
			const pooled = this.#pool.get(work.endpoint);
			if (pooled) {
				this.#applySent(peer, pooled, {work, isInPrefills: prefills !== undefined});
			}
		}
	}

	/** Removes the running requests of entries whose messages no longer arrive. */
	dropStalePeers(): void {
		const nowMs = this.#clock.nowMs();
		for (const [peer, {receivedMs, running}] of this.#peers) {
			if (nowMs - receivedMs > stalePeerMs) {
				this.#applyRunning(running, -1);
				this.#applyPrefills(peer, []);
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

	#applySent(peer: string, pooled: PooledEndpoint, {work, isInPrefills}: {work: SentWork; isInPrefills: boolean}): void {
		const nowMs = this.#clock.nowMs();
		this.#demandOf(pooled.endpoint.service).add(sizeOf(work), work.outputTokens, {nowMs, isRejected: work.isRefused});
		if (work.isRefused) {
			return;
		}

		pooled.segmentCache.add(work.segments);
		const levelWork = {level: work.level, ms: prefillMsOf(pooled, work)};
		if (isInPrefills) {
			pooled.prefillBacklog.recordArrival(levelWork, nowMs);
		} else {
			pooled.prefillBacklog.add(peer, levelWork, nowMs);
		}
	}

	/** Replaces the pending prefills of another entry at all engines. */
	#applyPrefills(peer: string, prefills: readonly PendingPrefills[]): void {
		const nowMs = this.#clock.nowMs();
		const current = new Set(prefills.map(({endpoint}) => endpoint));
		for (const {endpoint} of this.#peers.get(peer)?.prefills ?? []) {
			if (!current.has(endpoint)) {
				this.#pool.get(endpoint)?.prefillBacklog.setPending(peer, [], nowMs);
			}
		}

		for (const {endpoint, work} of prefills) {
			this.#pool.get(endpoint)?.prefillBacklog.setPending(peer, work, nowMs);
		}
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
