/**
 * Types that describe the deployment of a forwarding entry: its active configuration and the registered endpoints.
 */
import {
	brandAs, type ClientAccountName, type ConfigVersion, type EndpointId, type SoftwareVersion,
} from '../ids.js';

/** Whether a request may run more than once: an idempotent one may, an action may not, a stream may if its route is resumable. */
export type RequestKind = 'idempotent' | 'action' | 'stream';

export type WeightedService = {readonly service: string; readonly weight: number};

export type ForwardRoute = {
	readonly name: string;
	readonly hostname: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Time limit of a request; callers may set a shorter one. */
	readonly timeoutMs: number;
	/** Time within which an answer, or the first event of a stream, meets its latency target. */
	readonly latencyTargetMs: number;
	/** Longest pause between two events of a stream that meets its latency target. */
	readonly maxGapMs: number;
	/** Number of endpoints that may be tried for one request. */
	readonly maxAttempts: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Served without a key. */
	readonly isOpen: boolean;
	/** A broken stream may be resumed at another endpoint. */
	readonly isResumable: boolean;
	readonly services: readonly WeightedService[];
};

/** Limits of a model engine as declared by its service. */
export type EngineLimits = {
	/** Tokens of KV cache that fit into its memory. */
	readonly kvTokens: number;
};

export type ForwardService = {
	readonly name: string;
	/** Connections that an endpoint accepts from all callers together. */
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

/** What all entries together may serve of an account's requests: a token bucket in requests or in tokens. */
export type ForwardAccountLimit = {
	readonly unit: 'requests' | 'tokens';
	readonly perSecond: number;
	readonly burst: number;
	/** Tokens of a request that tells no token count. */
	readonly tokensWithoutCount: number;
};

export type ForwardAccount = {
	readonly name: ClientAccountName;
	readonly keys: readonly string[];
	/** Takes precedence over the route's priority. */
	readonly priority?: number;
	/** Absent if the account has no limit. */
	readonly limit?: ForwardAccountLimit;
	/** The configured limit, as far as it could not be read; the last one that could be read stays in force. */
	readonly invalidLimit?: string;
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
	/** Number of requests that it runs concurrently. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Absent for plain services. */
	readonly role?: EndpointRole;
	/** Absent if its registration does not tell it. */
	readonly softwareVersion?: SoftwareVersion;
	/** Start time of its process; differs after a restart under the same id. */
	readonly startedAt: number;
	/** Increases with each message of its process. */
	readonly heartbeat: number;
};

const untoldVersion = brandAs<SoftwareVersion>('');

/** Endpoints whose registration does not tell their version count as having the same one. */
export const softwareVersionOf = ({softwareVersion = untoldVersion}: Pick<RegisteredEndpoint, 'softwareVersion'>): SoftwareVersion => softwareVersion;

/** A segment of a prompt that other requests may share. */
export type PromptSegment = {readonly id: string; readonly tokens: number};
