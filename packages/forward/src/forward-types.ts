/**
 * Types shared by the modules that serve one request: the admitted request, their dependencies, the result of an attempt
 * and the outcome of the request.
 */
import type {Buffer} from 'node:buffer';
import type {
	Clock, FailureKind, ForwardAccount, ForwardRoute, ForwardService, Random, RequestArrivals, RetryWindow,
} from '@hawthorncleat/core';
import type {AttemptControl, AttemptPhase} from './attempt-race.js';
import type {CallerExchange} from './caller-exchange.js';
import type {CrashGuard} from './crash-guard.js';
import type {AnswerListener} from './endpoint-answer.js';
import type {EndpointPool, PooledEndpoint} from './endpoint-pool.js';
import type {KeptOut} from './kept-out.js';
import type {LoadTracker} from './load-tracker.js';
import type {PrefilledPrompt} from './placement.js';
import type {CallerRequest, WireFormat} from './ports.js';
import type {StopTimes} from './stop-times.js';
import type {StreamRelay} from './stream-relay.js';

/** A request that has been authorized and read. */
export type AdmittedRequest = {
	readonly request: CallerRequest;
	readonly body: Buffer | undefined;
	readonly route: ForwardRoute;
	readonly service: ForwardService;
	readonly account: ForwardAccount | undefined;
	readonly exchange: CallerExchange;
	/** Expected output tokens of a model request; 0 for other requests. */
	readonly outputTokens: number;
};

export type ForwardDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly wire: WireFormat;
	readonly answerListener: AnswerListener;
	readonly pool: EndpointPool;
	readonly load: LoadTracker;
	readonly dataCentre: string;
	readonly stop: StopTimes;
	readonly retryWindowOf: (service: string) => RetryWindow;
	/** Called with the service of each request, for the shares in the limits of its endpoints. */
	readonly onRequest: (service: string) => void;
	/** Called when an endpoint has begun to run a request, so that it counts as usage of its account. */
	readonly onRun: (admitted: AdmittedRequest) => void;
	readonly crashes: Pick<CrashGuard, 'checkEndpoint' | 'quarantineRemainingMs' | 'recordAllowedRequest' | 'recordBrokenRequest' | 'recordCompletedRequest' | 'recordCompletedStream' | 'recordCrash'>;
	readonly onAttempt: (admitted: AdmittedRequest, attempt: AttemptReport) => void;
	readonly onStall: (admitted: AdmittedRequest, stall: StallReport) => void;
};

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

/** Progress of a stream and the load of its engine. */
export type StreamView = {
	/** Complete events that arrived from the engine. */
	readonly events: number;
	/** Mean and highest load of the engine, sampled whenever events arrive. */
	readonly meanLoad: number;
	readonly maxLoad: number;
};

/** What is known of the stream of an attempt, however the attempt has ended. */
export type StreamFigures = {
	/** Time from the call that runs the request to the first event. */
	readonly firstMs?: number;
	/** When the request was sent to run, and when its first event arrived. */
	readonly startedMs?: number;
	readonly beganMs?: number;
	readonly stream?: StreamView;
};

/** The result of one attempt. */
export type AttemptResult
	= | (StreamFigures & {readonly kind: 'answered'; readonly status: number; readonly prefillMs?: number})
		| FailedAttempt
		| SupersededAttempt;

/** An attempt that was ended because another one of the request delivered first. */
export type SupersededAttempt = StreamFigures & {
	readonly kind: 'superseded';
	/** Something was written to a connection. */
	readonly wasSent: boolean;
	/** The endpoint may have begun to run the request. */
	readonly mayHaveRun: boolean;
};

export type FailedAttempt = StreamFigures & {
	readonly kind: 'failed';
	readonly failure: FailureKind;
	/** The endpoint stated for how long it wants no other request. */
	readonly retryAfterMs?: number;
	readonly answer?: DeferredAnswer;
	readonly detail: string;
	/** The target of the attempt or its prefill engine. */
	readonly failedAt: PooledEndpoint;
	/** The connection was refused: no process listens at the address. */
	readonly isDown?: boolean;
	/** Nothing was written, because the endpoint began to leave, or a backoff from it began, while the request waited. */
	readonly isWithdrawn?: boolean;
	/** The endpoint answered that another endpoint has this address now, or that it has another role. */
	readonly isMisdirected?: boolean;
};

/** An error answer of an endpoint. It is sent to the caller only if the request may not be retried. */
export type DeferredAnswer = {readonly send: () => void; readonly status: number};

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

/**
 * Why no further attempt may start: the kind of failure, the route's limit of attempts, the retry window, no endpoint left, the quarantine of a
 * request that crashes endpoints, or the end of this entry.
 */
export type RetryDenial = 'attempts-used' | 'budget-used' | 'crashes-endpoints' | 'no-endpoint' | 'not-allowed' | 'stopping';

/** How a request ended. */
export type Outcome = {
	readonly status: number;
	readonly code: string;
	readonly ran: 'not-run' | 'ran' | 'unknown';
	readonly attempts: number;
	readonly retryAfterMs?: number;
	/** Why a failed attempt was not followed by another one. */
	readonly retryDenied?: RetryDenial;
	/** Figures that decided a rejection, or the state of the retry window that denied another attempt. */
	readonly inputs?: Readonly<Record<string, number>>;
};

/** State shared by the attempts of one request. */
export type RequestState = {
	readonly relay: StreamRelay | undefined;
	readonly arrivals: RequestArrivals;
	/** KV cache that a failed attempt left at its prefill engine. */
	prefilled?: PrefilledPrompt;
};

/** What one attempt works with. */
export type AttemptState = {
	readonly request: RequestState;
	readonly control: AttemptControl;
	/** Calls of this attempt that loaded an endpoint once more for the same request. */
	extraCalls: number;
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
