/**
 * The history of a run: what callers and the fault injector saw, and, joined by time, what the stand-ins recorded. All of
 * them run in the test's process, so their times come from one monotonic clock.
 */
import {performance} from 'node:perf_hooks';
import type {Ran} from '@hawthorncleat/core';
import type {
	EngineEvent, PlatformEvent, RecordFields, ServiceEvent,
} from '@hawthorncleat/stand-ins';

/** What a request asks for. */
export type RequestKind = 'action' | 'lookup' | 'completion';

/** A request as its caller sent it. */
export type SentRequest = {
	/** Chosen by the caller and visible to the endpoint that runs the request. */
	readonly requestId: string;
	readonly client: string;
	/** Name of the entry. */
	readonly entry: string;
	readonly account: string;
	/** Name of the key, not the key itself. */
	readonly key: string;
	readonly request: RequestKind;
	/** Value of `Idempotency-Key` of an action. */
	readonly actionKey?: string;
};

/** What callers and the fault injector saw. */
export type RunEvent
	= | ({readonly kind: 'sent'} & SentRequest)
		| {
			readonly kind: 'answered';
			readonly requestId: string;
			readonly status: number;
			readonly body: string;
			/** Of an error answer. */
			readonly code?: string;
			readonly ran?: Ran;
			readonly durationMs: number;
		}
		| {readonly kind: 'unanswered'; readonly requestId: string; readonly reason: string; readonly durationMs: number}
		| {readonly kind: 'fault'; readonly fault: string; readonly target: string}
		| {readonly kind: 'note'; readonly name: string; readonly value: unknown};

/** An event with its position and time. */
export type RunRecord = RunEvent & RecordFields;

/** One event of a joined history and where it was seen. */
export type HistoryEvent
	= | {readonly source: 'run'; readonly name: string; readonly event: RunEvent}
		| {readonly source: 'service'; readonly name: string; readonly event: ServiceEvent}
		| {readonly source: 'engine'; readonly name: string; readonly event: EngineEvent}
		| {readonly source: 'platform'; readonly name: string; readonly event: PlatformEvent};

/** An event of a joined history with its position in the whole. */
export type HistoryRecord = HistoryEvent & RecordFields;

/** Records of one run in order. */
export type History = {
	readonly records: readonly RunRecord[];
	append(event: RunEvent): RunRecord;
};

/** Creates an empty history. */
export const createHistory = (): History => {
	const records: RunRecord[] = [];
	return {
		records,
		append(event) {
			const record = {sequence: records.length + 1, atMs: performance.now(), ...event};
			records.push(record);
			return record;
		},
	};
};

/** The parts that a joined history is made of. */
export type HistoryParts = {
	readonly run?: ReadonlyArray<RunEvent & RecordFields>;
	readonly services?: Readonly<Record<string, ReadonlyArray<ServiceEvent & RecordFields>>>;
	readonly engines?: Readonly<Record<string, ReadonlyArray<EngineEvent & RecordFields>>>;
	readonly platform?: ReadonlyArray<PlatformEvent & RecordFields>;
};

type Unnumbered = HistoryEvent & {readonly atMs: number};

const listParts = ({run = [], services = {}, engines = {}, platform = []}: HistoryParts): Unnumbered[] => [
	...run.map(record => ({
		source: 'run' as const, name: 'run', event: record, atMs: record.atMs,
	})),
	...Object.entries(services).flatMap(([name, records]) => records.map(record => ({
		source: 'service' as const, name, event: record, atMs: record.atMs,
	}))),
	...Object.entries(engines).flatMap(([name, records]) => records.map(record => ({
		source: 'engine' as const, name, event: record, atMs: record.atMs,
	}))),
	...platform.map(record => ({
		source: 'platform' as const, name: 'platform', event: record, atMs: record.atMs,
	})),
];

/** Joins the parts in order of time. The sort is stable, so events of one part keep their order. */
export const joinHistories = (parts: HistoryParts): HistoryRecord[] => listParts(parts)
	.toSorted((a, b) => a.atMs - b.atMs)
	.map((record, index) => ({...record, sequence: index + 1}));
