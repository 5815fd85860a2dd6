/**
 * The forwarding entry as a whole: follows the store, serves callers, takes part in the duties, and stops gracefully.
 */
import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	RetryWindow, RouteTable, type Clock, type MakeId, type Random,
} from '@hawthorncleat/core';
import {runLease, type Lease} from '@hawthorncleat/store';
import {request} from 'undici';
import {handleCaller, type CallerHandlerDeps, type RequestEnd} from './caller-handler.js';
import type {DecisionLog, LogEvent} from './decision-log.js';
import {EndpointDirectory} from './endpoint-directory.js';
import {EndpointPool} from './endpoint-pool.js';
import type {AdmittedRequest, AttemptReport} from './forward-request.js';
import {Gossip, type Peer} from './gossip.js';
import {Membership} from './membership.js';
import {ForwardMetrics} from './metrics.js';
import {ModelLoad} from './model-load.js';
import type {
	ForwardSettings, Platform, RowStore, StoreAnswer, StoreTable,
} from './ports.js';
import {runRoleDuty} from './role-duty.js';
import {closeHttp, listenHttp} from './servers.js';
import {watchTable} from './table-watch.js';
import {withTimeLimit} from './time-limit.js';
import {TrueTime} from './true-time.js';
import {UsageCounter} from './usage-counter.js';
import {runUsageDuty, usageDuty} from './usage-duty.js';

export type ForwardDaemonDeps = {
	readonly clock: Clock;
	/** Time of day. */
	readonly wallMs: () => number;
	readonly random: Random;
	readonly makeId: MakeId;
	readonly log: DecisionLog;
	readonly platform: Platform;
	/** Calls the listener with new settings. */
	readonly onReload?: (listener: (settings: ForwardSettings) => void) => void;
};

/**
 * Longest wait of one call. A connection that has gone silent is noticed only after it, and changes of configuration and
 * endpoints must still be taken over within five seconds of that; peers are heard without the store.
 */
const watchWaitMs: Readonly<Record<StoreTable, number>> = {
	config: 3000, endpoints: 3000, members: 15_000, usage: 3000,
};
/** Changes of endpoints are taken over in batches of this time, well below the time in which a leaving one takes work. */
const endpointPauseMs = 150;
const duties = {leaseTtlMs: 4000, leaseRenewMs: 1300, leaseMarginMs: 700};
const stopPollMs = 50;
/** Peers are milliseconds away. */
const peerLimitMs = 500;
/** Longer than the pause between two messages of an entry. */
const changingNoticeMs = 1500;

/** Whole milliseconds are enough for a log line. */
const roundTimes = (fields: Readonly<Record<string, unknown>>): Record<string, unknown> => Object.fromEntries(Object.entries(fields)
	.map(([name, value]) => [name, typeof value === 'number' ? Math.round(value) : value]));

class ForwardDaemon {
	#settings: ForwardSettings;
	readonly #deps: ForwardDaemonDeps;
	readonly #metrics = new ForwardMetrics();
	readonly #pool: EndpointPool;
	readonly #load: ModelLoad;
	readonly #directory: EndpointDirectory;
	readonly #gossip: Gossip;
	readonly #members: Membership;
	readonly #time: TrueTime;
	readonly #usage: UsageCounter;
	readonly #retries = new Map<string, RetryWindow>();
	readonly #available = new Map<StoreTable, boolean>();
	#routes: RouteTable | undefined;
	#configText = '';
	#knowsEndpoints = false;
	#isStopping = false;
	#isFetching = false;
	#running = 0;
	/** Engines whose role this entry changes. */
	#changing: readonly string[] = [];

