/**
 * What clients, stand-ins and probes of one run observed. All times are readings of the monotonic clock of the test's
 * process, in which the clients and stand-ins run, so that they may be compared.
 */

/** One call of a client, with what it got. */
export type CallObservation = {
	readonly id: string;
	/** Entry that the call was sent to. */
	readonly entry: string;
	/** Name of the key in the configuration. */
	readonly keyName: string;
	readonly sentMs: number;
	readonly endedMs: number;
	/** Status of the answer; 0 when the connection ended without one. */
	readonly status: number;
	/** Error code of a refusal, also one inside an event stream. */
	readonly code?: string;
	/** What the refusal says about the effect. */
	readonly ran?: string;
	/** Text of the answer; of a streamed one as far as it came. */
	readonly text?: string;
	/** The answer came to its end: the whole body, or `[DONE]`. */
	readonly isWhole: boolean;
	/** Text that a single engine without faults answers. */
	readonly expected?: string;
};

/** A withdrawal that the admin API has accepted as confirmed. */
export type WithdrawalObservation = {readonly keyName: string; readonly acceptedMs: number};

/** The configuration version that an entry had in force. */
export type VersionSample = {readonly entry: string; readonly atMs: number; readonly version: number};

/** A version whose publication was answered as confirmed. */
export type PublicationObservation = {readonly version: number; readonly acceptedMs: number};

/** A time during which an entry could hear of new versions from the store or a peer. */
export type ConnectedSpan = {readonly entry: string; readonly fromMs: number; readonly untilMs: number};

/** One request as an endpoint received it. */
export type EndpointRequest = {
	readonly endpoint: string;
	readonly atMs: number;
	/** Path, headers and body in one text. */
	readonly text: string;
	/** Client account that the endpoint was told. */
	readonly account?: string;
	/** Id of the caller's call, which the client put into the prompt or the path. */
	readonly callId?: string;
};

/** An endpoint that has begun to leave. */
export type LeaveObservation = {readonly endpoint: string; readonly atMs: number};

/** A crash of an endpoint. */
export type CrashObservation = {readonly endpoint: string; readonly atMs: number; readonly text: string};

/** One broken promise, in words that name the observations. */
export type Violation = string;
