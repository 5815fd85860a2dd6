/**
 * What one entry believes about the load of its endpoints now. Reports describe the past: the view drains the reported
 * work at the engine's rate and adds the entry's own dispatches that the report cannot contain yet. The answer to a
 * dispatch carries the queue length and replaces an older reading.
 */
import {estimatePrefillTokensPerMs, type EngineRates, type EngineRole} from './engine-model.js';

/** Contents of a load report that decisions use. */
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
	/** Requests in decode or on their way to it. */
	readonly running: number;
	/** The same with only the entry's own dispatches added to the reading, not those that other entries are assumed to make. */
	readonly observedRunning: number;
	/** Prompt tokens that wait ahead of a new request. */
	readonly waitingTokens: number;
	readonly freeTokens: number;
	readonly leaving: boolean;
	/** Time since the newest reading described the endpoint. */
	readonly readingAgeMs: number;
	/** Probability that the endpoint still holds the prefix, from 0 to 1. */
	holdsPrefix(prefix: string): number;
};

/** An endpoint that the entry is connected to. */
export type EndpointInfo = Pick<EndpointState, 'id' | 'dataCentre' | 'distanceMs' | 'rates'>;

/** One dispatch of this entry to an endpoint. */
export type Dispatch = {
	/** Prompt tokens that are not expected in the cache; 0 for a dispatch to decode only. */
	readonly prefillTokens: number;
	/** Requests added to the decode batch: 0 for a dispatch to a prefill engine. */
	readonly decodeRequests: number;
	/** Tokens of KV cache that the request takes. */
	readonly kvTokens: number;
	readonly prefixes: readonly string[];
};

export type LoadEstimatorOptions = {
	/** Age of a report at its arrival. Cache and load reports come about 2 s late. */
	readonly reportLagMs: number;
	/** Entries that dispatch to the same endpoints at a like rate; each own dispatch stands for that many. */
	readonly entries: number;
};

// A reported prefix may have been evicted since, and events have gaps, so neither source is certain.
const reportedPrefixConfidence = 0.9;
const dispatchedPrefixConfidence = 0.8;
// After this time half of the unreported prefixes of a loaded engine are taken to be evicted.
const prefixHalfLifeMs = 20_000;
// A dispatch this long ago says nothing about the cache any more; forgetting it bounds the memory.
const prefixMemoryMs = 10 * prefixHalfLifeMs;

type Sent = Dispatch & {readonly atMs: number};
/** The end of a request that this entry dispatched. */
type Ended = {readonly atMs: number; readonly kvTokens: number};
type Known = {
	readonly info: EndpointInfo;
	reading: LoadReading | undefined;
	reported: ReadonlySet<string>;
	/** Time that the running, free and role figures describe. */
	describesMs: number;
	/** Time that the queue length describes; later than `describesMs` after an answer to a dispatch. */
	queueAtMs: number;
	queueTokens: number;
	/** Dispatches and ends that the newest report does not contain yet. */
	sent: Sent[];
	recordDecodeEnd: Ended[];
	readonly dispatchedPrefixes: Map<string, number>;
};

const forgetBefore = <Event extends {readonly atMs: number}>(events: readonly Event[], timeMs: number): Event[] =>
	events.filter(({atMs}) => atMs > timeMs);

const forgetPrefixes = (dispatched: Map<string, number>, timeMs: number): void => {
	for (const [prefix, atMs] of dispatched) {
		if (atMs > timeMs) {
			return;
		}

		dispatched.delete(prefix);
	}
};

/** Queue length now: the reading, drained at the engine's rate, with the later dispatches added when they were made. */
const estimateQueue = (known: Known, reading: LoadReading, nowMs: number, entries: number): number => {
	const rate = estimatePrefillTokensPerMs(known.info.rates, reading.role, reading.running);
	let tokens = known.queueTokens;
	let atMs = known.queueAtMs;
	for (const dispatch of known.sent) {
		if (dispatch.atMs <= known.queueAtMs) {
			continue;
		}

		tokens = Math.max(0, tokens - (rate * (dispatch.atMs - atMs))) + (dispatch.prefillTokens * entries);
		atMs = dispatch.atMs;
	}

	return Math.max(0, tokens - (rate * (nowMs - atMs)));
};

/** Load of the endpoints of one model as one entry sees it. */
export class LoadEstimator {
	readonly #known = new Map<string, Known>();
	readonly #options: LoadEstimatorOptions;

