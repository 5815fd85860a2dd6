/**
 * What differs between the compared strategies: where an entry sends a request, what an agent accepts, and who changes
 * roles. Everything else of a run is the same for all.
 */
import type {
	EndpointInfo, EngineRole, LoadReading, Random, LatencyTarget, TokenDemand,
} from '@hawthorncleat/core';
import type {FakeEngine} from '../sim/engine.js';
import type {Job, JobQueue, SimRequest} from '../sim/job.js';

/** Where a request goes, or why it is refused. */
export type Placement
	= | {readonly endpoint: string; readonly uncachedTokens: number}
		| {readonly refusedForMs: number};

/** The decisions of one entry. */
export type EntryPolicy = {
	report(endpoint: string, reading: LoadReading, nowMs: number): void;
	/** Called once for each new request. */
	arrived(request: SimRequest, nowMs: number): void;
	/** Chooses where the request starts, without the endpoints that have refused it. */
	start(job: Job, excluded: ReadonlySet<string>, nowMs: number): Placement;
	/** Chooses where a prefilled request decodes; undefined when there is no endpoint now. */
	decode(job: Job, nowMs: number): string | undefined;
	/** Queue length that came with the answer to a dispatch. */
	answered(endpoint: string, queuedTokens: number, nowMs: number): void;
	ended(job: Job, endpoint: string, nowMs: number): void;
	setReachable(endpoint: string, reachable: boolean): void;
};

export type EntryContext = {
	readonly endpoints: readonly EndpointInfo[];
	readonly entries: number;
	readonly random: Random;
	readonly target: LatencyTarget;
	readonly reportLagMs: number;
};

/** The answer of an agent to a new job. */
export type AgentAnswer = {readonly accepted: true} | {readonly accepted: false; readonly retryAfterMs: number};

/** Role changes of one data centre, or of the whole fleet for planners that do not work by data centre. */
export type PlannedChange = {readonly endpoint: string; readonly role: EngineRole};

/** What a planner sees: the reports that an entry of its data centre has received, and the orders that it wrote. */
export type PlannerView = {
	readonly dataCentre: string;
	readonly dataCentres: readonly string[];
	readonly endpoints: ReadonlyArray<EndpointInfo & {readonly reading?: LoadReading; readonly reachable: boolean}>;
	/** Endpoints of the own data centre with an unsettled order. */
	readonly changing: ReadonlySet<string>;
	readonly kvCapacityTokens: number;
	readonly entry: EntryPolicy;
	readonly nowMs: number;
	readonly target: LatencyTarget;
};

export type Planner = (view: PlannerView) => readonly PlannedChange[];

export type Strategy = {
	readonly name: string;
	/** Whether queued jobs that can no longer be on time are refused when they would start. */
	readonly dropsLate: boolean;
	/** Role of the model engine at that position. */
	initialRole(index: number, count: number): EngineRole;
	createEntry(context: EntryContext): EntryPolicy;
	createQueue(): JobQueue;
	/** Decides on a new job, or again on a queued one when it would start. */
	accept(job: Job, engine: FakeEngine, nowMs: number, target: LatencyTarget): AgentAnswer;
	/** Requests that an agent gives to its engine at a time; as many as the engine takes if left out. */
	places?(engine: FakeEngine, target: LatencyTarget): number;
	createPlanner?(): Planner;
};

/** An entry that also measures the demand. */
export type MeteringEntry = EntryPolicy & {demand(nowMs: number): TokenDemand};
