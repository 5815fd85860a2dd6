/**
 * The simulated fleet: entries, agents with their engines, planners and faults, wired to one strategy.
 */
import {
	estimatePrefillMs, type EndpointInfo, type EngineRole, type LoadReading, type Random, type ServiceTarget,
} from '@hawthorncleat/core';
import {
	deskRates, engineRates, platform, type Deployment,
} from '../deployments.js';
import type {EntryPolicy, Planner, Strategy} from '../strategies/strategy.js';
import type {Faults} from '../workloads.js';
import {FakeEngine, type EngineHooks} from './engine.js';
import type {Job, SimRequest} from './job.js';
import {PrefixCache} from './prefix-cache.js';
import type {Scheduler} from './scheduler.js';

/** What a run records. */
export type Recorder = {
	refused(request: SimRequest, nowMs: number): void;
	lost(request: SimRequest): void;
	finished(request: SimRequest, firstTokenMs: number, lastTokenMs: number): void;
	roleChanged(nowMs: number): void;
};

export type FleetOptions = {
	readonly deployment: Deployment;
	readonly strategy: Strategy;
	readonly faults: Faults;
	readonly scheduler: Scheduler;
	readonly random: Random;
	readonly recorder: Recorder;
	readonly target: ServiceTarget;
};

const maxAttempts = 3;
// A request whose KV cache has nowhere to go is placed again after this time.
const placeAgainMs = 250;
const crashAfterChangeMs = 2000;

type SimEntry = {readonly dataCentre: string; readonly policy: EntryPolicy; readonly readings: Map<string, LoadReading>};

export class Fleet {
	readonly engines: FakeEngine[];
	readonly #byId: Map<string, FakeEngine>;
	readonly #entries: SimEntry[];
	readonly #dataCentres: string[];
	readonly #planner: Planner | undefined;
	#cut = false;
	#lossArmed = false;

	constructor(private readonly options: FleetOptions) {
		const {deployment, strategy} = options;
		this.#dataCentres = deployment.runners.map((_, index) => `dc${index}`);
		this.engines = this.#createEngines();
		this.#byId = new Map(this.engines.map(engine => [engine.spec.id, engine]));
		this.#entries = this.#dataCentres.flatMap(dataCentre =>
			Array.from({length: deployment.entriesPerDataCentre}, () => this.#createEntry(dataCentre)));
		this.#planner = strategy.createPlanner?.();
		this.#startReports();
		this.#startFaults();
		options.scheduler.every(1000, 1000, () => {
			this.#plan();
		});
	}

	/** Handles a new request. */
	submit(request: SimRequest): void {
		const job: Job = {
			id: request.id,
			account: String(request.account),
			weight: request.weight,
			tokens: request.promptTokens,
			request,
			promptLeft: 0,
			cachedTokens: 0,
			outputLeft: request.outputTokens,
			attempts: 0,
		};
		this.#entryOf(job).policy.arrived(request, this.#nowMs);
		this.#start(job, new Set());
	}

	get #nowMs(): number {
		return this.options.scheduler.nowMs();
	}