	constructor(settings: ForwardSettings, deps: ForwardDaemonDeps) {
		const {clock, platform, makeId} = deps;
		this.#settings = settings;
		this.#deps = deps;
		this.#members = new Membership(clock, settings.hostName, peer => this.#gossip.heardMs(peer));
		this.#pool = new EndpointPool({
			clock,
			entries: () => this.#members.liveCount(),
			serviceOf: name => this.#routes?.findService(name),
		});
		this.#load = new ModelLoad(clock, this.#pool);
		this.#gossip = new Gossip({
			clock,
			self: settings.hostName,
			address: settings.ip,
			port: settings.gossipPort,
			load: this.#load,
			peers: () => this.#members.peers(),
			configVersion: () => this.#routes?.config.version ?? 0,
			changing: () => this.#changing,
			usage: () => this.#usage.untold(),
			onUsage: notice => {
				this.#usage.hear(notice);
			},
			onVersion: (peer, version) => {
				this.#hearVersion(peer, version);
			},
			onChanging: (_peer, endpoints) => {
				this.#noteChanging(endpoints);
			},
		});
		this.#directory = new EndpointDirectory({
			clock,
			pool: this.#pool,
			readEndpoint: platform.readEndpoint,
			onChange: change => {
				this.#log('endpoint', change);
			},
		});
		this.#time = new TrueTime(clock, () => this.#members.wallOffsets());
		this.#usage = new UsageCounter({
			rows: platform.rows,
			owner: `${settings.hostName}/${makeId()}`,
			windowMs: settings.usage.windowMs,
			nowMs: () => this.#time.nowMs(),
			onError: error => {
				this.#logError('writing usage counts', error);
			},
		});
	}

	async run(stop: AbortSignal): Promise<void> {
		this.#deps.onReload?.(settings => {
			this.#reload(settings);
		});
		const {listen} = this.#settings;
		const ending = new AbortController();
		const {signal} = ending;
		const background = Promise.all([
			this.#watch('config', signal),
			this.#watch('endpoints', signal),
			this.#watch('members', signal),
			this.#gossip.run(signal),
			this.#usage.run(signal),
			this.#announce(signal),
			this.#runDuties(stop),
			this.#housekeep(signal),
		]);
		const callers = await listenHttp(listen.callers, (req, res) => {
			this.#running += 1;
			res.once('close', () => {
				this.#running -= 1;
			});
			void this.#serve(req, res);
		});
		const others = await Promise.all([this.#listenReadiness(), this.#listenPeers(), this.#listenMetrics()]);
		this.#log('start', {callers: listen.callers, dataCentre: this.#settings.dataCentre});
		await new Promise<void>(resolve => {
			if (stop.aborted) {
				resolve();
			}

			stop.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
		await this.#drain(callers);
		ending.abort();
		for (const server of [callers, ...others]) {
			closeHttp(server);
		}

		await background;
		await this.#usage.flush();
		await this.#pool.destroy();
		this.#log('stopped', {});
	}

	get #isReady(): boolean {
		return this.#routes !== undefined && this.#knowsEndpoints && !this.#isStopping;
	}

	/** Addresses are those of the start; limits hold at once. */
	#reload(settings: ForwardSettings): void {
		const {retries, usage, stopLimitMs} = settings;
		this.#settings = {...this.#settings, retries, usage, stopLimitMs};
		this.#retries.clear();
		this.#log('reload', {retries, usage, stopLimitMs});
	}

	#log(event: LogEvent, fields: Readonly<Record<string, unknown>>): void {
		this.#deps.log.write(event, fields);
	}

	#logError(what: string, error: unknown): void {
		this.#log('error', {what, problem: error instanceof Error ? error.message : String(error)});
	}

	async #serve(req: Parameters<typeof handleCaller>[1], res: Parameters<typeof handleCaller>[2]): Promise<void> {
		try {
			await handleCaller(this.#handlerDeps, req, res);
		} catch (error) {
			this.#logError('serving a request', error);
			res.destroy();
		}
	}

	get #handlerDeps(): CallerHandlerDeps {
		const {clock, random, platform} = this.#deps;
		return {
			clock,
			random,
			wire: platform.wire,
			pool: this.#pool,
			load: this.#load,
			dataCentre: this.#settings.dataCentre,
			retriesOf: service => this.#retriesOf(service),
			routes: () => this.#routes,
			isStopping: () => this.#isStopping,
			onRun: admitted => {
				this.#countRun(admitted);
			},
			onAttempt: (admitted, report) => {
				this.#reportAttempt(admitted, report);
			},
			onEnd: end => {
				this.#reportEnd(end);
			},
		};
	}

	#countRun({account}: AdmittedRequest): void {
		if (account) {
			this.#usage.count(account.name);
		}
	}

	#reportAttempt({request}: AdmittedRequest, report: AttemptReport): void {
		this.#metrics.countAttempt(report);
		const {result, ...place} = report;
		this.#log('attempt', {
			id: request.id,
			tokens: request.promptTokens,
			...roundTimes(place),
			...result.kind === 'failed' ? {failure: result.failure, detail: result.detail} : {status: result.status},
		});
	}

	#reportEnd({outcome, tookMs, ...end}: RequestEnd): void {
		this.#metrics.countEnd({outcome, tookMs, ...end});
		this.#log('request', {...end, tookMs: Math.round(tookMs), ...outcome});
	}

	#retriesOf(service: string): RetryWindow {
		const known = this.#retries.get(service);
		if (known) {
			return known;
		}

		const created = new RetryWindow(this.#deps.clock, {...this.#settings.retries, entries: () => this.#members.liveCount()});
		this.#retries.set(service, created);
		return created;
	}

	async #watch(table: StoreTable, signal: AbortSignal): Promise<void> {
		const {clock, platform} = this.#deps;
		await watchTable({
			table,
			rows: platform.rows,
			clock,
			waitMs: watchWaitMs[table],
			pauseMs: table === 'endpoints' ? endpointPauseMs : 0,
			onAnswer: (answer, isWhole) => {
				this.#time.noteStore(answer.storeNowMs);
				this.#apply(table, answer, isWhole);
			},
			onAvailable: (isAvailable, error) => {
				this.#noteAvailable(table, isAvailable, error);
			},
		}, signal);
	}

	#apply(table: StoreTable, answer: StoreAnswer, isWhole: boolean): void {
		if (table === 'config') {
			for (const {value} of answer.rows) {
				this.#applyConfig(value, 'store');
			}
		} else if (table === 'endpoints') {
			this.#directory.apply(answer, isWhole);
			this.#knowsEndpoints = true;
		} else {
			this.#members.apply(answer, isWhole);
		}
	}

	#noteAvailable(table: StoreTable, isAvailable: boolean, error: unknown): void {
		if (table === 'endpoints') {
			this.#directory.setAvailable(isAvailable);
		}

		if ((this.#available.get(table) ?? true) !== isAvailable) {
			this.#available.set(table, isAvailable);
			this.#log('dependency', {
				dependency: `store/${table}`, isAvailable, ...error instanceof Error && {problem: error.message},
			});
		}
	}

	/** A version that is in force never gives way to an older one. */
	#applyConfig(text: string | undefined, source: string): void {
		const config = text === undefined ? undefined : this.#deps.platform.readConfig(text);
		if (!config || config.version <= (this.#routes?.config.version ?? 0)) {
			return;
		}

		const previous = this.#routes?.config.version;
		this.#routes = new RouteTable(config);
		this.#configText = text!;
		this.#metrics.setConfigVersion(config.version);
		this.#log('config', {
			version: config.version, previous, source, routes: config.routes.length, accounts: config.accounts.length,
		});
	}

	/** Asks a peer for a configuration that the store has not given to this entry. */
	#hearVersion(peer: Peer, version: number): void {
		if (version <= (this.#routes?.config.version ?? 0) || this.#isFetching) {
			return;
		}

		const member = this.#members.member(peer.name);
		if (member) {
			this.#isFetching = true;
			void this.#fetchConfig(`http://${member.address}:${member.peerPort}/config`, peer.name);
		}
	}

	async #fetchConfig(url: string, peer: string): Promise<void> {
		try {
			const text = await withTimeLimit(peerLimitMs, undefined, async signal => {
				const {body} = await request(url, {signal});
				return body.text();
			});
			this.#applyConfig(text, peer);
		} catch (error) {
			this.#logError(`reading the configuration of ${peer}`, error);
		} finally {
			this.#isFetching = false;
		}
	}

	async #announce(signal: AbortSignal): Promise<void> {
		const {rows} = this.#deps.platform;
		const {listen, gossipPort, ip, hostName} = this.#settings;
		while (!signal.aborted) {
			const storeNowMs = this.#time.storeNowMs();
			if (storeNowMs !== undefined && !this.#members.member(hostName)) {
				try {
					await this.#members.announce(rows, {
						address: ip, gossipPort, peerPort: listen.peers.port, wallOffsetMs: this.#deps.wallMs() - storeNowMs,
					});
				} catch (error) {
					this.#logError('writing the own member row', error);
				}
			}

			await sleep(200, undefined, {signal}).catch(() => undefined);
		}
	}

	async #runDuties(signal: AbortSignal): Promise<void> {
		const {clock, makeId, platform} = this.#deps;
		const holder = this.#settings.hostName;
		await runLease({
			duty: usageDuty,
			holder,
			table: platform.table,
			clock,
			makeId,
			durations: duties,
			onHeld: async (lease, held) => {
				this.#log('lease', {duty: usageDuty, held: true, epoch: lease.epoch});
				await Promise.all([this.#runUsageDuty(lease, held), this.#runRoleDuty(lease, held)]);
				this.#log('lease', {duty: usageDuty, held: false, epoch: lease.epoch});
			},
			onError: error => {
				this.#logError('usage duty', error);
			},
		}, signal);
	}

	async #runUsageDuty(lease: Lease, signal: AbortSignal): Promise<void> {
		const {platform, makeId} = this.#deps;
		await runUsageDuty({
			rows: platform.rows,
			table: platform.table,
			calls: platform.duties,
			holder: this.#settings.hostName,
			makeId,
			windowMs: this.#settings.usage.windowMs,
			nowMs: () => this.#time.nowMs(),
			heard: window => this.#usage.heardOf(window),
			onReport: report => {
				this.#metrics.countReport(report.accepted);
				this.#log('usage', report);
			},
			onError: error => {
				this.#logError('reporting usage', error);
			},
		}, lease, signal);
	}

	async #runRoleDuty(lease: Lease, signal: AbortSignal): Promise<void> {
		await runRoleDuty({
			clock: this.#deps.clock,
			wire: this.#deps.platform.wire,
			pool: this.#pool,
			load: this.#load,
			holder: this.#settings.hostName,
			services: () => this.#routes?.config.services ?? [],
			onOrder: order => {
				this.#log('role', order);
			},
			onChanging: endpoints => {
				this.#changing = endpoints;
				this.#noteChanging(endpoints);
			},
		}, lease, signal);
	}

	/** Repeated while a change is under way, so that a lost message or an ended planner blocks no engine for long. */
	#noteChanging(endpoints: readonly string[]): void {
		const untilMs = this.#deps.clock.nowMs() + changingNoticeMs;
		for (const id of endpoints) {
			const known = this.#pool.get(id);
			if (known) {
				known.changesUntilMs = untilMs;
			}
		}
	}

	async #housekeep(signal: AbortSignal): Promise<void> {
		let wasReady = false;
		while (!signal.aborted) {
			this.#directory.dropMissing();
			if (this.#isReady !== wasReady) {
				wasReady = this.#isReady;
				this.#log('ready', {ready: wasReady});
			}

			await sleep(250, undefined, {signal}).catch(() => undefined);
		}
	}

	async #listenReadiness(): Promise<Server> {
		return listenHttp(this.#settings.listen.readiness, (req, res) => {
			res.writeHead(this.#deps.platform.wire.isReadinessPath(req.url ?? '') && this.#isReady ? 200 : 503);
			res.end();
		});
	}

	async #listenPeers(): Promise<Server> {
		return listenHttp(this.#settings.listen.peers, (_req, res) => {
			res.end(this.#configText);
		});
	}

	async #listenMetrics(): Promise<Server> {
		return listenHttp({address: this.#settings.ip, port: this.#settings.metricsPort}, (_req, res) => {
			this.#metrics.setDroppedLines(this.#deps.log.dropped);
			void (async () => {
				res.end(await this.#metrics.registry.metrics());
			})();
		});
	}

	/** Lets running requests end; new ones are served until the load balancer has noticed. */
	async #drain(callers: Server): Promise<void> {
		const {clock} = this.#deps;
		const startMs = clock.nowMs();
		this.#isStopping = true;
		this.#log('stop', {running: this.#running});
		await sleep(this.#settings.outOfRotationMs);
		callers.close();
		callers.closeIdleConnections();
		while (this.#running > 0 && clock.nowMs() - startMs < this.#settings.stopLimitMs) {
			await sleep(stopPollMs);
			callers.closeIdleConnections();
		}
	}
}

/** Runs a forwarding entry until `stop` aborts and its requests have ended. */
export const runForwardDaemon = async (settings: ForwardSettings, deps: ForwardDaemonDeps, stop: AbortSignal): Promise<void> => {
	await new ForwardDaemon(settings, deps).run(stop);
};
