/**
 * Estimates the current load of the endpoints of an entry. Load reports describe the past, so the estimator reduces the
 * reported backlog at the prefill rate of the engine and adds the entry's own dispatches that a report cannot include yet.
 * The answer to a dispatch contains the queue length, which replaces an older reading.
 */
import {estimatePrefillTokensPerMs, type EngineRates, type EngineRole} from './engine-model.js';

/** The fields of a load report that decisions use. */
export type LoadReading = {
	readonly role: EngineRole;
	readonly running: number;
	readonly waiting: number;
	readonly waitingTokens: number;
	readonly freeTokens: number;
	readonly prefixes: readonly string[];
	readonly leaving: boolean;
};

/** Estimated state of one endpoint at the time of a decision. */
export type EndpointState = {
	readonly id: string;
	readonly dataCentre: string;
	/** Round trip to the endpoint. */
	readonly distanceMs: number;
	readonly role: EngineRole;
	readonly rates: EngineRates;
	/** Requests that are in decode or wait for it. */
	readonly running: number;
	/** Like `running`, but without the dispatches that other entries are only assumed to make. */
	readonly observedRunning: number;
	/** Prompt tokens in the queue ahead of a new request. */
	readonly waitingTokens: number;
	readonly freeTokens: number;
	readonly leaving: boolean;
	/** Time since the moment that the newest reading describes. */
	readonly readingAgeMs: number;
	/** Probability, from 0 to 1, that the prefix is still in the endpoint's cache. */
	holdsPrefix(prefix: string): number;
};

/** An endpoint that the entry is connected to. */
export type EndpointInfo = Pick<EndpointState, 'id' | 'dataCentre' | 'distanceMs' | 'rates'>;

/** One dispatch of this entry to an endpoint. */
export type Dispatch = {
	/** Prompt tokens that are not expected in the cache. 0 for a dispatch that only decodes. */
	readonly prefillTokens: number;
	/** Number of requests added to the decode batch. 0 for a dispatch to a prefill engine. */
	readonly decodeRequests: number;
	/** Tokens of KV cache that the request occupies. */
	readonly kvTokens: number;
	readonly prefixes: readonly string[];
};

export type LoadEstimatorOptions = {
	/** Age of a report when it arrives. It is about 2 s for cache and load reports of engines. */
	readonly reportLagMs: number;
	/** Number of entries that dispatch to the same endpoints at a similar rate. Each own dispatch counts that many times. */
	readonly entries: number;
};

// Probabilities below 1, because a reported prefix may have been evicted since, and cache events may be lost.
const reportedPrefixConfidence = 0.9;
const dispatchedPrefixConfidence = 0.8;
// Time after which a loaded engine is assumed to have evicted half of the prefixes that are dispatched but not reported.
const prefixHalfLifeMs = 20_000;
// Prefixes of older dispatches are most likely evicted. Dropping them bounds the memory.
const prefixMemoryMs = 10 * prefixHalfLifeMs;

type SentDispatch = Dispatch & {readonly atMs: number};
/** The end of a request that this entry dispatched. */
type DecodeEnd = {readonly atMs: number; readonly kvTokens: number};
type EndpointRecord = {
	readonly info: EndpointInfo;
	reading: LoadReading | undefined;
	reportedPrefixes: ReadonlySet<string>;
	/** Time that the role, the running requests and the free tokens of the reading describe. */
	reportTimeMs: number;
	/** Time that the queue length describes. After an answer to a dispatch it is later than `reportTimeMs`. */
	queueTimeMs: number;
	queueTokens: number;
	/** Dispatches to the endpoint that the newest report does not include yet, and likewise ends of requests. */
	sent: SentDispatch[];
	decodeEnds: DecodeEnd[];
	readonly dispatchedPrefixes: Map<string, number>;
};

const dropBefore = <Event extends {readonly atMs: number}>(events: readonly Event[], timeMs: number): Event[] =>
	events.filter(({atMs}) => atMs > timeMs);

const dropPrefixesBefore = (dispatched: Map<string, number>, timeMs: number): void => {
	for (const [prefix, atMs] of dispatched) {
		if (atMs > timeMs) {
			return;
		}

		dispatched.delete(prefix);
	}
};

/** The last queue length, reduced at the prefill rate of the engine, with each later dispatch added at its time. */
const estimateQueueTokens = (endpoint: EndpointRecord, reading: LoadReading, nowMs: number, entries: number): number => {
	const rate = estimatePrefillTokensPerMs(endpoint.info.rates, reading.role, reading.running);
	let tokens = endpoint.queueTokens;
	let atMs = endpoint.queueTimeMs;
	for (const dispatch of endpoint.sent) {
		if (dispatch.atMs <= endpoint.queueTimeMs) {
			continue;
		}

		tokens = Math.max(0, tokens - (rate * (dispatch.atMs - atMs))) + (dispatch.prefillTokens * entries);
		atMs = dispatch.atMs;
	}

	return Math.max(0, tokens - (rate * (nowMs - atMs)));
};

/** Estimates the load of the endpoints of one model, from the data of one entry. */
export class LoadEstimator {
	readonly #endpoints = new Map<string, EndpointRecord>();
	readonly #options: LoadEstimatorOptions;