	constructor(options: LoadEstimatorOptions) {
		this.#options = options;
	}

	/** Adds an endpoint; it is chosen only after its first report. */
	add(info: EndpointInfo): void {
		this.#known.set(info.id, {
			info, reading: undefined, reported: new Set(), describesMs: 0, queueAtMs: 0, queueTokens: 0, sent: [], recordDecodeEnd: [], dispatchedPrefixes: new Map(),
		});
	}

	remove(id: string): void {
		this.#known.delete(id);
	}

	/** Takes in a load report that arrived at `nowMs`. */
	applyReport(id: string, reading: LoadReading, nowMs: number): void {
		const known = this.#known.get(id);
		if (!known) {
			return;
		}

		known.reading = reading;
		known.reported = new Set(reading.prefixes);
		known.describesMs = nowMs - this.#options.reportLagMs;
		known.sent = forgetBefore(known.sent, known.describesMs);
		known.recordDecodeEnd = forgetBefore(known.recordDecodeEnd, known.describesMs);
		forgetPrefixes(known.dispatchedPrefixes, nowMs - prefixMemoryMs);
		if (known.describesMs >= known.queueAtMs) {
			known.queueAtMs = known.describesMs;
			known.queueTokens = reading.waitingTokens;
		}
	}

	/** Notes a dispatch of this entry. */
	recordDispatch(id: string, dispatch: Dispatch, nowMs: number): void {
		const known = this.#known.get(id);
		known?.sent.push({...dispatch, atMs: nowMs});
		for (const prefix of dispatch.prefixes) {
			// Deleted first, so that the map stays in order of time.
			known?.dispatchedPrefixes.delete(prefix);
			known?.dispatchedPrefixes.set(prefix, nowMs);
		}
	}

	/** Notes the end of a request in decode at the endpoint. */
	ended(id: string, kvTokens: number, nowMs: number): void {
		this.#known.get(id)?.recordDecodeEnd.push({atMs: nowMs, kvTokens});
	}

	/** Takes in the queue length that came with the answer to a dispatch, accepted or refused. */
	recordQueueLength(id: string, queuedTokens: number, nowMs: number): void {
		const known = this.#known.get(id);
		if (known) {
			known.queueAtMs = nowMs;
			known.queueTokens = queuedTokens;
		}
	}

	/** Estimated state of one endpoint; undefined before its first report. */
	estimate(id: string, nowMs: number): EndpointState | undefined {
		const known = this.#known.get(id);
		return known?.reading && this.#estimate(known, known.reading, nowMs);
	}

	/** Estimated state of every endpoint that has reported. */
	estimateAll(nowMs: number): EndpointState[] {
		return [...this.#known.values()].flatMap(known => known.reading ? [this.#estimate(known, known.reading, nowMs)] : []);
	}

	#estimate(known: Known, reading: LoadReading, nowMs: number): EndpointState {
		const {entries} = this.#options;
		let decodes = -known.recordDecodeEnd.length;
		let kvTokens = 0;
		for (const dispatch of known.sent) {
			decodes += dispatch.decodeRequests;
			kvTokens += dispatch.kvTokens;
		}

		for (const ended of known.recordDecodeEnd) {
			kvTokens -= ended.kvTokens;
		}

		// Spreading `info` here costs more than the rest of the estimate.
		const {id, dataCentre, distanceMs, rates} = known.info;
		return {
			id,
			dataCentre,
			distanceMs,
			rates,
			role: reading.role,
			running: Math.max(0, reading.running + reading.waiting + (decodes * entries)),
			observedRunning: Math.max(0, reading.running + reading.waiting + decodes),
			waitingTokens: estimateQueue(known, reading, nowMs, entries),
			freeTokens: reading.freeTokens - (kvTokens * entries),
			leaving: reading.leaving,
			readingAgeMs: nowMs - Math.max(known.describesMs, known.queueAtMs),
			holdsPrefix: prefix => holdsPrefix(known, prefix, nowMs),
		};
	}
}

const holdsPrefix = (known: Known, prefix: string, nowMs: number): number => {
	const reported = known.reported.has(prefix) ? reportedPrefixConfidence : 0;
	const dispatchedAtMs = known.dispatchedPrefixes.get(prefix);
	if (dispatchedAtMs === undefined) {
		return reported;
	}

	const age = (nowMs - dispatchedAtMs) / prefixHalfLifeMs;
	return Math.max(reported, dispatchedPrefixConfidence * (0.5 ** age));
};
