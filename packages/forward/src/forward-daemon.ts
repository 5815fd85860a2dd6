/**
 * The forwarding entry as a whole: follows the store, serves callers, takes part in the duties, and stops gracefully.
 */
import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {getOrCreate, RetryWindow} from '@hawthorncleat/core';
import {handleCaller, type CallerHandlerDeps} from './caller-handler.js';
import {runDuties} from './duties.js';
import {createForwardComponents, type ForwardDaemonDeps, type ForwardComponents} from './forward-components.js';
import type {AdmittedRequest} from './forward-types.js';
import {runPeriodicChecks} from './periodic-checks.js';
import {maintainOwnRow} from './membership.js';
import type {ForwardSettings} from './ports.js';
import {closeHttpServer, startHttpServer, startInternalServers} from './servers.js';

const stopPollMs = 50;

const untilAborted = async (signal: AbortSignal): Promise<void> => new Promise(resolve => {
	if (signal.aborted) {
		resolve();
	}

	signal.addEventListener('abort', () => {
		resolve();
	}, {once: true});
});

class ForwardDaemon {
	#settings: ForwardSettings;
	readonly #deps: ForwardDaemonDeps;
	readonly #parts: ForwardComponents;
	readonly #retries = new Map<string, RetryWindow>();
	#isStopping = false;
	#running = 0;

	constructor(settings: ForwardSettings, deps: ForwardDaemonDeps) {
		this.#settings = settings;
		this.#deps = deps;
		this.#parts = createForwardComponents(settings, deps);
	}

	async run(stop: AbortSignal): Promise<void> {
		this.#deps.onReload?.(settings => {
			this.#reload(settings);
		});
		const {listen} = this.#settings;
		const ending = new AbortController();
		const {signal} = ending;
		const background = Promise.all([
			this.#parts.follower.run(signal),
			this.#parts.gossip.run(signal),
			this.#parts.usage.run(signal),
			this.#keepAnnounced(signal),
			this.#runDuties(stop),
			runPeriodicChecks({
				clock: this.#deps.clock,
				pool: this.#parts.pool,
				directory: this.#parts.directory,
				isReady: () => this.#isReady,
				liveEntries: () => this.#parts.members.liveCount(),
				log: this.#deps.log,
			}, signal),
		]);
		const callers = await startHttpServer(listen.callers, (req, res) => {
			this.#running += 1;
			res.once('close', () => {
				this.#running -= 1;
			});
			void this.#serve(req, res);
		});
		const others = await startInternalServers(this.#settings, {
			isReadinessPath: path => this.#deps.platform.wire.isReadinessPath(path),
			isReady: () => this.#isReady,
			configText: () => this.#parts.config.text,
			metricsText: async () => {
				this.#parts.metrics.setDroppedLines(this.#deps.log.droppedLines);
				this.#parts.metrics.setLiveEntries(this.#parts.members.liveCount());
				return this.#parts.metrics.registry.metrics();
			},
		});
		this.#deps.log.write('start', {callers: listen.callers, dataCentre: this.#settings.dataCentre});
		await untilAborted(stop);
		await this.#drain(callers);
		ending.abort();
		for (const server of [callers, ...others]) {
			closeHttpServer(server);
		}

		await background;
		await this.#parts.usage.flush();
		await this.#parts.pool.destroy();
		this.#deps.log.write('stopped', {});
	}

	get #isReady(): boolean {
		return this.#parts.config.routes !== undefined && this.#parts.follower.hasReadEndpoints && !this.#isStopping;
	}

	/** Addresses are those of the start; limits hold at once. Retries that were made still count, unless their window changes. */
	#reload(settings: ForwardSettings): void {
		const {retries, usage, stopLimitMs} = settings;
		if (retries.windowMs !== this.#settings.retries.windowMs) {
			this.#retries.clear();
		}

		this.#settings = {
			...this.#settings, retries, usage, stopLimitMs,
		};
		this.#deps.log.write('reload', {retries, usage, stopLimitMs});
	}

	async #serve(req: Parameters<typeof handleCaller>[1], res: Parameters<typeof handleCaller>[2]): Promise<void> {
		try {
			await handleCaller(this.#handlerDeps, req, res);
		} catch (error) {
			this.#deps.log.writeError('serving a request', error);
			res.destroy();
		}
	}

	get #handlerDeps(): CallerHandlerDeps {
		const {clock, random, platform} = this.#deps;
		return {
			clock,
			random,
			wire: platform.wire,
			pool: this.#parts.pool,
			load: this.#parts.load,
			crashes: this.#parts.crashes,
			dataCentre: this.#settings.dataCentre,
			retriesOf: service => this.#retriesOf(service),
			routes: () => this.#parts.config.routes,
			isStopping: () => this.#isStopping,
			onRun: admitted => {
				this.#countRun(admitted);
			},
			onAttempt: (admitted, report) => {
				this.#parts.reports.attempt(admitted, report);
			},
			onEnd: end => {
				this.#parts.reports.end(end);
			},
		};
	}

	#countRun({account}: AdmittedRequest): void {
		if (account) {
			this.#parts.usage.count(account.name);
		}
	}

	#retriesOf(service: string): RetryWindow {
		return getOrCreate(this.#retries, service, () =>
			new RetryWindow(this.#deps.clock, {
				windowMs: this.#settings.retries.windowMs, limits: () => this.#settings.retries, entries: () => this.#parts.members.liveCount(),
			}));
	}

	async #runDuties(signal: AbortSignal): Promise<void> {
		const {clock, makeId, platform, log} = this.#deps;
		await runDuties({
			clock,
			makeId,
			holder: this.#settings.hostName,
			usageWindowMs: this.#settings.usage.windowMs,
			platform,
			pool: this.#parts.pool,
			load: this.#parts.load,
			correctedClock: this.#parts.correctedClock,
			usage: this.#parts.usage,
			log,
			metrics: this.#parts.metrics,
			services: () => this.#parts.config.routes?.config.services ?? [],
			onPendingRoleChanges: changes => {
				this.#parts.roleChanges.recordOwn(changes);
			},
		}, signal);
	}

	async #keepAnnounced(signal: AbortSignal): Promise<void> {
		const {platform, wallNowMs: wallMs, log} = this.#deps;
		const {listen, gossipPort, ip} = this.#settings;
		await maintainOwnRow({
			rows: platform.rows,
			members: this.#parts.members,
			correctedClock: this.#parts.correctedClock,
			wallNowMs: wallMs,
			log,
			ownAddresses: {address: ip, gossipPort, peerPort: listen.peers.port},
		}, signal);
	}

	/** Lets running requests end; new ones are served until the load balancer has noticed. */
	async #drain(callers: Server): Promise<void> {
		const {clock} = this.#deps;
		const startMs = clock.nowMs();
		this.#isStopping = true;
		this.#deps.log.write('stop', {running: this.#running});
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
