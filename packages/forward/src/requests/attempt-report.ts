/**
 * Figures of attempts and of decisions about them, for the log and the metrics.
 */
import type {AttemptResult} from './attempt-result.js';
import type {KeptOut} from './kept-out.js';
import type {RetryDenial} from './outcome.js';

/** Part of an attempt: the prefill at a separate engine, or the call that runs the request. */
export type AttemptPhase = 'prefill' | 'run';

/** State of a decode engine when it was selected. */
export type DecodeView = {
	/** Requests there, this one not included. */
	readonly running: number;
	/** Load with this request: the mean of the fractions of slots and of memory in use; 1 when both are full. */
	readonly load: number;
	/** Load up to which the engine may take the request. */
	readonly maxLoad: number;
	/** Fraction of its KV cache memory in use. */
	readonly memory: number;
	/** Expected wait for a free slot. */
	readonly placeWaitMs: number;
	/** Expected time per output token at that load. */
	readonly msPerToken: number;
};

/** Figures of one attempt. The field names are those of its log line. */
export type AttemptReport = {
	readonly endpoint: string;
	readonly prefill?: string;
	/** Expected time until the first token. */
	readonly expectedMs?: number;
	readonly level?: number;
	readonly uncachedTokens?: number;
	readonly tookMs: number;
	/** Duration of the prefill at a separate prefill engine. */
	readonly prefillMs?: number;
	/** Time from the start of the attempt to the first event of a stream. */
	readonly firstMs?: number;
	/** Calls of this attempt that loaded an endpoint once more for the same request. */
	readonly furtherArrivals: number;
	/** Why the endpoint that failed gets no requests for now. */
	readonly keptOut?: KeptOut;
	/** State of the decode engine when it was selected. */
	readonly decode?: DecodeView;
	readonly result: AttemptResult;
};

/** What was decided about an attempt that has stalled. `replaced`: another attempt has started beside it. */
export type StallDecision = RetryDenial | 'overloaded' | 'replaced';

/** Figures of a decision about a stalled attempt. The field names are those of its log line. */
export type StallReport = {
	readonly endpoint: string;
	readonly phase: AttemptPhase;
	readonly decision: StallDecision;
	/** State of the retry window if it denied another attempt. */
	readonly inputs?: Readonly<Record<string, number>>;
};
