/**
 * The strategy under test: the decisions of `@hawthorncleat/core` as the daemons call them.
 */
import {
	AccountShares,
	admit,
	chooseEndpoint,
	chooseService,
	countRoles,
	DemandMeter,
	estimateEngineSeconds,
	FairQueue,
	overShareRetryMs,
	LoadEstimator,
	usableSlots,
	servableFraction,
	ServiceLoadEstimator,
	type CapacityModel,
	type EndpointChoice,
	type EndpointChoiceRequest,
	type EndpointState,
	type EngineRole,
	type LatencyTarget,
} from '@hawthorncleat/core';
import {deskRates, engineRates} from '../deployments.js';
import {
	kvTokens, type Job, type JobQueue,
} from '../sim/job.js';
import type {FakeEngine} from '../sim/engine.js';
import {createRolePlanner} from './role-planner.js';
import type {
	AgentAnswer, EntryContext, MeteringEntry, Placement, Strategy,
} from './strategy.js';

// Long enough to average out single requests, short against a swing of the mix.
const demandWindowMs = 10_000;

const createRequest = (job: Job, excluded: ReadonlySet<string>): EndpointChoiceRequest => ({
	stage: 'prefill',
	promptTokens: job.request.promptTokens,
	prefixes: job.request.prefix ? [job.request.prefix] : [],
	excluded,
	kvTokens: job.request.promptTokens + job.request.maxTokens,
});

/** The decisions of an entry, on its own view of the load. */
class Entry implements MeteringEntry {
	readonly #view: LoadEstimator;
	readonly #desks: ServiceLoadEstimator;
	readonly #meter: DemandMeter;
	readonly #shares = new AccountShares();
	readonly #unreachable = new Set<string>();

	constructor(private readonly context: EntryContext) {
		this.#view = new LoadEstimator(context);
		this.#desks = new ServiceLoadEstimator(context);
		this.#meter = new DemandMeter({windowMs: demandWindowMs, entries: context.entries});
		for (const info of context.endpoints) {
			(info.rates === deskRates ? this.#desks : this.#view).add(info);
		}
	}

	report(...[endpoint, reading, nowMs]: Parameters<MeteringEntry['report']>): void {
		this.#view.applyReport(endpoint, reading, nowMs);
		// The agent of a plain service refuses nothing here, so that its limit is not known.
		this.#desks.applyReport(endpoint, {running: reading.running + reading.waiting, leaving: reading.leaving}, nowMs);
	}

	arrived(...[request, nowMs]: Parameters<MeteringEntry['arrived']>): void {
		if (request.kind === 'model') {
			this.#meter.recordRequest(request.promptTokens, request.maxTokens, nowMs);
			const work = estimateEngineSeconds(this.#model, this.#meter.estimateUncachedTokens(request.promptTokens), this.#meter.estimateOutputTokens(request.maxTokens));
			this.#shares.recordRequest(String(request.account), request.weight, work, nowMs);
		}
	}

	start(job: Job, excluded: ReadonlySet<string>, nowMs: number): Placement {
		if (job.request.kind === 'desk') {
			return this.#startDesk(job, excluded, nowMs);
		}

		if (job.attempts === 0 && !this.#isWithinShare(job, nowMs)) {
			return {refusedForMs: overShareRetryMs};
		}

		const states = this.#states(nowMs);
		const choice = chooseEndpoint(states, createRequest(job, excluded), this.context.random);
		const admission = admit({prefill: choice?.endpoint, decode: this.#decodeStates(job, choice, states)}, {
			target: this.context.target,
			promptTokens: job.request.promptTokens,
			uncachedTokens: choice?.uncachedTokens ?? job.request.promptTokens,
			outputTokens: this.#meter.estimateOutputTokens(job.request.maxTokens),
			elapsedMs: nowMs - job.request.arrivedMs,
			canWaitForSlot: choice?.endpoint.role === 'mixed',
		});
		if (!admission.accepted || !choice) {
			return {refusedForMs: admission.accepted ? 0 : admission.retryAfterMs};
		}

		this.#noteStart(job, choice, nowMs);
		return {endpoint: choice.endpoint.id, uncachedTokens: choice.uncachedTokens};
	}

	decode(job: Job, nowMs: number): string | undefined {
		const request = {...createRequest(job, new Set<string>()), stage: 'decode'} as const;
		const choice = chooseEndpoint(this.#states(nowMs), request, this.context.random);
		if (choice) {
			this.#view.recordDispatch(choice.endpoint.id, {
				prefillTokens: 0, decodeRequests: 1, kvTokens: kvTokens(job.request), prefixes: [],
			}, nowMs);
		}

		return choice?.endpoint.id;
	}

	answered(...[endpoint, queuedTokens, nowMs]: Parameters<MeteringEntry['answered']>): void {
		this.#view.recordQueueLength(endpoint, queuedTokens, nowMs);
	}

	ended(job: Job, endpoint: string, nowMs: number): void {
		if (job.request.kind === 'model') {
			this.#view.recordDecodeEnd(endpoint, kvTokens(job.request), nowMs);
			this.#meter.recordAnswer({...job.request, cachedTokens: job.cachedTokens});
		} else {
			this.#desks.recordCallEnd(endpoint, nowMs, nowMs - job.request.arrivedMs);
		}
	}

	setReachable(endpoint: string, reachable: boolean): void {
		if (reachable) {
			this.#unreachable.delete(endpoint);
		} else {
			this.#unreachable.add(endpoint);
		}
	}

	demand(nowMs: number) {
		return this.#meter.measure(nowMs);
	}

	get #model(): CapacityModel {
		return {rates: engineRates, maxMsPerToken: this.context.target.maxMsPerToken};
	}

