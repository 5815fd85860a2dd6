/**
 * The ports of the forwarding entry. A platform adapter implements these types for one platform; the entry itself has no names or
 * formats of that platform's wire protocol.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {
	ClientAccountName, EndpointId, EndpointRole, ForwardConfig, LeaseEpoch, PromptSegment, RegisteredEndpoint, RequestId, StoreGeneration,
} from '@hawthorncleat/core';
import type {Table} from '@hawthorncleat/store';

export type Address = {readonly address: string; readonly port: number};

/** Headers of an outgoing request or answer. */
export type OutgoingHeaders = Record<string, string | string[]>;

/** The head of a caller's request. */
export type CallerRequest = {
	readonly id: RequestId;
	readonly method: string;
	/** Path and query. */
	readonly target: string;
	readonly hostname: string;
	readonly key?: string;
	/** How long the caller waits for the answer. */
	readonly timeoutMs?: number;
	/** Whether the caller tells the numbers of tokens; without them, they are 0. */
	readonly hasTokenCount: boolean;
	readonly promptTokens: number;
	/** Number of output tokens that the caller expects; without an estimate, its limit. */
	readonly guessedTokens: number;
	/** The engine stops after this many output tokens. */
	readonly maxOutputTokens: number;
	readonly segments: readonly PromptSegment[];
	/** Set if the caller resumes a stream. */
	readonly lastEventId?: string;
	/** The request that began the stream, if the caller resumes one. */
	readonly resumedId?: RequestId;
	/** Headers to pass on to the endpoint. */
	readonly headers: OutgoingHeaders;
};

/** The KV cache that a prefill engine holds for a request. */
export type KvHandle = {readonly endpoint: RegisteredEndpoint; readonly name: string};

/** What the entry adds to a request that it sends to an endpoint. */
export type SendDetails = {
	readonly endpoint: RegisteredEndpoint;
	readonly account?: ClientAccountName;
	/** Time until the deadline of the request. */
	readonly remainingMs: number;
	/** Priority level in the engine's queue; absent for plain services. */
	readonly level?: number;
	/** The engine prefills the prompt and answers with the handle of its KV cache. */
	readonly isPrefillOnly?: boolean;
	/** The prefilled KV cache from which the engine decodes. */
	readonly kvSource?: KvHandle;
	readonly lastEventId?: string;
};

/** The head of an endpoint's answer. */
export type AnswerHead = {
	readonly status: number;
	/** Id of the request that the answer belongs to, as the endpoint states it. */
	readonly requestId?: string;
	/** The endpoint states that it did not run the request. */
	readonly isNotRun: boolean;
	/** The answer is from another endpoint that has the address now. */
	readonly isFromOtherEndpoint: boolean;
	/** The answer has the endpoint's seal. A success without it is not valid. */
	readonly isSealed: boolean;
	/** The endpoint turned the request away and wants no other one from this entry for this time. */
	readonly retryAfterMs?: number;
	/** Its statement of such a time, as far as it could not be read. */
	readonly invalidRetryAfter?: string;
	/** Id of the endpoint that has answered, if the answer has it. */
	readonly endpointId?: string;
	/** The process that has answered takes this many requests a second from all entries together; absent if it names no limit. */
	readonly requestsPerSecond?: number;
	/** Its limit, as far as it could not be read. */
	readonly invalidRateLimit?: string;
	/** The process that has answered announces that it leaves. */
	readonly isEndpointLeaving: boolean;
	/** The answer has an announcement of that kind with a value that cannot be read. */
	readonly isLeavingDamaged: boolean;
	/** Headers for the caller. */
	readonly headers: OutgoingHeaders;
};

/** An error answer that the entry gives to a caller itself. */
export type Refusal = {
	readonly status: number;
	readonly code: string;
	readonly requestId?: string;
	readonly retryAfterMs?: number;
};

/** An encoded call of the entry to an endpoint. */
export type EncodedCall = {readonly method: string; readonly path: string; readonly headers: OutgoingHeaders; readonly body?: string};

export type RoleOrder = {
	readonly role: EndpointRole;
	readonly holder: string;
	readonly epoch: LeaseEpoch;
	/** Number of orders that the engine must have accepted before this one; otherwise it rejects the order. */
	readonly afterOrders: number;
	readonly endpoint: RegisteredEndpoint;
};

/** The state that an engine reports. */
export type EngineReport = {
	/** The engine is carrying out an order. */
	readonly isBusy: boolean;
	/** Number of orders that the engine has accepted since its start. */
	readonly ordersAccepted: number;
};

