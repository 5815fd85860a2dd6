/**
 * The process of a forwarding entry: follows the store, serves callers, runs the leased duties when it holds the lease, and
 * stops gracefully.
 */
import {setMaxListeners} from 'node:events';
import type {Server} from 'node:http';
import {getOrCreate, RetryWindow} from '@hawthorncleat/core';
import {AcceptMonitor} from '../callers/accept-monitor.js';
import {CallerChecks} from '../callers/caller-checks.js';
import {CallerConnections} from '../callers/caller-connections.js';
import {handleCallerRequest, type CallerHandlerDeps} from '../callers/caller-handler.js';
import {ConfigServer} from '../store/config-transfer.js';
import type {AdmittedRequest} from '../requests/admitted-request.js';
import {ListeningQueue} from '../callers/listening-queue.js';
import {createStopTimes, type StopTimes} from '../requests/stop-times.js';
import {waitUntilAborted} from '../utils/wait-until-aborted.js';
import {maintainOwnRow} from '../peers/membership.js';
import type {OpenPortOptions} from '../utils/open-port.js';
import {readMetrics} from '../telemetry/read-metrics.js';
import type {ForwardSettings} from '../ports.js';
import {
	closeHttpServer, startCallerServer, startInternalServers, startMetricsServer,
} from '../callers/servers.js';
import {runPeriodicChecks} from './periodic-checks.js';
import {stopGracefully} from './graceful-stop.js';
import {createForwardComponents, type ForwardDaemonDeps, type ForwardComponents} from './forward-components.js';
import {runDuties} from './duties.js';

/** Time for the last write of usage counts when the requests have taken all the time of the stop; a store that is up answers sooner. */
const minFinishMs = 300;

/** Time for calls that endpoints have not answered yet when the last request has ended. */
const maxCloseMs = 300;

class ForwardDaemon {
	#settings: ForwardSettings;
	readonly #deps: ForwardDaemonDeps;
	readonly #components: ForwardComponents;
	readonly #retryWindows = new Map<string, RetryWindow>();
	readonly #connections: CallerConnections;
	readonly #accepts: AcceptMonitor;
	#listeningQueue: ListeningQueue | undefined;
	readonly #callerChecks: CallerChecks;
	readonly #stopLimit = new AbortController();
	readonly #stopTimes: StopTimes;

