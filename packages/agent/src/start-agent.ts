/**
 * Starts the agent of one endpoint: listens for entries, guards its endpoint and reports its load. The agent is the
 * only sender to its endpoint.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Clock, MakeId, Random} from '@hawthorncleat/core';
import type {Table} from '@hawthorncleat/store';
import type {AgentSettings} from '@hawthorncleat/schema';
import {
	createJsonLineExporter, createTracer, startAdminServer, type Log, type Readiness, type Tracing,
} from '@hawthorncleat/telemetry';
import {listen, type Listener, type Peer} from '@hawthorncleat/wire';
import {CrashMarks} from './crash-marks.js';
import type {Endpoint} from './endpoint.js';
import {createEngineClient} from './engine-client.js';
import {createEngineEndpoint} from './engine-endpoint.js';
import {createHandlers} from './handlers.js';
import {LoadReporter} from './load-reporter.js';
import {addGauges, createMetrics, type AgentMetrics} from './metrics.js';
import {Pauses} from './pauses.js';
import {createServiceEndpoint} from './service-endpoint.js';
import {holdSlot} from './slot.js';

// Also waited once after the last work ended, because the answer to a call goes out shortly after its end.
const drainPollMs = 50;

export type AgentDependencies = {
	readonly clock: Clock;
	readonly random: Random;
	readonly makeId: MakeId;
	readonly log: Log;
	/** Needed for a model engine. */
	readonly table?: Table;
};

/** A running agent. */
export type Agent = {
	readonly internalPort: number;
	readonly adminPort: number;
	/** Settles after the signal aborted and everything was released. */
	readonly closed: Promise<void>;
	/** Takes no new work and settles when the accepted work has ended. */
	drain(): Promise<void>;
};

type Context = {
	readonly settings: AgentSettings;
	readonly dependencies: AgentDependencies;
	readonly incarnation: string;
	readonly tracing: Tracing;
	readonly metrics: AgentMetrics;
	readonly signal: AbortSignal;
	readonly peers: Set<Peer>;
};

const createEndpoint = (context: Context, onReportDue: () => void, checkPause: () => void): Endpoint => {
	const {settings, dependencies, tracing, metrics, signal, peers, incarnation} = context;
	const onCrash = (fingerprints: string[]): void => {
		for (const peer of peers) {
			peer.notify('crash.suspect', {fingerprints});
		}
	};

	const {endpointUrl, maxRunning, maxWaitingTokens, endpoint} = settings;
	if (settings.endpointKind === 'service') {
		return createServiceEndpoint({
			baseUrl: endpointUrl, maxRunning, tracing, metrics, signal, onCrash,
		});
	}

	const {table, clock, log, makeId} = dependencies;
	if (!table) {
		throw new TypeError('the agent of a model engine needs the table');
	}

	return createEngineEndpoint({
		endpoint,
		incarnation,
		kvUrl: settings.kvUrl || endpointUrl,
		limits: {maxRunning, maxWaitingTokens},
		engine: createEngineClient(endpointUrl, maxRunning, clock),
		table,
		clock,
		log,
		makeId,
		tracing,
		metrics,
		marks: new CrashMarks(clock),
		signal,
		onCrash,
		onReportDue,
		checkPause,
	});
};

/** The state that decides whether the agent takes work. */
class Availability {
	isLeaving = false;
	isSlotHeld = false;

	constructor(private readonly endpoint: () => Endpoint) {}

	read(): Readiness {
		const reasons = [
			...(this.isLeaving ? ['draining'] : []),
			...(this.isSlotHeld ? this.endpoint().problems() : ['slot-taken']),
		];
		return {ready: reasons.length === 0, reasons};
	}
}

const openEndpoint = async (context: Context, endpoint: Endpoint, availability: Availability): Promise<void> => {
	const {settings, dependencies, signal} = context;
	await holdSlot(settings.slotPort, signal, () => {
		dependencies.log.warn('another agent holds the slot port; waiting', {slotPort: settings.slotPort});
	});
	if (!signal.aborted) {
		availability.isSlotHeld = true;
		endpoint.open();
	}
};

const waitUntilDelivered = async ({peers, signal}: Context, endpoint: Endpoint): Promise<void> => {
	await endpoint.whenIdle();
	do {
		await delay(drainPollMs, undefined, {signal}).catch(() => undefined);
	} while (!signal.aborted && !(endpoint.isDelivered() && [...peers].every(peer => peer.bufferedBytes === 0)));
};

