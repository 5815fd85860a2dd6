/**
 * Creates the parts of an entry and connects them with one another.
 */
import {SuspectRequests, RetryBudget} from '@hawthorncleat/core';
import type {EntrySettings, Heartbeat, HelloResult} from '@hawthorncleat/schema';
import type {Readiness} from '@hawthorncleat/telemetry';
import {AccountLimits} from './account-limits.js';
import {AnswerConnections} from './answer-connections.js';
import type {CallerContext} from './caller-context.js';
import {learnSuspects, markCrash} from './crash-notices.js';
import {defaultTimings, type EntryDeps, type Timings} from './deps.js';
import {EndpointPool} from './endpoint-pool.js';
import {EngineChoice} from './engine-choice.js';
import type {Endpoint} from './endpoint.js';
import {EntryPeers} from './entry-peers.js';
import {FairAdmission} from './fair-admission.js';
import type {ConnectionOptions} from './kept-connection.js';
import {createMetrics, type Metrics} from './metrics.js';
import {ModelDemand} from './model-demand.js';
import {RunningRequests} from './running-requests.js';
import {ServiceChoice} from './service-choice.js';
import {createTelemetry, type Telemetry} from './telemetry.js';
import {UsageRecorder} from './usage-flush.js';

/** The parts of one entry; the port becomes known when it listens. */
export class EntryParts {
	readonly settings: EntrySettings;
	readonly deps: EntryDeps;
	readonly context: CallerContext;
	readonly #incarnation: string;
	readonly #timings: Timings;
	readonly #metrics: Metrics = createMetrics();
	readonly #telemetry: Telemetry;
	readonly #suspects: SuspectRequests;
	readonly #running: RunningRequests;
	readonly #usage: UsageRecorder;
	readonly #limits: AccountLimits;
	readonly #engineChoice: EngineChoice;
	readonly #serviceChoice: ServiceChoice;
	readonly #pool: EndpointPool;
	readonly #connectionOptions: ConnectionOptions;
	#entryId: string;
	#entryPeers: EntryPeers | undefined;
	#liveEntries = 1;