	constructor(settings: ForwardSettings, deps: ForwardDaemonDeps) {
		this.#settings = settings;
		this.#deps = deps;
		this.#components = createForwardComponents(settings, deps);
		this.#stopTimes = createStopTimes(this.#components.phases, () => this.#settings);
		// Each running request listens.
		setMaxListeners(0, this.#stopLimit.signal);
		this.#connections = new CallerConnections(reason => {
			this.#components.metrics.countClosedConnection(reason);
		}, () => {
			this.#accepts.recordAccept();
		}, this.#components.hostBudget.connections);
		this.#callerChecks = new CallerChecks({
			nowMs: () => deps.clock.nowMs(),
			connections: this.#connections,
			heldBytes: this.#components.heldBytes,
			limits: () => this.#components.config.routes?.config.limits,
			log: deps.log,
		});
		this.#accepts = new AcceptMonitor({nowMs: () => deps.clock.nowMs(), log: deps.log, metrics: this.#components.metrics});
	}

	/** Runs the entry until `stop` aborts. The duties end at once; the other background tasks go on until the requests have ended. */
	async run(stop: AbortSignal): Promise<void> {
		this.#deps.onReload?.(settings => {
			this.#reload(settings);
		});
		const {listen} = this.#settings;
		const backgroundStop = new AbortController();
		const {signal} = backgroundStop;
		const {follower, gossip, usage, supervise} = this.#components;
		const background = Promise.all([
			follower.run(signal),
			gossip.run(signal),
			this.#runDuties(stop),
			supervise('usage-counts', async () => usage.run(signal), signal),
			supervise('member-row', async () => this.#maintainOwnRow(signal), signal),
			supervise('quarantines', async () => this.#restoreQuarantines(signal), signal),
			supervise('checks', async () => this.#runChecks(signal), signal),
		]);
		const ports: OpenPortOptions = {
			signal: stop,
			onFailure: (port, error) => {
				this.#deps.log.writeError(`listening on the port of ${port}`, error);
			},
		};
		// The entry serves without metrics, so it does not wait for this port.
		const metricsServer = startMetricsServer(this.#settings, async () => readMetrics({
			...this.#components, log: this.#deps.log, accepts: this.#accepts, nowMs: this.#deps.clock.nowMs(),
		}), ports);
		const callerServer = await startCallerServer(listen.callers, (req, res) => {
			if (this.#connections.recordRequest(req, res)) {
				void this.#serve(req, res);
			}
		}, {
			...ports,
			idleLimitMs: () => this.#components.config.routes?.config.limits.idleTimeoutMs,
			closeIdle: socket => {
				this.#connections.close(socket, 'idle-limit');
			},
			isServing: socket => this.#connections.isServing(socket),
			closeUnread: socket => {
				this.#connections.close(socket, 'unread-limit');
			},
		});
		this.#connections.track(callerServer);
		this.#listeningQueue = new ListeningQueue(callerServer, this.#accepts);
		const configServer = new ConfigServer(() => this.#components.config.text, bytes => {
			this.#components.metrics.countControlTransfer({purpose: 'peer-config', direction: 'out', bytes});
		});
		const internalServers = await startInternalServers(this.#settings, {
			isReadinessPath: path => this.#deps.platform.wire.isReadinessPath(path),
			isReady: () => this.#components.phases.isReady,
			answerConfig(req, res) {
				void configServer.answer(req, res);
			},
		}, ports);
		const {hostBudget} = this.#components;
		this.#deps.log.write('start', {callers: listen.callers, dataCentre: this.#settings.dataCentre, ...Number.isFinite(hostBudget.connections) && {hostBudget}});
		await waitUntilAborted(stop);
		const {readyAfterStopMs, outOfRotationMs, stopLimitMs} = this.#settings;
		await stopGracefully({
			clock: this.#deps.clock,
			ownName: this.#settings.hostName,
			phases: this.#components.phases,
			server: callerServer,
			connections: this.#connections,
			endRequests: () => {
				this.#stopLimit.abort();
			},
			limits: {readyMs: readyAfterStopMs, outOfRotationMs, stopMs: stopLimitMs},
			log: this.#deps.log,
		});
		backgroundStop.abort();
		this.#connections.closeAll();
		for (const server of [callerServer, ...internalServers, await metricsServer]) {
			closeHttpServer(server);
		}

		await background;
		await this.#components.usage.finish(Math.max(minFinishMs, stopLimitMs - this.#components.phases.stoppingMs));
		await this.#components.pool.close(Math.max(0, Math.min(maxCloseMs, stopLimitMs - this.#components.phases.stoppingMs)));
		this.#deps.log.write('stopped', {closed: this.#connections.counts.closed});
	}

	/**
	 * Applies reloaded limits at once; addresses stay those of the start, and the limit of a stop is the one with which it began. Retries already made
	 * still count unless the length of their window changes.
	 */
	#reload(settings: ForwardSettings): void {
		const {retries, usage} = settings;
		// Answers have begun because their deadline comes before the limit of the stop.
		const {stopLimitMs} = this.#components.phases.isStopping ? this.#settings : settings;
		if (retries.windowMs !== this.#settings.retries.windowMs) {
			this.#retryWindows.clear();
		}

		this.#settings = {
			...this.#settings, retries, usage, stopLimitMs,
		};
		this.#deps.log.write('reload', {retries, usage, stopLimitMs});
	}

	async #serve(req: Parameters<typeof handleCallerRequest>[1], res: Parameters<typeof handleCallerRequest>[2]): Promise<void> {
		try {
			await handleCallerRequest(this.#handlerDeps, req, res);
		} catch (error) {
			// The answer itself could not be written.
			this.#deps.log.writeError('answering a request', error);
			res.destroy();
		}
	}

	get #handlerDeps(): CallerHandlerDeps {
		const {clock, random, platform} = this.#deps;
		return {
			clock,
			random,
			wire: platform.wire,
			answerListener: this.#components.answerListener,
			pool: this.#components.pool,
			load: this.#components.load,
			streams: this.#components.streams,
			crashes: this.#components.crashes,
			dataCentre: this.#settings.dataCentre,
			stop: this.#stopTimes,
			retryWindowOf: service => this.#retryWindowOf(service),
			onRequest: service => {
				this.#components.rateShares.recordRequest(service);
			},
			heldBytes: this.#components.heldBytes,
			requestSlots: this.#components.requestSlots,
			routes: () => this.#components.config.routes,
			accountLimits: this.#components.accountLimits,
			stopLimit: this.#stopLimit.signal,
			isStopping: () => this.#components.phases.unreadyMs !== undefined,
			isAfterClose: res => this.#connections.isAfterClose(res),
			hasLaterRequest: res => this.#connections.hasLaterRequest(res),
			onRun: admitted => {
				this.#countUsage(admitted);
			},
			onAttempt: (admitted, report) => {
				this.#components.reports.recordAttempt(admitted, report);
			},
			onStall: (admitted, stall) => {
				this.#components.reports.recordStall(admitted, stall);
			},
			onLeft: () => {
				this.#accepts.recordLeft();
			},
			onEnd: end => {
				this.#components.reports.recordEnd(end);
			},
			onError: error => {
				this.#deps.log.writeError('serving a request', error);
			},
		};
	}

	#countUsage({account}: AdmittedRequest): void {
		if (account) {
			this.#components.usage.count(account.name);
		}
	}

	#retryWindowOf(service: string): RetryWindow {
		return getOrCreate(this.#retryWindows, service, () =>
			new RetryWindow(this.#deps.clock, {
				windowMs: this.#settings.retries.windowMs, limits: () => this.#settings.retries, entries: () => this.#components.members.sharingCount(),
			}));
	}

	async #runDuties(signal: AbortSignal): Promise<void> {
		const {clock, makeId, random, log} = this.#deps;
		await runDuties({
			clock,
			makeId,
			random,
			liveEntries: () => this.#components.members.liveCount(),
			holder: this.#settings.hostName,
			usageWindowMs: this.#settings.usage.windowMs,
			platform: this.#components.platform,
			answerListener: this.#components.answerListener,
			pool: this.#components.pool,
			load: this.#components.load,
			correctedClock: this.#components.correctedClock,
			usage: this.#components.usage,
			log,
			supervise: this.#components.supervise,
			metrics: this.#components.metrics,
			services: () => this.#components.config.routes?.config.services ?? [],
			onPendingRoleChanges: changes => {
				this.#components.roleChanges.recordOwn(changes);
			},
		}, signal);
	}

	async #runChecks(signal: AbortSignal): Promise<void> {
		const {
			config, pool, directory, phases, members, softwareVersions, streamRows,
		} = this.#components;
		await runPeriodicChecks({
			clock: this.#deps.clock,
			pool,
			directory,
			isReady: () => phases.isReady,
			liveEntries: () => members.liveCount(),
			onCheck: () => {
				this.#accepts.check();
				this.#listeningQueue?.adjust();
				this.#callerChecks.run();
				config.fetchIfDue();
				softwareVersions.update();
				void streamRows.saveIfDue();
			},
			log: this.#deps.log,
		}, signal);
	}

	async #restoreQuarantines(signal: AbortSignal): Promise<void> {
		const {quarantineRows, crashes} = this.#components;
		await quarantineRows.restore(quarantines => {
			crashes.restoreQuarantines(quarantines);
		}, signal);
	}

	async #maintainOwnRow(signal: AbortSignal): Promise<void> {
		const {clock, wallNowMs, log} = this.#deps;
		const {listen, gossipPort, ip, dataCentre} = this.#settings;
		await maintainOwnRow({
			clock,
			rows: this.#components.platform.rows,
			members: this.#components.members,
			correctedClock: this.#components.correctedClock,
			wallNowMs,
			log,
			ownAddresses: {
				address: ip, gossipPort, peerPort: listen.peers.port, dataCentre,
			},
		}, signal);
	}
}

/** Runs a forwarding entry until `stop` aborts and its requests have ended or the stop limit has passed. */
export const runForwardDaemon = async (settings: ForwardSettings, deps: ForwardDaemonDeps, stop: AbortSignal): Promise<void> => {
	await new ForwardDaemon(settings, deps).run(stop);
};
