/**
 * The record of one run: what callers, endpoints and the platform's stand-ins observed. The rules check nothing
 * else. The record is written out as JSON when a seed breaks a promise.
 */
import type {
	Call, RetryLimits, Run, StageOrder, UsageReport,
} from '@hawthorncleat/platform/stand-ins';

/** A period in which a fault affected one entry or all of them. */
export type Disturbance = {
	readonly fault: string;
	/** Undefined when the fault affected every entry. */
	readonly entry?: string;
	readonly fromMs: number;
	readonly untilMs: number;
	/** The fault is one of the store or of the usage service: the process of the entry and its connections to callers are not affected. */
	readonly isOfStore?: boolean;
};

/** Name of the fault of an endpoint that writes nothing for a while and then goes on. All others end requests or their connections. */
export const silenceFault = 'silence';
/** Name of the fault after which nothing arrives any more on the open connections to an endpoint, in one direction or both, until they are closed. */
export const silentConnectionsFault = 'connections-silent';

/** A period in which an endpoint had a fault. */
export type EndpointFault = {
	readonly fault: string;
	readonly endpoint: string;
	readonly service: string;
	readonly fromMs: number;
	readonly untilMs: number;
};

/** A period in which an endpoint named a limit. */
export type NamedLimit = {
	readonly endpoint: string;
	readonly perSecond: number;
	readonly fromMs: number;
	readonly untilMs: number;
};

/** A configuration that the store has acknowledged. */
export type PublishedConfig = {
	readonly version: number;
	readonly atMs: number;
	readonly services: Readonly<Record<string, string>>;
	readonly keys: Readonly<Record<string, readonly string[]>>;
	readonly unusedRoutes?: number;
};

export type SoakRecord = {
	readonly calls: ReadonlyArray<Call & {readonly key: string}>;
	readonly runs: readonly Run[];
	readonly reports: readonly UsageReport[];
	readonly orders: readonly StageOrder[];
	readonly configs: readonly PublishedConfig[];
	readonly disturbances: readonly Disturbance[];
	readonly endpointFaults: readonly EndpointFault[];
	readonly limits: readonly NamedLimit[];
	/** Retry budget in the settings of the entries. */
	readonly retryLimits: RetryLimits;
	/** From this time on no fault is active and all processes have had time to recover. */
	readonly recoveredMs: number;
	/** Exit code and duration of each planned stop. */
	readonly stops: ReadonlyArray<{readonly entry: string; readonly code: number | null; readonly lastedMs: number}>;
};

/** A broken promise: the name of its rule, and a description of what broke it. */
export type Violation = {readonly rule: string; readonly what: string};

export type Rule = (record: SoakRecord) => Violation[];

/** Time after a fault during which an entry isn't held to time limits. */
const recoveryGraceMs = 4000;

/** Whether no fault affected the entry during this period or in the `recoveryGraceMs` before it. */
export const isUndisturbed = ({disturbances}: SoakRecord, entry: string, fromMs: number, untilMs: number): boolean =>
	!disturbances.some(({entry: affected, fromMs: beganMs, untilMs: endedMs}) =>
		(affected === undefined || affected === entry) && beganMs <= untilMs && endedMs >= fromMs - recoveryGraceMs);

/** Like `isUndisturbed`, but for promises that the entry keeps without the store as well. */
export const isProcessUndisturbed = (record: SoakRecord, entry: string, fromMs: number, untilMs: number): boolean =>
	isUndisturbed({...record, disturbances: record.disturbances.filter(({isOfStore}) => !isOfStore)}, entry, fromMs, untilMs);
