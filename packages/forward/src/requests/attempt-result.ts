/**
 * The result of one attempt of a request, and the figures of its stream.
 */
import type {FailureKind} from '@hawthorncleat/core';
import type {PooledEndpoint} from '../endpoints/endpoint-pool.js';

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
	/** Nothing was written, because too many calls wait for a connection to the endpoint. */
	readonly isQueueFull?: boolean;
	/** The endpoint answered that another endpoint has this address now, or that it has another role. */
	readonly isMisdirected?: boolean;
};

/** An error answer of an endpoint. It is sent to the caller only if the request may not be retried. */
export type DeferredAnswer = {readonly send: () => void; readonly status: number};
