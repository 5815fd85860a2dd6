/**
 * The baselines. They queue first-in first-out, bounded only by the agent's default limit of waiting tokens.
 */
import {
	enginesNeeded, servesStage, type EngineRole, type LoadReading, type Random, type Stage,
} from '@hawthorncleat/core';
import {FifoQueue, type Job} from '../sim/job.js';
import type {
	EntryContext, EntryPolicy, Placement, PlannedChange, Planner, PlannerView, Strategy,
} from './strategy.js';

// Default of the agent's setting `maxWaitingTokens`.
const maxWaitingTokens = 65_536;
const retryAfterMs = 1000;

type Known = {readonly id: string; reading?: LoadReading};
type Pick = (candidates: readonly Known[], stage: Stage, random: Random) => Known | undefined;

/** Takes one endpoint after the other, for each stage by itself. */
const createRoundRobin = (): Pick => {
	const next = new Map<Stage, number>();
	return (candidates, stage) => {
		const position = next.get(stage) ?? 0;
		next.set(stage, position + 1);
		return candidates[position % candidates.length];
	};
};

const loadOf = ({reading}: Known, stage: Stage): number =>
	stage === 'decode' ? (reading?.running ?? 0) + (reading?.waiting ?? 0) : reading?.waitingTokens ?? 0;

/** Takes the endpoint with the least reported load; among equal ones any. */
const createLeastLoad = (): Pick => (candidates, stage, random) => {
	const least = Math.min(...candidates.map(known => loadOf(known, stage)));
	const equal = candidates.filter(known => loadOf(known, stage) === least);
	return equal[Math.floor(random() * equal.length)];
};

/** An entry that picks among the endpoints whose last report shows the right role. */
class SimpleEntry implements EntryPolicy {
	readonly #known: Known[];
	readonly #unreachable = new Set<string>();

	constructor(private readonly context: EntryContext, private readonly pick: Pick) {
		this.#known = context.endpoints.map(({id}) => ({id}));
	}

	report(endpoint: string, reading: LoadReading): void {
		const known = this.#known.find(({id}) => id === endpoint);
		if (known) {
			known.reading = reading;
		}
	}

	start(job: Job, excluded: ReadonlySet<string>): Placement {
		const picked = this.#pick(job.request.kind === 'desk' ? 'service' : 'prefill', excluded);
		return picked === undefined
			? {refusedForMs: retryAfterMs}
			: {endpoint: picked, uncachedTokens: job.request.promptTokens};
	}

	decode(): string | undefined {
		return this.#pick('decode', new Set());
	}

	setReachable(endpoint: string, reachable: boolean): void {
		if (reachable) {
			this.#unreachable.delete(endpoint);
		} else {
			this.#unreachable.add(endpoint);
		}
	}

	arrived(): void {
		// The demand is not measured.
	}

	answered(): void {
		// Only reports count.
	}

	ended(): void {
		// Only reports count.
	}

	#pick(stage: Stage, excluded: ReadonlySet<string>): string | undefined {
		const candidates = this.#known.filter(({id, reading}) => reading && !reading.leaving
			&& servesStage(reading.role, stage) && !excluded.has(id) && !this.#unreachable.has(id));
		return candidates.length === 0 ? undefined : this.pick(candidates, stage, this.context.random)?.id;
	}
}

const base = {
	createQueue: () => new FifoQueue(),
	accept: (job: Job, engine: {readonly waitingTokens: number}) => engine.waitingTokens + job.tokens > maxWaitingTokens
		? {accepted: false as const, retryAfterMs}
		: {accepted: true as const},
	dropsLate: false,
	initialRole: (index: number, count: number): EngineRole => index < Math.floor(count / 2) ? 'prefill' : 'decode',
};

/** Half of the engines for each stage, endpoints one after the other. */
export const roundRobin: Strategy = {
	...base,
	name: 'half-and-half, round robin',
	createEntry: context => new SimpleEntry(context, createRoundRobin()),
};

/** Half of the engines for each stage, the endpoint with the least reported load. */
export const leastLoad: Strategy = {
	...base,
	name: 'half-and-half, least load',
	createEntry: context => new SimpleEntry(context, createLeastLoad()),
};

/** Work that a report shows, in milliseconds of an engine. */
const reportedWork = (view: PlannerView): Record<'decode' | 'prefill', number> => {
	const readings = view.endpoints.flatMap(({reading}) => reading && reading.role !== 'service' ? [reading] : []);
	const {rates} = view.endpoints[0]!;
	const model = {rates, maxMsPerToken: view.target.maxMsPerToken};
	return enginesNeeded(model, {
		promptTokensPerSecond: readings.reduce((sum, {waitingTokens}) => sum + waitingTokens, 0),
		// Each request in decode takes one token of each step.
		outputTokensPerSecond: readings.reduce((sum, {running, waiting}) => sum + running + waiting, 0) * 1000 / view.target.maxMsPerToken,
	});
};

/** Makes the roles follow the newest reports: no cost, no dwell time, any number of changes at once. */
const followReports: Planner = view => {
	const engines = view.endpoints.filter(({reading}) => reading && reading.role !== 'service');
	const work = reportedWork(view);
	if (view.dataCentre !== view.dataCentres[0] || work.prefill + work.decode === 0) {
		return [];
	}

	const share = work.prefill / (work.prefill + work.decode);
	const target = Math.min(engines.length - 1, Math.max(1, Math.round(engines.length * share)));
	const prefill = engines.filter(({reading}) => reading?.role === 'prefill');
	const decode = engines.filter(({reading}) => reading?.role === 'decode');
	const free = (endpoints: typeof engines) => endpoints.filter(({id}) => !view.changing.has(id));
	const toPrefill: PlannedChange[] = free(decode)
		.slice(0, Math.max(0, target - prefill.length))
		.map(({id}) => ({endpoint: id, role: 'prefill'}));
	const toDecode: PlannedChange[] = free(prefill)
		.slice(0, Math.max(0, prefill.length - target))
		.map(({id}) => ({endpoint: id, role: 'decode'}));
	return [...toPrefill, ...toDecode];
};

/** Roles that follow every report at once, the endpoint with the least reported load. */
export const followEveryReport: Strategy = {
	...leastLoad,
	name: 'roles follow every report',
	createPlanner: () => followReports,
};
