/**
 * What the entry needs from the other parts of the system, as small functions, so that each part can be replaced in
 * tests and wired in one place.
 */
import type {
	ActionId, ClaimId, Clock, ConfigView, EndpointId, MakeId, Random,
} from '@hawthorncleat/core';
import type {
	ConfigSinceParams,
	ConfigSinceResult,
	DutyAnnounceParams,
	DutyAnnounceResult,
	DutyAttestParams,
	DutyAttestResult,
	Finding,
	FreshnessAnswer,
	FreshnessAskParams,
	HostRecord,
	LoadReport,
	PublishAnnounceParams,
	PublishAnnounceResult,
	PublishFinishParams,
	PublishFinishResult,
	ServiceCallResult,
} from '@hawthorncleat/schema';
import type {ObjectStore} from '@hawthorncleat/store';
import type {Log, Tracing} from '@hawthorncleat/telemetry';
import type {Peer} from '@hawthorncleat/wire';
import type {Registry} from 'prom-client';
import type {Endpoint} from './endpoint.js';
import type {ModelDemand} from './model-demand.js';

/** The configuration in force. */
export type ConfigSource = {current(): ConfigView};

/** The hosts of the entry's region as last read. */
export type HostSource = {current(): readonly HostRecord[]};

/** Result of a claim for an action. */
export type ClaimResult
	= | {readonly kind: 'granted'; readonly claimId: ClaimId}
		| {readonly kind: 'done'; readonly answer: unknown}
		| {readonly kind: 'in-doubt' | 'already-ran' | 'key-reused'}
		| {readonly kind: 'unavailable'; readonly retryAfterMs: number};

/** Claims of actions in the table. */
export type Claims = {
	claim(action: {readonly actionId: ActionId; readonly digest: string}): Promise<ClaimResult>;
	complete(claimId: ClaimId, answer: ServiceCallResult): Promise<unknown>;
	release(claimId: ClaimId): Promise<unknown>;
};

/** Tells whether the evidence of freshness allows keyed requests. */
export type FreshnessCheck = {mayServe(nowMs: number): boolean};

/** Result of a published change. */
export type ApplyResult
	= | {readonly kind: 'published'; readonly version: number; readonly confirmed: boolean}
		| {readonly kind: 'invalid'; readonly findings: readonly Finding[]}
		| {readonly kind: 'conflict'; readonly conflicts: readonly unknown[]; readonly version: number}
		| {readonly kind: 'unavailable'; readonly code: string; readonly retryAfterMs: number};

/** Checks and publishes changes of the configuration. The change is untrusted input. */
export type Publisher = {
	validate(change: unknown): Promise<readonly Finding[]> | readonly Finding[];
	apply(change: unknown): Promise<ApplyResult>;
};

/** Answers to other entries and agents that do not concern requests. */
export type PeerServices = {
	configSince?(params: ConfigSinceParams): ConfigSinceResult | Promise<ConfigSinceResult>;
	askFreshness?(params: FreshnessAskParams): FreshnessAnswer | Promise<FreshnessAnswer>;
	announcePublish?(params: PublishAnnounceParams): PublishAnnounceResult | Promise<PublishAnnounceResult>;
	finishPublish?(params: PublishFinishParams): PublishFinishResult | Promise<PublishFinishResult>;
	announceDuty?(params: DutyAnnounceParams): DutyAnnounceResult | Promise<DutyAnnounceResult>;
	attestDuty?(params: DutyAttestParams): DutyAttestResult | Promise<DutyAttestResult>;
	/** Hears the configuration version in each heartbeat. */
	onPeerVersion?(version: number): void;
	/** Host ids of entries to which a connection is needed, besides the chosen ones. */
	requiredEntries?(): ReadonlySet<string>;
	/** Receives the source of the open connections to other entries, by host id. */
	usePeers?(peers: () => ReadonlyMap<string, Peer>): void;
};

/** One endpoint as the choice sees it. */
export type EndpointCandidate = {
	readonly id: EndpointId;
	readonly isLocal: boolean;
	readonly report: LoadReport | undefined;
	/** Tokens of work that this entry has sent since the last load report. */
	readonly dispatchedTokens: number;
	/** Whether a request of this entry that is a crash suspect runs there. */
	readonly runsSuspect: boolean;
};

/** What the choice knows of a request. */
export type ChoiceRequest = {
	readonly kind: 'model' | 'service';
	readonly tokens: number;
	readonly prompt: string;
	readonly isSuspect: boolean;
};

/** Chooses one of the candidates, or none if no candidate may take the request. */
export type ChooseEndpoint = (
	candidates: readonly EndpointCandidate[],
	request: ChoiceRequest,
	random: Random,
) => EndpointCandidate | undefined;

/** What the duties see of the entry. */
export type DutySources = {
	readonly registry: Registry;
	/** The connections to agents. */
	readonly endpoints: () => readonly Endpoint[];
	readonly demand: ModelDemand;
};

/** Everything that the entry is given at its start. */
export type EntryDeps = {
	readonly clock: Clock;
	/** Time of day in milliseconds; only used to name usage windows. */
	readonly wallClock: Clock;
	readonly random: Random;
	readonly makeId: MakeId;
	readonly config: ConfigSource;
	readonly hosts: HostSource;
	/** The entries of the whole fleet, where they differ from those of `hosts`. */
	readonly entryHosts?: HostSource;
	readonly claims: Claims;
	readonly freshness: FreshnessCheck;
	readonly publisher: Publisher;
	/** The usage parts are written here. */
	readonly usageStore: Pick<ObjectStore, 'write'>;
	readonly peerServices?: PeerServices;
	/** Further fields of the status that operators see. */
	readonly controlStatus?: () => Readonly<Record<string, unknown>>;
	readonly chooseEndpoint?: ChooseEndpoint;
	/** Runs the leased duties until its signal aborts, which is at the start of a drain. */
	readonly runDuties?: (sources: DutySources, signal: AbortSignal) => Promise<void>;
	readonly log?: Log;
	readonly tracing?: Tracing;
	/** Shorter times for tests. */
	readonly timings?: Partial<Timings>;
};

/** Times of the entry that tests shorten. */
export type Timings = {
	/** A stream that makes no progress for this long is started again elsewhere. */
	readonly progressLimitMs: number;
	/** How long a stream waits for a new connection to its agent before it is started again elsewhere. */
	readonly resumeWaitMs: number;
	/** Time to come back that is given with a refusal whose cause is expected to pass. */
	readonly retryAfterMs: number;
	/** Time for a caller to send its whole request. */
	readonly bodyTimeoutMs: number;
	/** Unsent bytes of an answer at which a caller that reads too slowly is disconnected. */
	readonly maxUnsentBytes: number;
	readonly firstReconnectMs: number;
	readonly maxReconnectMs: number;
};

export const defaultTimings: Timings = {
	progressLimitMs: 10_000,
	// Shorter than the first reconnect would turn each lost connection into a restart.
	resumeWaitMs: 1000,
	retryAfterMs: 1000,
	bodyTimeoutMs: 10_000,
	maxUnsentBytes: 1024 * 1024,
	firstReconnectMs: 100,
	maxReconnectMs: 5000,
};
