/**
 * What this entry knows of the load of engines: its own requests at once, those of other entries by their messages.
 */
import {
	EventTokens, getOrCreate, LateShare, LongAnswers, TokenWindow, type Clock, type PromptPart, type TokenRate, type TrackedWork,
} from '@hawthorncleat/core';
import type {EndpointPool, PooledEndpoint} from './endpoint-pool.js';

/** Work that was sent, as other entries are told of it. */
export type SentWork = {
	readonly endpoint: string;
	readonly level: number;
	/** Prompt tokens that need work. */
	readonly tokens: number;
	/** Expected output tokens. */
	readonly outputTokens: number;
	readonly parts: readonly PromptPart[];
	/** Asked for and refused: demand for engines, but no work for this one. */
	readonly isRefused?: boolean;
};

/** Requests that an entry runs at one endpoint. */
export type RunningCount = {readonly endpoint: string; readonly requests: number; readonly late: number; readonly tokens: number};

/** What a request takes of an engine while it runs. */
export type RequestSize = {readonly tokens: number; readonly isLate: boolean};

/** Other entries that are silent for longer run nothing that this entry knows of. */
const silentPeerMs = 3000;

type PeerLoad = {heardMs: number; running: readonly RunningCount[]};

export class LoadTracker {
	readonly #clock: Clock;
	readonly #pool: EndpointPool;
	readonly #peers = new Map<string, PeerLoad>();
	readonly #demand = new Map<string, TokenWindow>();
	readonly #longAnswers = new Map<string, LongAnswers>();
	readonly #eventTokens = new Map<string, EventTokens>();
	readonly #lateShares = new Map<string, LateShare>();
	#sent: SentWork[] = [];

	constructor(clock: Clock, pool: EndpointPool) {
		this.#clock = clock;
		this.#pool = pool;
	}

	/** Tokens that callers ask for, at all entries. */
	tokenDemand(service: string): TokenRate {
		return this.#demandOf(service).rate(this.#clock.nowMs());
	}

	/** What the long answers of a service need. */
	longAnswers(service: string): LongAnswers {
		return getOrCreate(this.#longAnswers, service, () => new LongAnswers());
	}

	/** How many tokens the events of a service's streams have. */
	eventTokens(service: string): EventTokens {
		return getOrCreate(this.#eventTokens, service, () => new EventTokens());
	}

	/** What is kept for the late requests of a service. */
	lateRequestBudget(service: string): LateShare {
		return getOrCreate(this.#lateShares, service, () => new LateShare());
	}

	/** Counts a request that is sent. */
	startRequest(known: PooledEndpoint, size: RequestSize): void {
		this.#count(known, size, 1);
	}

	endRequest(known: PooledEndpoint, size: RequestSize): void {
		this.#count(known, size, -1);
	}

	/** Counts prefill work that is sent. */
	startPrefill(known: PooledEndpoint, work: Omit<SentWork, 'endpoint'>): TrackedWork {
		known.parts.add(work.parts);
		this.#sent.push({...work, endpoint: known.endpoint.id});
		const nowMs = this.#clock.nowMs();
		this.#demandOf(known.endpoint.service).add(work.tokens, work.outputTokens, nowMs);
		return known.work.track(work.level, known.pace.workMs(work.tokens), nowMs);
	}

	/** Counts the demand of a request that is refused for lack of engines. */
	recordRejected(known: PooledEndpoint, {tokens, outputTokens}: Pick<SentWork, 'outputTokens' | 'tokens'>): void {
		this.#sent.push({
			endpoint: known.endpoint.id, level: 0, tokens, outputTokens, parts: [], isRefused: true,
		});
		this.#demandOf(known.endpoint.service).add(tokens, outputTokens, this.#clock.nowMs());
	}

	endPrefill(known: PooledEndpoint, work: TrackedWork): void {
		known.work.settle(work, this.#clock.nowMs());
	}

	/** What has been sent since the last call. */
	drainSent(): SentWork[] {
		const sent = this.#sent;
		this.#sent = [];
		return sent;
	}

	ownRunningCounts(): RunningCount[] {
		return [...this.#pool.all()]
			.filter(({ownRunning}) => ownRunning > 0)
			.map(({endpoint, ownRunning, ownLateRequests: ownLate, ownTokens}) => ({
				endpoint: endpoint.id, requests: ownRunning, late: ownLate, tokens: ownTokens,
			}));
	}

	/** Takes over a message of another entry. */
	applyPeerMessage(peer: string, running: readonly RunningCount[], sent: readonly SentWork[]): void {
		const nowMs = this.#clock.nowMs();
		this.#applyRunning(this.#peers.get(peer)?.running ?? [], -1);
		this.#applyRunning(running, 1);
		this.#peers.set(peer, {heardMs: nowMs, running});
		for (const {endpoint, level, tokens, outputTokens, parts, isRefused} of sent) {
			const known = this.#pool.get(endpoint);
			if (known) {
				if (!isRefused) {
					known.work.add(level, known.pace.workMs(tokens), nowMs);
					known.parts.add(parts);
				}

				this.#demandOf(known.endpoint.service).add(tokens, outputTokens, nowMs);
			}
		}
	}

	/** Forgets the requests of entries that have gone silent. */
	dropStalePeers(): void {
		const nowMs = this.#clock.nowMs();
		for (const [peer, {heardMs, running}] of this.#peers) {
			if (nowMs - heardMs > silentPeerMs) {
				this.#applyRunning(running, -1);
				this.#peers.delete(peer);
			}
		}
	}

	#count(known: PooledEndpoint, {tokens, isLate}: RequestSize, sign: 1 | -1): void {
		const late = isLate ? sign : 0;
		known.ownRunning += sign;
		known.ownLateRequests += late;
		known.ownTokens += sign * tokens;
		known.running += sign;
		known.late += late;
		known.runningTokens += sign * tokens;
	}

	#demandOf(service: string): TokenWindow {
		return getOrCreate(this.#demand, service, () => new TokenWindow());
	}

	/** Endpoints come and go between two messages, so counts never fall below the own ones. */
	#applyRunning(running: readonly RunningCount[], sign: 1 | -1): void {
		for (const {endpoint, requests, late, tokens} of running) {
			const known = this.#pool.get(endpoint);
			if (known) {
				known.running = Math.max(known.ownRunning, known.running + (sign * requests));
				known.late = Math.max(known.ownLateRequests, known.late + (sign * late));
				known.runningTokens = Math.max(known.ownTokens, known.runningTokens + (sign * tokens));
			}
		}
	}
}
