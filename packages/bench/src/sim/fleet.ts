/**
 * The simulated fleet: entries, agents with their engines, planners and faults, wired to one strategy.
 */
import {
	estimatePrefillMs, firstTokenLimitMs, type EndpointInfo, type EngineRole, type LoadReading,
} from '@hawthorncleat/core';
import {platform} from '../deployments.js';
import type {Planner} from '../strategies/strategy.js';
import {createEngines, listDataCentres} from './build.js';
import type {EngineHooks, EngineParts, FakeEngine} from './engine.js';
import {FaultInjector} from './fault-injector.js';
import type {FleetOptions} from './fleet-options.js';
import {createJob, type Job, type SimRequest} from './job.js';
import {PrefixCache} from './prefix-cache.js';
import {
	createPlannerView, distanceMs, noteReachability, type SimEntry,
} from './sim-entry.js';

const maxAttempts = 3;
// A request whose KV cache has nowhere to go is placed again after this time.
const placeAgainMs = 250;

export class Fleet {
	readonly engines: FakeEngine[];
	readonly #byId: Map<string, FakeEngine>;
	readonly #entries: SimEntry[];
	readonly #dataCentres: string[];
	readonly #planner: Planner | undefined;
	readonly #faults: FaultInjector;

	constructor(private readonly options: FleetOptions) {
		const {deployment, strategy} = options;
		this.#dataCentres = listDataCentres(deployment);
		this.#faults = new FaultInjector(options.faults, options.scheduler, this.#dataCentres.at(-1)!);
		this.engines = createEngines(deployment, strategy.initialRole, () => this.#createParts());
		this.#byId = new Map(this.engines.map(engine => [engine.spec.id, engine]));
		this.#entries = this.#dataCentres.flatMap(dataCentre =>
			Array.from({length: deployment.entriesPerDataCentre}, () => this.#createEntry(dataCentre)));
		this.#planner = strategy.createPlanner?.();
		this.#startReports();
		this.#faults.start(this.engines[0]!, () => {
			noteReachability(this.#entries, this.engines, (dataCentre, engine) => this.#reaches(dataCentre, engine));
		});
		options.scheduler.every(1000, 1000, () => {
			this.#plan();
		});
	}

	/** Handles a new request. */
	submit(request: SimRequest): void {
		const job = createJob(request);
		this.#entryOf(job).policy.arrived(request, this.#nowMs);
		this.#start(job, new Set());
	}

	get #nowMs(): number {
		return this.options.scheduler.nowMs();
	}

	#entryOf(job: Job): SimEntry {
		return this.#entries[job.request.entry]!;
	}

	#createParts(): EngineParts {
		const {random, scheduler, strategy, target} = this.options;
		return {
			places: engine => strategy.places?.(engine, target) ?? engine.spec.rates.maxRunning,
			queue: strategy.createQueue(),
			cache: new PrefixCache(platform.prefixCacheTokens, platform.lostCacheEvents, random),
			scheduler,
			hooks: this.#hooks(),
		};
	}

	#createEntry(dataCentre: string): SimEntry {
		const endpoints = this.engines.map((engine): EndpointInfo => ({
			id: engine.spec.id,
			dataCentre: engine.spec.dataCentre,
			distanceMs: distanceMs(dataCentre, engine),
			rates: engine.spec.rates,
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
		};
	}

	#distance(job: Job, engine: FakeEngine): number {
		return distanceMs(this.#entryOf(job).dataCentre, engine);
	}

	#reaches(dataCentre: string, engine: FakeEngine): boolean {
		return this.#faults.reaches(dataCentre, engine);
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
		if (this.#nowMs + needsMs <= job.request.arrivedMs + firstTokenLimitMs(target, job.request.promptTokens)) {
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
		const planner = this.#planner;
		if (!planner || !this.#faults.canOrder()) {
			return;
		}

		for (const dataCentre of this.#dataCentres) {
			const changes = planner(createPlannerView(this.#entries.find(entry => entry.dataCentre === dataCentre)!, {
				dataCentres: this.#dataCentres,
				runners: this.engines.filter(({role}) => role !== 'service'),
				nowMs: this.#nowMs,
				target: this.options.target,
				reaches: (dataCentre, engine) => this.#reaches(dataCentre, engine),
			}));
			for (const {endpoint, role} of changes) {
				this.#faults.order(() => {
					this.#changeRole(this.#byId.get(endpoint)!, role, dataCentre);
				});
			}
		}
	}

	#changeRole(engine: FakeEngine, role: EngineRole, dataCentre: string): void {
		if (!engine.accepts || engine.role === role || !this.#reaches(dataCentre, engine)) {
			return;
		}

		this.options.recorder.roleChanged(this.#nowMs);
		engine.changeRole(role);
		this.#faults.changeStarted(engine);
	}
}