	#entryOf(job: Job): SimEntry {
		return this.#entries[job.request.entry]!;
	}

	#createEngines(): FakeEngine[] {
		const {deployment, strategy} = this.options;
		const total = deployment.runners.reduce((sum, count) => sum + count, 0);
		// Roles are dealt out across the data centres, so that each gets its part of a split.
		const places = this.#dataCentres
			.flatMap((dataCentre, index) => Array.from({length: deployment.runners[index]!}, (_, rank) => ({dataCentre, rank})))
			.toSorted((a, b) => a.rank - b.rank);
		const runners = places.map(({dataCentre, rank}, index) =>
			this.#createEngine(`${dataCentre}-runner${rank}`, dataCentre, strategy.initialRole(index, total)));
		const desks = this.#dataCentres.flatMap((dataCentre, index) =>
			Array.from({length: deployment.desks[index]!}, (_, rank) =>
				this.#createEngine(`${dataCentre}-desk${rank}`, dataCentre, 'service')));
		return [...runners, ...desks];
	}

	#createEngine(id: string, dataCentre: string, role: EngineRole): FakeEngine {
		const {random, scheduler, strategy} = this.options;
		const spec = {
			id,
			dataCentre,
			rates: role === 'service' ? deskRates : engineRates,
			kvCapacityTokens: platform.kvCapacityTokens,
			changeMs: platform.roleChangeMs,
		};
		const cache = new PrefixCache(platform.prefixCacheTokens, platform.lostCacheEvents, random);
		return new FakeEngine(spec, role, {
			queue: strategy.createQueue(), cache, scheduler, hooks: this.#hooks(),
		});
	}

	#createEntry(dataCentre: string): SimEntry {
		const endpoints = this.engines.map(({spec}): EndpointInfo => ({
			id: spec.id,
			dataCentre: spec.dataCentre,
			distanceMs: spec.dataCentre === dataCentre ? platform.localDistanceMs : platform.betweenDataCentresMs,
			rates: spec.rates,
		}));
		const policy = this.options.strategy.createEntry({
			endpoints,
			entries: this.#dataCentres.length * this.options.deployment.entriesPerDataCentre,
			random: this.options.random,
			target: this.options.target,
			reportLagMs: platform.reportLagMs,
		});
		const entry = {dataCentre, policy, readings: new Map<string, LoadReading>()};
		// An agent reports once when the connection opens.
		for (const engine of this.engines) {
			this.#deliver(entry, engine, engine.read());
		}

		return entry;
	}

	#hooks(): EngineHooks {
		return {
			mayStart: (job, engine) => this.#mayStart(job, engine),
			decodeElsewhere: (job, engine) => {
				this.#decodeElsewhere(job, engine);
			},
			returned: (job, engine) => {
				this.#start(job, new Set([engine.spec.id]));
			},
			crashed: (job, engine) => {
				this.options.scheduler.after(platform.crashNoticeMs, () => {
					this.#start(job, new Set([engine.spec.id]));
				});
			},
			firstToken: (job, engine) => {
				job.firstTokenMs ??= this.#nowMs + (this.#distance(job, engine) / 2);
			},
			finished: (job, engine) => {
				this.#finished(job, engine);
			},
			changed() {
				// Entries learn the new role from the next report.
			},
		};
	}

	#distance(job: Job, engine: FakeEngine): number {
		return this.#entryOf(job).dataCentre === engine.spec.dataCentre
			? platform.localDistanceMs
			: platform.betweenDataCentresMs;
	}

	#reaches(dataCentre: string, engine: FakeEngine): boolean {
		const last = this.#dataCentres.at(-1);
		return !this.#cut || (dataCentre === last) === (engine.spec.dataCentre === last);
	}

	#start(job: Job, excluded: ReadonlySet<string>): void {
		const {policy} = this.#entryOf(job);
		const placement = policy.start(job, excluded, this.#nowMs);
		if ('refusedForMs' in placement) {
			this.#refuse(job);
			return;
		}

		job.attempts++;
		const engine = this.#byId.get(placement.endpoint)!;
		const sent = {...job, tokens: placement.uncachedTokens};
		this.options.scheduler.after(this.#distance(job, engine) / 2, () => {
			this.#offer(sent, engine, excluded);
		});
	}

	#refuse(job: Job): void {
		if (job.firstTokenMs === undefined) {
			this.options.recorder.refused(job.request, this.#nowMs);
		} else {
			this.options.recorder.lost(job.request);
		}
	}

	/** The agent takes or refuses the job; the answer carries its queue length. */
	#offer(job: Job, engine: FakeEngine, excluded: ReadonlySet<string>): void {
		if (!this.#reaches(this.#entryOf(job).dataCentre, engine)) {
			this.options.recorder.lost(job.request);
			return;
		}

		const right = engine.accepts && engine.role !== 'decode';
		const answer = right && this.options.strategy.accept(job, engine, this.#nowMs, this.options.target).accepted;
		if (answer) {
			engine.enqueue(job);
		}

		const queued = engine.waitingTokens;
		this.options.scheduler.after(this.#distance(job, engine) / 2, () => {
			this.#answered(job, engine, queued, {accepted: answer, excluded});
		});
	}

	#answered(
		job: Job,
		engine: FakeEngine,
		queued: number,
		{accepted, excluded}: {readonly accepted: boolean; readonly excluded: ReadonlySet<string>},
	): void {
		this.#entryOf(job).policy.answered(engine.spec.id, queued, this.#nowMs);
		if (accepted) {
			return;
		}

		if (job.attempts >= maxAttempts) {
			this.#refuse(job);
		} else {
			this.#start(job, new Set([...excluded, engine.spec.id]));
		}
	}

	#mayStart(job: Job, engine: FakeEngine): boolean {
		const {strategy, target} = this.options;
		if (!strategy.dropsLate || job.firstTokenMs !== undefined) {
			return true;
		}

		const needsMs = estimatePrefillMs(engine.spec.rates, engine.role, engine.running, job.tokens);
		const limitMs = target.firstTokenMs + (target.promptMsPerToken * job.request.promptTokens);
		if (this.#nowMs + needsMs <= job.request.arrivedMs + limitMs) {
			return true;
		}

		this.#refuse(job);
		return false;
	}

	#decodeElsewhere(job: Job, from: FakeEngine): void {
		const entry = this.#entryOf(job);
		if (!this.#reaches(entry.dataCentre, from)) {
			this.options.recorder.lost(job.request);
			return;
		}

		const id = entry.policy.decode(job, this.#nowMs);
		const engine = id === undefined ? undefined : this.#byId.get(id);
		const transferMs = job.request.promptTokens / platform.kvTransferTokensPerMs;
		if (!engine) {
			this.#placeAgain(job, from);
			return;
		}

		this.options.scheduler.after(transferMs + this.#distance(job, engine), () => {
			if (engine.accepts && engine.role !== 'prefill') {
				engine.enqueueDecode(job);
			} else {
				this.#placeAgain(job, from);
			}
		});
	}

	#placeAgain(job: Job, from: FakeEngine): void {
		this.options.scheduler.after(placeAgainMs, () => {
			this.#decodeElsewhere(job, from);
		});
	}

	#finished(job: Job, engine: FakeEngine): void {
		const entry = this.#entryOf(job);
		entry.policy.ended(job, engine.spec.id, this.#nowMs);
		if (this.#reaches(entry.dataCentre, engine)) {
			this.options.recorder.finished(job.request, job.firstTokenMs!, this.#nowMs + (this.#distance(job, engine) / 2));
		} else {
			this.options.recorder.lost(job.request);
		}
	}

	#deliver(entry: SimEntry, engine: FakeEngine, reading: LoadReading): void {
		if (this.#reaches(entry.dataCentre, engine)) {
			entry.readings.set(engine.spec.id, reading);
			entry.policy.report(engine.spec.id, reading, this.#nowMs);
		}
	}

	#startReports(): void {
		const {random, scheduler} = this.options;
		for (const engine of this.engines) {
			scheduler.every(platform.reportIntervalMs, random() * platform.reportIntervalMs, () => {
				// A lost engine reports nothing; its agent says that it accepts no work.
				const reading = engine.read();
				scheduler.after(platform.reportLagMs, () => {
					for (const entry of this.#entries) {
						this.#deliver(entry, engine, reading);
					}
				});
			});
		}
	}

	#plan(): void {
		const {faults, target} = this.options;
		const down = faults.tableDown;
		if (!this.#planner || (down && this.#nowMs >= down.fromMs && this.#nowMs < down.toMs)) {
			return;
		}

		for (const dataCentre of this.#dataCentres) {
			const entry = this.#entries.find(entry => entry.dataCentre === dataCentre)!;
			const runners = this.engines.filter(({role}) => role !== 'service');
			const changes = this.#planner({
				dataCentre,
				dataCentres: this.#dataCentres,
				endpoints: runners.map(engine => this.#plannerEndpoint(entry, engine)),
				changing: new Set(runners.filter(({accepts}) => !accepts).map(({spec}) => spec.id)),
				kvCapacityTokens: platform.kvCapacityTokens,
				entry: entry.policy,
				nowMs: this.#nowMs,
				target,
			});
			for (const {endpoint, role} of changes) {
				this.#changeRole(this.#byId.get(endpoint)!, role, dataCentre);
			}
		}
	}

	/** The planner reads the order rows, so the role is the ordered one; the rest of the reading lags. */
	#plannerEndpoint(entry: SimEntry, engine: FakeEngine) {
		const reading = entry.readings.get(engine.spec.id);
		return {
			id: engine.spec.id,
			dataCentre: engine.spec.dataCentre,
			distanceMs: 0,
			rates: engine.spec.rates,
			reading: reading ? {...reading, role: engine.role} : undefined,
			reachable: this.#reaches(entry.dataCentre, engine),
		};
	}

	#changeRole(engine: FakeEngine, role: EngineRole, dataCentre: string): void {
		if (!engine.accepts || engine.role === role || !this.#reaches(dataCentre, engine)) {
			return;
		}

		this.options.recorder.roleChanged(this.#nowMs);
		engine.changeRole(role);
		if (this.#lossArmed) {
			this.#lossArmed = false;
			this.#loseLater(engine, crashAfterChangeMs);
		}
	}

	#loseLater(engine: FakeEngine, delayMs: number): void {
		const {faults, scheduler} = this.options;
		scheduler.after(delayMs, () => {
			engine.crash();
			scheduler.after(faults.engineLost!.backAfterMs, () => {
				engine.restart();
			});
		});
	}

	#startFaults(): void {
		const {faults: {cutOff, engineLost}, scheduler} = this.options;
		if (engineLost) {
			scheduler.after(engineLost.fromMs, () => {
				this.#lossArmed = true;
			});
			scheduler.after(engineLost.latestMs, () => {
				if (this.#lossArmed) {
					this.#lossArmed = false;
					this.#loseLater(this.engines[0]!, 0);
				}
			});
		}

		if (cutOff) {
			this.#scheduleCut(cutOff.fromMs, cutOff.toMs);
		}
	}

	#scheduleCut(fromMs: number, toMs: number): void {
		const {scheduler} = this.options;
		scheduler.after(fromMs, () => {
			this.#cut = true;
		});
		scheduler.after(fromMs + platform.silenceLimitMs, () => {
			this.#updateReachable();
		});
		scheduler.after(toMs, () => {
			this.#cut = false;
			this.#updateReachable();
		});
	}

	#updateReachable(): void {
		for (const entry of this.#entries) {
			for (const engine of this.engines) {
				entry.policy.setReachable(engine.spec.id, this.#reaches(entry.dataCentre, engine));
			}
		}
	}
}