	constructor(options: LoadEstimatorOptions) {
		this.#options = options;
	}

	/** Adds an endpoint. It can be chosen after its first report. */
	add(info: EndpointInfo): void {
		this.#endpoints.set(info.id, {
			info, reading: undefined, reportedPrefixes: new Set(), reportTimeMs: 0, queueTimeMs: 0, queueTokens: 0, sent: [], decodeEnds: [], dispatchedPrefixes: new Map(),
		});
	}

	remove(id: string): void {
		this.#endpoints.delete(id);
	}

	/** Stores a load report that arrived at `nowMs`. */
	applyReport(id: string, reading: LoadReading, nowMs: number): void {
		const endpoint = this.#endpoints.get(id);
		if (!endpoint) {
			return;
		}

		endpoint.reading = reading;
		endpoint.reportedPrefixes = new Set(reading.prefixes);
		endpoint.reportTimeMs = nowMs - this.#options.reportLagMs;
		endpoint.sent = dropBefore(endpoint.sent, endpoint.reportTimeMs);
		endpoint.decodeEnds = dropBefore(endpoint.decodeEnds, endpoint.reportTimeMs);
		dropPrefixesBefore(endpoint.dispatchedPrefixes, nowMs - prefixMemoryMs);
		if (endpoint.reportTimeMs >= endpoint.queueTimeMs) {
			endpoint.queueTimeMs = endpoint.reportTimeMs;
			endpoint.queueTokens = reading.waitingTokens;
		}
	}

	/** Records a dispatch of this entry. */
	recordDispatch(id: string, dispatch: Dispatch, nowMs: number): void {
		const endpoint = this.#endpoints.get(id);
		endpoint?.sent.push({...dispatch, atMs: nowMs});
		for (const prefix of dispatch.prefixes) {
			// Deleting the key first keeps the map in order of time.
			endpoint?.dispatchedPrefixes.delete(prefix);
			endpoint?.dispatchedPrefixes.set(prefix, nowMs);
		}
	}

	/** Records the end of a request that was in decode at the endpoint. */
	recordDecodeEnd(id: string, kvTokens: number, nowMs: number): void {
		this.#endpoints.get(id)?.decodeEnds.push({atMs: nowMs, kvTokens});
	}

	/** Stores the queue length from the answer to a dispatch, whether that was accepted or rejected. */
	recordQueueLength(id: string, queuedTokens: number, nowMs: number): void {
		const endpoint = this.#endpoints.get(id);
		if (endpoint) {
			endpoint.queueTimeMs = nowMs;
			endpoint.queueTokens = queuedTokens;
		}
	}

	/** Estimated state of one endpoint, or undefined before its first report. */
	estimate(id: string, nowMs: number): EndpointState | undefined {
		const endpoint = this.#endpoints.get(id);
		return endpoint?.reading && this.#estimate(endpoint, endpoint.reading, nowMs);
	}

	/** Estimated state of every endpoint that has reported. */
	estimateAll(nowMs: number): EndpointState[] {
		return [...this.#endpoints.values()].flatMap(endpoint => endpoint.reading ? [this.#estimate(endpoint, endpoint.reading, nowMs)] : []);
	}

	#estimate(endpoint: EndpointRecord, reading: LoadReading, nowMs: number): EndpointState {
		const {entries} = this.#options;
		let decodeRequests = -endpoint.decodeEnds.length;
		let kvTokens = 0;
		for (const dispatch of endpoint.sent) {
			decodeRequests += dispatch.decodeRequests;
			kvTokens += dispatch.kvTokens;
		}

		for (const ended of endpoint.decodeEnds) {
			kvTokens -= ended.kvTokens;
		}

		// Spreading `info` would take more time than the whole estimate.
		const {id, dataCentre, distanceMs, rates} = endpoint.info;
		return {
			id,
			dataCentre,
			distanceMs,
			rates,
			role: reading.role,
			running: Math.max(0, reading.running + reading.waiting + (decodeRequests * entries)),
			observedRunning: Math.max(0, reading.running + reading.waiting + decodeRequests),
			waitingTokens: estimateQueueTokens(endpoint, reading, nowMs, entries),
			freeTokens: reading.freeTokens - (kvTokens * entries),
			leaving: reading.leaving,
			readingAgeMs: nowMs - Math.max(endpoint.reportTimeMs, endpoint.queueTimeMs),
			holdsPrefix: prefix => holdsPrefix(endpoint, prefix, nowMs),
		};
	}
}

const holdsPrefix = (endpoint: EndpointRecord, prefix: string, nowMs: number): number => {
	const reportedConfidence = endpoint.reportedPrefixes.has(prefix) ? reportedPrefixConfidence : 0;
	const dispatchedAtMs = endpoint.dispatchedPrefixes.get(prefix);
	if (dispatchedAtMs === undefined) {
		return reportedConfidence;
	}

	const halfLives = (nowMs - dispatchedAtMs) / prefixHalfLifeMs;
	return Math.max(reportedConfidence, dispatchedPrefixConfidence * (0.5 ** halfLives));
};
