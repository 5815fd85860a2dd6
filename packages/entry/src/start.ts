/**
 * Starts an entry and releases everything that it holds when its signal aborts.
 */
import {once} from 'node:events';
import type {EntrySettings} from '@hawthorncleat/schema';
import {startAdminServer} from '@hawthorncleat/telemetry';
import {listen} from '@hawthorncleat/wire';
import {createAdminRoutes} from './admin-routes.js';
import {listenForCallers, type CallerListener} from './caller-listener.js';
import {createCallerServer} from './caller-server.js';
import type {EntryDeps} from './deps.js';
import {createEntryParts, type EntryParts} from './entry-parts.js';
import {createInternalHandlers} from './internal-handlers.js';

/** A running entry. */
export type Entry = {
	readonly callerPort: number;
	readonly internalPort: number;
	readonly adminPort: number;
	/** Settles after `signal` aborted and everything was released. */
	readonly closed: Promise<void>;
	/** Refuses new requests; settles when the running ones have ended, their usage is written and no caller connects any more. */
	drain(): Promise<void>;
};

const listenInternally = async (parts: EntryParts, signal: AbortSignal) => listen({
	address: parts.settings.address,
	port: parts.settings.internalPort,
	clock: parts.deps.clock,
	heartbeat: parts.heartbeat,
	handlers: createInternalHandlers(parts.deps.peerServices ?? {}, parts.helloResult, parts.learn),
	onHeartbeat(heartbeat) {
		parts.deps.peerServices?.onPeerVersion?.(heartbeat.configVersion);
	},
}, signal);

const startCallerListener = async (parts: EntryParts, signal: AbortSignal): Promise<CallerListener> => listenForCallers({
	server: createCallerServer(parts.context, parts.deps.makeId),
	address: parts.settings.address,
	port: parts.settings.callerPort,
	clock: parts.deps.clock,
	connections: parts.context.connections,
}, signal);

const startAdmin = async (parts: EntryParts, drain: () => void, signal: AbortSignal) => startAdminServer({
	address: parts.settings.address,
	port: parts.settings.adminPort,
	registry: parts.context.metrics.registry,
	readiness: parts.readiness,
	addRoutes: createAdminRoutes({
		adminToken: parts.settings.adminToken,
		config: parts.deps.config,
		publisher: parts.deps.publisher,
		status: parts.status,
		startDrain: drain,
	}),
}, signal);

const startTimers = (parts: EntryParts, signal: AbortSignal): void => {
	const hostTimer = setInterval(parts.followHosts, parts.settings.hostPollMs);
	const usageTimer = setInterval(() => {
		void parts.context.usage.flush();
	}, parts.settings.usageFlushMs);
	signal.addEventListener('abort', () => {
		clearInterval(hostTimer);
		clearInterval(usageTimer);
	}, {once: true});
};

/** Starts the leased duties. They stop first in a drain, while the table can still be told that their leases are free. */
const startDuties = (parts: EntryParts, signal: AbortSignal): {readonly closed: Promise<void>; stop(): Promise<void>} => {
	const controller = new AbortController();
	const {pool, demand, metrics} = parts.context;
	const sources = {registry: metrics.registry, demand, endpoints: () => pool.endpoints};
	const closed = Promise.resolve(parts.deps.runDuties?.(sources, AbortSignal.any([signal, controller.signal])));
	return {
		closed,
		async stop() {
			controller.abort();
			await closed;
		},
	};
};

const startParts = async (parts: EntryParts, stop: () => void, signal: AbortSignal): Promise<Entry> => {
	const internal = await listenInternally(parts, signal);
	parts.setInternalPort(internal.port);
	parts.followHosts();
	startTimers(parts, signal);
	const callers = await startCallerListener(parts, signal);
	const duties = startDuties(parts, signal);
	let draining: Promise<void> | undefined;
	const drain = async (): Promise<void> => {
		draining ??= Promise.all([duties.stop(), parts.drain()]).then(async () => callers.stopListening());
		return draining;
	};

	// A drain that an operator asked for ends the entry; after a stop signal its owner does.
	const admin = await startAdmin(parts, () => {
		void drain().then(stop);
	}, signal);
	const released = once(signal, 'abort').then(async () => parts.close());
	const closed = Promise.all([internal.closed, callers.closed, admin.closed, duties.closed, released]).then(() => {/* All released. */});
	return {
		callerPort: callers.port, internalPort: internal.port, adminPort: admin.port, drain, closed,
	};
};

/** Starts an entry. A failed start releases what had been started. */
export const startEntry = async (settings: EntrySettings, deps: EntryDeps, signal: AbortSignal): Promise<Entry> => {
	signal.throwIfAborted();
	const own = new AbortController();
	const stop = (): void => {
		own.abort();
	};

	const parts = createEntryParts(settings, deps);
	try {
		return await startParts(parts, stop, AbortSignal.any([signal, own.signal]));
	} catch (error) {
		stop();
		await parts.close();
		throw error;
	}
};
