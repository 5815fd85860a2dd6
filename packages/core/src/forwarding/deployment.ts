/**
 * What a forwarding entry knows of its deployment: the configuration in force and the endpoints that have registered.
 */
import type {
	ClientAccountName, ConfigVersion, EndpointId,
} from '../ids.js';

/** What may be repeated: only idempotent requests may run more than once; a stream may only if it can be resumed. */
export type RequestKind = 'idempotent' | 'action' | 'stream';

export type WeightedService = {readonly service: string; readonly weight: number};

export type ForwardRoute = {
	readonly name: string;
	readonly hostname: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Longest time that a request may be kept waiting. */
	readonly timeoutMs: number;
	/** Time within which an answer, or the first event of a stream, is on time. */
	readonly latencyTargetMs: number;
	/** Longest pause between two events of a stream that is on time. */
	readonly maxGapMs: number;
	/** Endpoints that may run one request. */
	readonly maxAttempts: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Served without a key. */
	readonly isOpen: boolean;
	/** A broken stream may be resumed at another endpoint. */
	readonly isResumable: boolean;
	readonly services: readonly WeightedService[];
};

/** Limits of a model engine, as its service declares them. */
export type EngineLimits = {
	/** Tokens of KV cache that its memory holds. */
	readonly kvTokens: number;
};

export type ForwardService = {
	readonly name: string;
	/** Connections that an endpoint takes from all callers together. */
	readonly maxConnections: number;
	/** Absent for plain services. */
	readonly engine?: EngineLimits;
};

export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type ForwardAccount = {
	readonly name: ClientAccountName;
	readonly keys: readonly string[];
	/** Takes precedence over the route's priority. */
	readonly priority?: number;
};

export type ForwardConfig = {
	readonly version: ConfigVersion;
	readonly routes: readonly ForwardRoute[];
	readonly services: readonly ForwardService[];
	readonly accounts: readonly ForwardAccount[];
	readonly limits: CallerLimits;
};

export type EndpointRole = 'prefill' | 'decode';

/** An endpoint as it has registered itself. */
export type RegisteredEndpoint = {
	readonly id: EndpointId;
	readonly service: string;
	readonly address: string;
	readonly port: number;
	readonly dataCentre: string;
	/** Requests that it runs at once. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Absent for plain services. */
	readonly role?: EndpointRole;
	/** Start of its process; tells a restart under the same id. */
	readonly startedAt: number;
	/** Rises with each message of its process. */
	readonly heartbeat: number;
};

/** A part of a prompt that other requests may share. */
export type PromptSegment = {readonly id: string; readonly tokens: number};