	#isWithinShare(job: Job, nowMs: number): boolean {
		const part = this.#shares.admittedFraction(job.account, () => this.#servablePart(nowMs), nowMs);
		return part >= 1 || this.context.random() < part;
	}

	#servablePart(nowMs: number): number {
		const roles = this.#states(nowMs).filter(({leaving}) => !leaving).map(({role}) => role);
		return servableFraction(this.#model, this.#meter.measure(nowMs), countRoles(roles));
	}

	#startDesk(job: Job, excluded: ReadonlySet<string>, nowMs: number): Placement {
		const states = this.#desks.estimateAll(nowMs).filter(({id}) => !excluded.has(id) && !this.#unreachable.has(id));
		const choice = chooseService(states, this.#desks.meanCallMs, this.context.random);
		if (!choice) {
			return {refusedForMs: overShareRetryMs};
		}

		this.#desks.recordCallStart(choice.id, nowMs);
		return {endpoint: choice.id, uncachedTokens: job.request.promptTokens};
	}

	#states(nowMs: number): EndpointState[] {
		return this.#view.estimateAll(nowMs).filter(({id}) => !this.#unreachable.has(id));
	}

	#decodeStates(job: Job, choice: EndpointChoice | undefined, states: readonly EndpointState[]): readonly EndpointState[] | undefined {
		if (!choice) {
			return undefined;
		}

		const decoders = choice.endpoint.role === 'mixed' ? [choice.endpoint] : states.filter(({leaving}) => !leaving);
		return decoders.map(state => ({...state, running: state.observedRunning}));
	}

	#noteStart(job: Job, choice: EndpointChoice, nowMs: number): void {
		const mixed = choice.endpoint.role === 'mixed';
		this.#view.recordDispatch(choice.endpoint.id, {
			prefillTokens: choice.uncachedTokens,
			decodeRequests: mixed ? 1 : 0,
			kvTokens: mixed ? kvTokens(job.request) : 0,
			prefixes: job.request.prefix ? [job.request.prefix.prefix] : [],
		}, nowMs);
	}
}

/** The fair queue of an agent; a simulated engine works on prompts one after the other, so only they count. */
class FairJobQueue implements JobQueue {
	readonly #queue = new FairQueue<Job>();

	get size(): number {
		return this.#queue.size;
	}

	get waitingTokens(): number {
		return this.#queue.waitingTokens;
	}

	push(job: Job): void {
		const {account, weight, tokens} = job;
		this.#queue.push({
			account, weight, tokens, item: job,
		});
	}

	pop(): Job | undefined {
		return this.#queue.pop();
	}

	waitingAhead(account: string): number {
		return this.#queue.itemsAhead(account).reduce((sum, {tokens}) => sum + tokens, 0);
	}
}

/** The agent knows its own queue exactly and the decode endpoints not at all. */
const accept: Strategy['accept'] = (job, engine, nowMs, target): AgentAnswer => {
	const {rates} = engine.spec;
	const state = {
		distanceMs: 0, rates, role: engine.role, running: engine.running,
	};
	const prefill = {...state, waitingTokens: engine.promptAhead(job.account)};
	const decode = {...state, running: engine.decodeLoad, waitingTokens: prefill.waitingTokens};
	const admission = admit({prefill, decode: engine.role === 'mixed' ? [decode] : undefined}, {
		target,
		promptTokens: job.request.promptTokens,
		uncachedTokens: job.tokens,
		outputTokens: job.request.maxTokens,
		elapsedMs: nowMs - job.request.arrivedMs,
		canWaitForSlot: true,
	});
	return admission.accepted ? admission : {accepted: false, retryAfterMs: admission.retryAfterMs};
};

const base = {
	createEntry: (context: EntryContext) => new Entry(context),
	createQueue: () => new FairJobQueue(),
	accept,
	places: ({role, spec, waitingTokens}: FakeEngine, {maxMsPerToken: paceMs}: LatencyTarget) =>
		usableSlots(spec.rates, paceMs, role === 'mixed' && waitingTokens > 0),
	dropsLate: true,
};

/** All decisions, starting from mixed engines. */
export const hawthorncleat: Strategy = {
	...base,
	name: 'hawthorncleat',
	initialRole: () => 'mixed',
	createPlanner: () => createRolePlanner(),
};

/** The same without a planner, with fixed numbers of prefill and decode engines and the rest mixed. */
export const createFixedSplit = (prefill: number, decode: number): Strategy => ({
	...base,
	name: `split ${prefill}p ${decode}d`,
	initialRole(index: number): EngineRole {
		if (index < prefill) {
			return 'prefill';
		}

		return index < prefill + decode ? 'decode' : 'mixed';
	},
});