	constructor(settings: EntrySettings, deps: EntryDeps) {
		this.settings = settings;
		this.deps = deps;
		this.#entryId = settings.entryId;
		this.#incarnation = deps.makeId();
		this.#timings = {...defaultTimings, ...deps.timings};
		this.#telemetry = createTelemetry(deps.log, deps.tracing);
		this.#suspects = new SuspectRequests(deps.clock);
		this.#running = new RunningRequests(this.#timings.retryAfterMs, count => {
			this.#metrics.running.set(count);
		});
		this.#connectionOptions = this.#createConnectionOptions();
		this.#usage = this.#createUsage();
		this.#limits = this.#createLimits();
		const choiceOptions = {
			clock: deps.clock, random: deps.random, dataCentre: settings.dataCentre, liveEntries: () => this.#liveEntries,
		};
		this.#engineChoice = new EngineChoice(choiceOptions);
		this.#serviceChoice = new ServiceChoice(choiceOptions);
		this.#pool = this.#createPool();
		this.context = this.#createContext();
	}

	readonly heartbeat = (): Heartbeat => ({configVersion: this.#configVersion, leaving: this.#running.isDraining});

	readonly helloResult = (): HelloResult => ({
		id: this.#entryId,
		role: 'entry',
		incarnation: this.#incarnation,
		dataCentre: this.settings.dataCentre,
		configVersion: this.#configVersion,
	});

	readonly learn = (fingerprints: readonly string[]): void => {
		learnSuspects(this.#suspects, fingerprints);
	};

	readonly readiness = (): Readiness => {
		const reasons = [];
		if (this.#running.isDraining) {
			reasons.push('draining');
		}

		if (!this.#isFresh) {
			reasons.push('freshness-lost');
		}

		return {ready: reasons.length === 0, reasons};
	};

	readonly status = (): unknown => ({
		entryId: this.#entryId,
		incarnation: this.#incarnation,
		dataCentre: this.settings.dataCentre,
		region: this.settings.region,
		configVersion: this.#configVersion,
		fresh: this.#isFresh,
		draining: this.#running.isDraining,
		runningRequests: this.#running.count,
		activeAccounts: this.#limits.activeAccounts,
		unflushedWindows: this.#usage.windows,
		crashSuspects: this.#suspects.size,
		entries: [...this.#entryPeers?.peers.keys() ?? []],
		...this.deps.controlStatus?.(),
		endpoints: this.#pool.endpoints.map(endpoint => describeEndpoint(endpoint)),
	});

	readonly followHosts = (): void => {
		const hosts = this.deps.hosts.current();
		this.#liveEntries = hosts.filter(host => host.kind === 'entry' && host.state === 'live').length;
		this.#pool.update(hosts);
		this.#entryPeers?.update(this.deps.entryHosts?.current() ?? hosts, this.deps.peerServices?.requiredEntries?.());
		this.#metrics.configVersion.set(this.#configVersion);
		this.#metrics.crashSuspects.set(this.#suspects.size);
	};

	/** Completes the name and allows connections to other entries. */
	setInternalPort(port: number): void {
		const {address} = this.settings;
		this.#entryId ||= `${address}:${port}`;
		const handlers = {
			'crash.suspect': ({fingerprints}: {fingerprints: string[]}) => {
				this.learn(fingerprints);
			},
		};
		const entryPeers = new EntryPeers({entryId: this.#entryId, address, port}, handlers, this.#connectionOptions);
		this.#entryPeers = entryPeers;
		this.deps.peerServices?.usePeers?.(() => entryPeers.peers);
	}

	async drain(): Promise<void> {
		const {log} = this.#telemetry;
		this.#running.startDrain();
		this.context.connections.endAfterAnswers();
		log.info('draining', {running: this.#running.count});
		const isIdle = await this.#running.idle(this.settings.drainLimitMs);
		await this.#usage.flushFinally();
		log[isIdle ? 'info' : 'warn']('drained', {running: this.#running.count});
	}

	async close(): Promise<void> {
		await Promise.all([this.#pool.close(), this.#entryPeers?.close()]);
	}

	get #configVersion(): number {
		return this.deps.config.current().version;
	}

	get #isFresh(): boolean {
		return this.deps.freshness.mayServe(this.deps.clock.nowMs());
	}

	#createConnectionOptions(): ConnectionOptions {
		const {clock, random, peerServices} = this.deps;
		const {firstReconnectMs, maxReconnectMs} = this.#timings;
		return {
			clock,
			random,
			hello: () => ({
				protocol: 1, role: 'entry', id: this.#entryId, dataCentre: this.settings.dataCentre, configVersion: this.#configVersion,
			}),
			heartbeat: this.heartbeat,
			onPeerVersion(version) {
				peerServices?.onPeerVersion?.(version);
			},
			firstReconnectMs,
			maxReconnectMs,
		};
	}

	#createUsage(): UsageRecorder {
		return new UsageRecorder({
			owner: () => ({entryId: this.#entryId, incarnation: this.#incarnation}),
			windowMs: this.settings.usageWindowMs,
			wallClock: this.deps.wallClock,
			store: this.deps.usageStore,
			log: this.#telemetry.log,
			onFailure: () => {
				this.#metrics.usageFlushFailures.inc();
			},
		});
	}

	#createLimits(): AccountLimits {
		return new AccountLimits({
			clock: this.deps.clock,
			liveEntries: () => this.#liveEntries,
			retryAfterMs: this.#timings.retryAfterMs,
		});
	}

	#createPool(): EndpointPool {
		const {log} = this.#telemetry;
		return new EndpointPool(() => ({entryId: this.#entryId, dataCentre: this.settings.dataCentre}), {
			...this.#connectionOptions,
			onCrashSuspects: this.#markCrash,
			onConnected: endpoint => {
				this.#metrics.connections.inc();
				log.info('endpoint connected', {endpoint: endpoint.id, incarnation: endpoint.incarnation});
			},
			onReport: (endpoint, report) => {
				this.#engineChoice.reported(endpoint, report);
				this.#serviceChoice.reported(endpoint, report);
			},
			onQueue: (endpoint, queuedTokens) => {
				this.#engineChoice.answered(endpoint, queuedTokens);
			},
			onDisconnected: (endpoint, reason) => {
				this.#engineChoice.removed(endpoint);
				this.#serviceChoice.removed(endpoint);
				this.#metrics.connections.dec();
				log.warn('endpoint disconnected', {endpoint: endpoint.id, reason});
			},
		});
	}

	readonly #markCrash = (fingerprints: readonly string[], source: string): void => {
		markCrash(this.#suspects, fingerprints, source, news => {
			this.#entryPeers?.sendSuspects(news);
		});
	};

	#createContext(): CallerContext {
		const {clock, random, wallClock, config, hosts, freshness, claims, chooseEndpoint} = this.deps;
		const {dataCentre} = this.settings;
		const demand = new ModelDemand(clock, () => this.#liveEntries);
		return {
			clock,
			random,
			wallClock,
			config,
			freshness,
			claims,
			dataCentre,
			pool: this.#pool,
			budget: new RetryBudget(),
			suspects: this.#suspects,
			...(chooseEndpoint && {choose: chooseEndpoint}),
			engineChoice: this.#engineChoice,
			serviceChoice: this.#serviceChoice,
			demand,
			fairAdmission: new FairAdmission({
				clock, random, dataCentre, demand, config, hosts, endpoints: () => this.#pool.endpoints,
			}),
			timings: this.#timings,
			metrics: this.#metrics,
			telemetry: this.#telemetry,
			markCrash: this.#markCrash,
			limits: this.#limits,
			usage: this.#usage,
			running: this.#running,
			connections: new AnswerConnections(),
			retryAfterMs: this.#timings.retryAfterMs,
			bodyLimits: {maxBodyBytes: this.settings.maxBodyBytes, bodyTimeoutMs: this.#timings.bodyTimeoutMs},
		};
	}
}

const describeEndpoint = (endpoint: Endpoint): unknown => ({
	id: endpoint.id,
	serves: endpoint.host.serves,
	dataCentre: endpoint.host.dataCentre,
	connected: endpoint.peer !== undefined,
	leaving: endpoint.isLeaving,
	running: endpoint.report?.running,
	waitingTokens: endpoint.report?.waitingTokens,
});

/** Creates the parts without starting anything. */
export const createEntryParts = (settings: EntrySettings, deps: EntryDeps): EntryParts => new EntryParts(settings, deps);