/** Encodes and decodes requests and answers for the platform's wire protocol. */
export type WireFormat = {
	/** Returns undefined if the request has no id. */
	readRequest(method: string, target: string, headers: IncomingHttpHeaders): CallerRequest | undefined;
	writeRequest(request: CallerRequest, details: SendDetails): OutgoingHeaders;
	readAnswer(status: number, headers: IncomingHttpHeaders): AnswerHead;
	/** Reads the KV cache handle from the answer to a prefill-only request. */
	readHandle(body: string): string | undefined;
	writeRefusal(refusal: Refusal): {readonly headers: OutgoingHeaders; readonly body: string};
	writeHandleRelease(handle: KvHandle): EncodedCall;
	writeReportCall(endpoint: RegisteredEndpoint): EncodedCall;
	/** Returns undefined if the body is not a report. */
	readReport(body: string): EngineReport | undefined;
	writeRoleOrder(order: RoleOrder): EncodedCall;
	isReadinessPath(path: string): boolean;
};

/** A row of the store. */
export type StoreRow = {
	readonly key: string;
	/** Undefined if the row was removed. */
	readonly value: string | undefined;
	readonly version: number;
};

export type StoreAnswer = {
	readonly rows: readonly StoreRow[];
	/** Version up to which the answer has all changes. Versions of one generation never equal those of another. */
	readonly version: number;
	/** Reading of the store's monotonic clock, at the end of the answer. */
	readonly storeNowMs: number;
	/** Size of the answer as it was sent. */
	readonly bytes: number;
	/** Time from the beginning of the answer to its end: long for a large answer on a narrow or busy link. */
	readonly transferMs: number;
	/** Rises whenever the store has returned from an older copy: acknowledged writes of the last seconds are lost then. */
	readonly generation: StoreGeneration;
};

/** Tables that the entry uses. The adapter maps them to the names of the store. */
export type StoreTable = 'config' | 'endpoints' | 'members' | 'quarantines' | 'software' | 'streams' | 'usage';

export type RowStore = {
	read(table: StoreTable, range: {readonly from?: string; readonly to?: string}, signal: AbortSignal): Promise<StoreAnswer>;
	/**
	 * Waits for changes after a version. Resolves to undefined if the store no longer has the history since then; rejects if the answer has not begun
	 * `answerMs` after the end of the wait, if it makes no progress, or if another call shows that the connections have gone silent before it begins.
	 */
	watch(table: StoreTable, options: {readonly after: number; readonly waitMs: number; readonly answerMs: number}, signal: AbortSignal): Promise<StoreAnswer | undefined>;
	/** Writes and removes rows unconditionally. */
	write(table: StoreTable, rows: ReadonlyArray<{readonly key: string; readonly value: string | undefined}>): Promise<void>;
};

/** Number of requests by client account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Calls that only the lease holder makes. */
export type DutyCalls = {
	/** Resolves to false if a holder with a later epoch has called before. */
	reportUsage(report: {readonly window: number; readonly counts: UsageCounts; readonly holder: string; readonly epoch: LeaseEpoch}, signal: AbortSignal): Promise<boolean>;
};

/** Everything that a platform adapter provides. */
export type Platform = {
	readonly wire: WireFormat;
	readonly rows: RowStore;
	/** The table with the lease and the recorded usage report. */
	readonly table: Table;
	readonly duties: DutyCalls;
	readConfig(text: string): ForwardConfig | undefined;
	/** Returns undefined for a registration that is not usable. */
	readEndpoint(id: EndpointId, text: string): RegisteredEndpoint | undefined;
};

/** Settings of a forwarding entry. */
export type ForwardSettings = {
	readonly hostName: string;
	readonly ip: string;
	readonly dataCentre: string;
	readonly listen: {
		readonly callers: Address;
		readonly readiness: Address;
		readonly peers: Address;
	};
	/** UDP port for gossip between entries. */
	readonly gossipPort: number;
	readonly metricsPort: number;
	/** Interval between two heartbeats of an endpoint in the store. */
	readonly heartbeatMs: number;
	/** Time within which changes must be read again after the open connections to the store have gone silent. */
	readonly silenceLimitMs: number;
	/** A leaving endpoint serves for this time after the store has acknowledged its registration; no request may reach it later. */
	readonly drainMs: number;
	/** Time within which an acknowledged configuration must be in force. */
	readonly configApplyMs: number;
	/** Limits of the host for this process; without them the entry assumes little memory and does not count descriptors. */
	readonly hostLimits?: {readonly memoryBytes?: number; readonly descriptors?: number};
	readonly retries: {readonly windowMs: number; readonly ratio: number; readonly allowance: number};
	readonly usage: {readonly windowMs: number};
	/** Longest time that an entry may stay ready after it was told to stop while other entries are ready. */
	readonly readyAfterStopMs: number;
	/** Time after which the load balancer no longer sends requests to an entry that is not ready. */
	readonly outOfRotationMs: number;
	/** Requests that are complete later than this after the entry was told to stop may end with an error, but not within their answer. */
	readonly interruptibleMs: number;
	/** Longest time that a stop waits for running requests. */
	readonly stopLimitMs: number;
};
