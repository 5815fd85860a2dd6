/**
 * What callers, endpoints and the platform saw in one run. The rules judge nothing else.
 */
import type {
	Call, Run, StageOrder, UsageReport,
} from '@hawthorncleat/platform/stand-ins';

/** A time in which a fault touched an entry, or all of them. */
export type Disturbance = {
	readonly fault: string;
	/** Undefined when the fault touched every entry. */
	readonly entry?: string;
	readonly fromMs: number;
	readonly untilMs: number;
};

/** A configuration that the store has acknowledged. */
export type PublishedConfig = {
	readonly version: number;
	readonly atMs: number;
	readonly services: Readonly<Record<string, string>>;
	readonly keys: Readonly<Record<string, readonly string[]>>;
};

export type SoakRecord = {
	readonly calls: ReadonlyArray<Call & {readonly key: string}>;
	readonly runs: readonly Run[];
	readonly reports: readonly UsageReport[];
	readonly orders: readonly StageOrder[];
	readonly configs: readonly PublishedConfig[];
	readonly disturbances: readonly Disturbance[];
	/** From here on no fault is under way and all processes have had time to recover. */
	readonly recoveredMs: number;
	/** Ways in which processes ended that were asked to stop. */
	readonly stops: ReadonlyArray<{readonly entry: string; readonly code: number | null; readonly lastedMs: number}>;
};

/** A broken promise, with its place. */
export type Violation = {readonly rule: string; readonly what: string};

export type Rule = (record: SoakRecord) => Violation[];

/** Time without a fault after which an entry is held to limits of time. */
const contactMs = 4000;

/** No fault touched the entry in this span or shortly before it. */
export const isUndisturbed = ({disturbances}: SoakRecord, entry: string, fromMs: number, untilMs: number): boolean =>
	!disturbances.some(({entry: touched, fromMs: beganMs, untilMs: endedMs}) =>
		(touched === undefined || touched === entry) && beganMs <= untilMs && endedMs >= fromMs - contactMs);
