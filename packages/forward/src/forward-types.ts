/**
 * What the parts that serve one request tell each other.
 */
import type {Buffer} from 'node:buffer';
import type {
	Clock, FailureKind, ForwardAccount, ForwardRoute, ForwardService, Random, RequestArrivals, RetryWindow,
} from '@hawthorncleat/core';
import type {CallerExchange} from './caller-exchange.js';
import type {CrashGuard} from './crash-guard.js';
import type {EndpointPool, KnownEndpoint} from './endpoint-pool.js';
import type {ModelLoad} from './model-load.js';
import type {PrefilledPrompt} from './placement.js';
import type {CallerRequest, WireFormat} from './ports.js';
import type {StreamRelay} from './stream-relay.js';

/** An admitted request. */
export type AdmittedRequest = {
	readonly request: CallerRequest;
	readonly body: Buffer | undefined;
	readonly route: ForwardRoute;
	readonly service: ForwardService;
	readonly account: ForwardAccount | undefined;
	readonly exchange: CallerExchange;
	/** Output to expect of a model request. */
	readonly outputTokens: number;
};

export type ForwardDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly wire: WireFormat;
	readonly pool: EndpointPool;
	readonly load: ModelLoad;
	readonly dataCentre: string;
	readonly retriesOf: (service: string) => RetryWindow;
	/** A request has begun to run for an account. */
	readonly onRun: (admitted: AdmittedRequest) => void;
	readonly crashes: Pick<CrashGuard, 'quarantineRemainingMs' | 'recordBrokenRequest' | 'recordCompletedRequest' | 'recordCrash'>;
	readonly onAttempt: (admitted: AdmittedRequest, attempt: AttemptReport) => void;
};

/** What was known of a decode engine when it was chosen. */
export type DecodeView = {
	/** Requests there, this one not included. */
	readonly running: number;
	/** Load with this request, the mean of places and memory; 1 when both are taken. */
	readonly load: number;
	/** Load up to which it takes the request. */
	readonly maxLoad: number;
	/** Part of its memory that is taken. */
	readonly memory: number;
	/** Expected wait for a place. */
	readonly placeWaitMs: number;
	/** Expected time of an output token at that load. */
	readonly msPerToken: number;
};

/** What a stream met at its engine. */
export type StreamView = {
	/** Events that were passed on. */
	readonly events: number;
	/** Mean and highest load of the engine, looked at with each event. */
	readonly meanLoad: number;
	readonly maxLoad: number;
};

/** What one attempt came to. */
export type AttemptResult
	= | {readonly kind: 'answered'; readonly status: number; readonly prefillMs?: number; readonly firstMs?: number; readonly stream?: StreamView}
		| FailedAttempt;

export type FailedAttempt = {
	readonly kind: 'failed';
	readonly failure: FailureKind;
	readonly retryAfterMs?: number;
	readonly answer?: HeldAnswer;
	readonly detail: string;
	readonly at: KnownEndpoint;
	/** Nothing listens at its address. */
	readonly isDown?: boolean;
	/** Another endpoint has the address now, or it has another role. */
	readonly isMisdirected?: boolean;
	readonly firstMs?: number;
	readonly stream?: StreamView;
};

/** A failure that the endpoint answered, which is the final answer when it may not be tried again. */
export type HeldAnswer = {readonly send: () => void; readonly status: number};

export type AttemptReport = {
	readonly endpoint: string;
	readonly prefill?: string;
	readonly expectedMs?: number;
	readonly level?: number;
	readonly uncachedTokens?: number;
	readonly tookMs: number;
	/** Time of the prefill at another engine. */
	readonly prefillMs?: number;
	/** Time from the start of the attempt to the first event of a stream. */
	readonly firstMs?: number;
	/** Calls of the attempt that loaded an endpoint again. */
	readonly furtherArrivals: number;
	/** What the decode engine was expected to bear when it was chosen. */
	readonly decode?: DecodeView;
	readonly result: AttemptResult;
};

/** How a request ended. */
export type Outcome = {
	readonly status: number;
	readonly code: string;
	readonly ran: 'not-run' | 'ran' | 'unknown';
	readonly attempts: number;
	readonly retryAfterMs?: number;
	/** Figures that decided a refusal. */
	readonly inputs?: Readonly<Record<string, number>>;
};

/** What the attempts of a request share. */
export type AttemptState = {
	readonly relay: StreamRelay | undefined;
	readonly arrivals: RequestArrivals;
	/** KV cache that the last attempt has left. */
	prefilled?: PrefilledPrompt;
};
