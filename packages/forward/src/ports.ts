/**
 * What the forwarding entry needs from the outside. An adapter implements these types for one platform; nothing here
 * knows names or formats of its wire.
 */
import type {IncomingHttpHeaders} from 'node:http';
import type {
	ClientAccountName, EndpointId, EndpointRole, ForwardConfig, LeaseEpoch, PromptPart, RegisteredEndpoint, RequestId,
} from '@hawthorncleat/core';
import type {Table} from '@hawthorncleat/store';

export type Address = {readonly address: string; readonly port: number};

/** Headers that are sent. */
export type OutgoingHeaders = Record<string, string | string[]>;

/** A request as its caller sent it, before its body. */
export type CallerRequest = {
	readonly id: RequestId;
	readonly method: string;
	/** Path with its query. */
	readonly target: string;
	readonly hostname: string;
	readonly key?: string;
	/** How long the caller waits. */
	readonly timeoutMs?: number;
	readonly promptTokens: number;
	/** The caller's guess of its output, or the limit without one. */
	readonly guessedTokens: number;
	/** Output beyond which the engine makes none. */
	readonly maxOutputTokens: number;
	readonly segments: readonly PromptPart[];
	/** Set when the caller resumes a stream itself. */
	readonly lastEventId?: string;
	/** Headers that the endpoint may see. */
	readonly headers: OutgoingHeaders;
};

/** KV cache that a prefill engine holds for a request. */
export type KvHandle = {readonly endpoint: RegisteredEndpoint; readonly name: string};

/** What the system adds to a request. */
export type SendDetails = {
	readonly endpoint: RegisteredEndpoint;
	readonly account?: ClientAccountName;
	readonly remainingMs: number;
	/** Level of the engine's queue; absent for plain services. */
	readonly level?: number;
	/** Only the prompt is prefilled; the answer names the handle of its KV cache. */
	readonly isPrefillOnly?: boolean;
	readonly kvSource?: KvHandle;
	readonly lastEventId?: string;
};

/** Head of an endpoint's answer. */
export type AnswerHead = {
	readonly status: number;
	/** Id of the request that the answer says it belongs to. */
	readonly requestId?: string;
	/** The endpoint states that it has not run the request. */
	readonly isNotRun: boolean;
	/** Another endpoint has this address now. */
	readonly isFromOtherEndpoint: boolean;
	/** Bears the endpoint's seal, without which a success does not count. */
	readonly isSealed: boolean;
	/** Headers for the caller. */
	readonly headers: OutgoingHeaders;
};

export type Refusal = {
	readonly status: number;
	readonly code: string;
	readonly requestId?: string;
	readonly retryAfterMs?: number;
};

export type EncodedCall = {readonly method: string; readonly path: string; readonly headers: OutgoingHeaders; readonly body?: string};

export type RoleOrder = {
	readonly role: EndpointRole;
	readonly holder: string;
	readonly epoch: LeaseEpoch;
	/** Orders that the engine must have accepted before this one. */
	readonly afterOrders: number;
	readonly endpoint: RegisteredEndpoint;
};

/** What an engine says of itself. */
export type EngineReport = {
	/** Carries out an order. */
	readonly isBusy: boolean;
	/** Orders that it has accepted since its start. */
	readonly ordersAccepted: number;
};

/** Translation of requests and answers. */
export type WireFormat = {
	/** Undefined when the request has no id. */
	readRequest(method: string, target: string, headers: IncomingHttpHeaders): CallerRequest | undefined;
	writeRequest(request: CallerRequest, details: SendDetails): OutgoingHeaders;
	readAnswer(status: number, headers: IncomingHttpHeaders): AnswerHead;
	/** Reads the answer of a request that was only prefilled. */
	readHandle(body: string): string | undefined;
	writeRefusal(refusal: Refusal): {readonly headers: OutgoingHeaders; readonly body: string};
	writeHandleRelease(handle: KvHandle): EncodedCall;
	writeReportCall(endpoint: RegisteredEndpoint): EncodedCall;
	readReport(body: string): EngineReport | undefined;
	writeRoleOrder(order: RoleOrder): EncodedCall;
	isReadinessPath(path: string): boolean;
};

/** A row of the store. */
export type StoreRow = {
	readonly key: string;
	/** Undefined for a row that was removed. */
	readonly value: string | undefined;
	readonly version: number;
};

export type StoreAnswer = {
	readonly rows: readonly StoreRow[];
	/** Version up to which the rows are complete. */
	readonly version: number;
	/** The store's steady clock. */
	readonly storeNowMs: number;
};

/** Tables that the entry reads; the adapter knows what they are called. */
export type StoreTable = 'config' | 'endpoints' | 'members' | 'usage';

export type RowStore = {
	read(table: StoreTable, range: {readonly from?: string; readonly to?: string}, signal: AbortSignal): Promise<StoreAnswer>;
	/** Waits for changes after a version. Undefined when the store no longer has the history. */
	watch(table: StoreTable, options: {readonly after: number; readonly waitMs: number}, signal: AbortSignal): Promise<StoreAnswer | undefined>;
	/** Writes and removes rows without a condition. */
	write(table: StoreTable, rows: ReadonlyArray<{readonly key: string; readonly value: string | undefined}>): Promise<void>;
};

export type UsageCounts = Readonly<Record<string, number>>;

/** Calls that are the duty of one entry at a time. */
export type DutyCalls = {
	/** Resolves to false when a later holder has called. */
	reportUsage(report: {readonly window: number; readonly counts: UsageCounts; readonly holder: string; readonly epoch: LeaseEpoch}, signal: AbortSignal): Promise<boolean>;
};

/** Everything that an adapter provides. */
export type Platform = {
	readonly wire: WireFormat;
	readonly rows: RowStore;
	/** The table of leases and reports. */
	readonly table: Table;
	readonly duties: DutyCalls;
	readConfig(text: string): ForwardConfig | undefined;
	/** Undefined for an entry that names no endpoint to use. */
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
	/** Datagrams between entries. */
	readonly gossipPort: number;
	readonly metricsPort: number;
	readonly retries: {readonly windowMs: number; readonly ratio: number; readonly allowance: number};
	readonly usage: {readonly windowMs: number};
	/** Time after which the load balancer sends nothing more to an entry that is not ready. */
	readonly outOfRotationMs: number;
	/** How long a stop may take. */
	readonly stopLimitMs: number;
};