const withLimit = async (work: Promise<void>, limitMs: number): Promise<void> => {
	if (limitMs === 0) {
		return work;
	}

	const timer = new AbortController();
	const limit = delay(limitMs, undefined, {signal: timer.signal}).catch(() => undefined);
	await Promise.race([work, limit]);
	timer.abort();
};

const createContext = (settings: AgentSettings, dependencies: AgentDependencies, signal: AbortSignal): Context => ({
	settings,
	dependencies,
	incarnation: dependencies.makeId(),
	tracing: createTracer('hawthorncleat-agent', settings.traceFile === '' ? undefined : createJsonLineExporter(settings.traceFile)),
	metrics: createMetrics(),
	signal,
	peers: new Set(),
});

type ListeningParts = {readonly availability: Availability; readonly reporter: LoadReporter; readonly pauses: Pauses};

const listenForEntries = async (
	context: Context,
	endpoint: Endpoint,
	{availability, reporter, pauses}: ListeningParts,
): Promise<Listener> => {
	const {settings, dependencies, incarnation, metrics, peers, signal} = context;
	const handlers = createHandlers({
		endpoint,
		metrics,
		incarnation,
		readiness: () => availability.read(),
		isStale: peer => pauses.isStale(peer),
		identity: {
			id: settings.agentId === '' ? `agent-${settings.endpoint}` : settings.agentId,
			role: 'agent',
			incarnation,
			dataCentre: settings.dataCentre,
			endpoint: settings.endpoint,
			configVersion: 0,
		},
		onHello(peer) {
			reporter.reportTo(peer);
		},
	});
	return listen({
		address: settings.address,
		port: settings.internalPort,
		clock: dependencies.clock,
		handlers,
		heartbeat: () => ({configVersion: 0, leaving: availability.isLeaving}),
		onPeer(peer) {
			// A connection that is accepted after a pause is a new one.
			pauses.check();
			peers.add(peer);
			void peer.closed.then(() => {
				peers.delete(peer);
				endpoint.detach(peer);
			});
		},
	}, signal);
};

const waitForAbort = async (signal: AbortSignal): Promise<void> => {
	if (!signal.aborted) {
		await new Promise<void>(resolve => {
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}
};

/** Starts an agent, which runs until `signal` aborts. */
export const startAgent = async (
	settings: AgentSettings,
	dependencies: AgentDependencies,
	signal: AbortSignal,
): Promise<Agent> => {
	// A failed start has to release what was already opened.
	const own = new AbortController();
	const context = createContext(settings, dependencies, AbortSignal.any([signal, own.signal]));
	const endpoint: Endpoint = createEndpoint(context, () => {
		reporter.reportAll();
	}, () => {
		pauses.check();
	});
	const pauses: Pauses = new Pauses({
		clock: dependencies.clock, log: dependencies.log, peers: context.peers, dropWaiting() {
			endpoint.dropWaiting();
		},
	});
	const availability = new Availability(() => endpoint);
	const reporter: LoadReporter = new LoadReporter(prefixBytes => ({
		...endpoint.load(prefixBytes), leaving: availability.isLeaving,
	}), () => context.peers);
	const release = async (): Promise<void> => {
		reporter.close();
		pauses.close();
		await endpoint.close();
		await context.tracing.shutdown();
	};

	addAgentGauges(context, endpoint, availability);
	try {
		const listener = await listenForEntries(context, endpoint, {availability, reporter, pauses});
		const admin = await startAdminServer({
			address: settings.address,
			port: settings.adminPort,
			registry: context.metrics.registry,
			readiness: () => availability.read(),
		}, context.signal);
		void openEndpoint(context, endpoint, availability);
		return {
			internalPort: listener.port,
			adminPort: admin.port,
			async drain() {
				if (!availability.isLeaving) {
					availability.isLeaving = true;
					dependencies.log.info('draining');
					reporter.reportAll();
				}

				await withLimit(waitUntilDelivered(context, endpoint), settings.drainLimitMs);
			},
			closed: waitForAbort(context.signal).then(async () => {
				await Promise.all([release(), listener.closed, admin.closed]);
			}),
		};
	} catch (error) {
		own.abort();
		await release();
		throw error;
	}
};

const addAgentGauges = ({metrics, peers}: Context, endpoint: Endpoint, availability: Availability): void => {
	addGauges(metrics, {
		running: () => endpoint.load(0).running,
		waiting: () => endpoint.load(0).waiting,
		waitingTokens: () => endpoint.load(0).waitingTokens,
		connections: () => peers.size,
		ready: () => availability.read().ready,
	});
};
