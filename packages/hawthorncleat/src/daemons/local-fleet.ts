/**
 * The parts of `dev` in one process: the stand-in platform, two engines and a plain service with their agents, and one
 * entry, all on loopback.
 */
import type {AgentSettings, EntrySettings, HostRecord} from '@hawthorncleat/schema';
import {request} from 'undici';
import type {Starters} from '../context.js';
import {examplePlace, exampleServices} from '../examples/example-config.js';
import {createCommandError, exitCodes} from '../exit-codes.js';
import {findFreePort, loopback} from './ports.js';
import type {DaemonDeps, LogSettings, RunningDaemon} from './start.js';

/** What the fleet is started with. */
export type LocalOptions = LogSettings & {readonly callerPort: number; readonly adminToken: string};

/** The running fleet and where to reach its entry. */
export type LocalFleet = {readonly daemon: RunningDaemon; readonly callerUrl: string; readonly adminUrl: string};

type Parts = {
	readonly start: Starters;
	readonly deps: DaemonDeps;
	readonly options: LocalOptions;
	readonly platformUrl: string;
	readonly signal: AbortSignal;
};

type EndpointPlan = {
	readonly endpoint: string;
	readonly kind: AgentSettings['endpointKind'];
	readonly serves: string;
};

const endpointPlans: readonly EndpointPlan[] = [
	{endpoint: 'engine-1', kind: 'engine', serves: exampleServices.model},
	{endpoint: 'engine-2', kind: 'engine', serves: exampleServices.model},
	{endpoint: 'order-desk-1', kind: 'service', serves: exampleServices.plain},
];

const putHost = async (platformUrl: string, host: HostRecord): Promise<void> => {
	const {statusCode, body} = await request(new URL(`/hosts/${host.hostId}`, platformUrl), {
		method: 'PUT', headers: {'content-type': 'application/json'}, body: JSON.stringify(host),
	});
	const text = await body.text();
	if (statusCode >= 300) {
		throw createCommandError(`the stand-in platform refused host ${host.hostId}: ${statusCode} ${text}`, exitCodes.failed);
	}
};

const startEndpoint = async ({start, signal}: Parts, {kind, endpoint}: EndpointPlan): Promise<string> => {
	const startStandIn = kind === 'engine' ? start.standIns.startEngine : start.standIns.startPlainService;
	const {url} = await startStandIn({port: 0, name: endpoint}, signal);
	return url;
};

const startAgentOf = async (parts: Parts, plan: EndpointPlan): Promise<RunningDaemon> => {
	const {endpoint, kind, serves} = plan;
	const {logFormat, logLevel} = parts.options;
	const endpointUrl = await startEndpoint(parts, plan);
	const internalPort = await findFreePort();
	const settings: AgentSettings = {
		agentId: `agent-${endpoint}`,
		dataCentre: examplePlace.dataCentre,
		platformUrl: parts.platformUrl,
		address: loopback,
		internalPort,
		adminPort: 0,
		// Several agents share this host, so the exclusion by port is off.
		slotPort: 0,
		endpoint,
		endpointUrl,
		kvUrl: '',
		endpointKind: kind,
		serves,
		maxRunning: 64,
		maxWaitingTokens: 65_536,
		logFormat,
		logLevel,
		drainLimitMs: 0,
		traceFile: '',
	};
	const agent = await parts.start.agent(settings, parts.deps, parts.signal);
	await putHost(parts.platformUrl, {
		hostId: `host-${endpoint}`,
		dataCentre: examplePlace.dataCentre,
		kind: 'endpoint',
		address: loopback,
		port: internalPort,
		endpoint,
		serves,
		state: 'live',
	});
	return agent;
};

const createEntrySettings = async ({options, platformUrl}: Parts): Promise<EntrySettings> => ({
	entryId: 'entry-1',
	dataCentre: examplePlace.dataCentre,
	region: examplePlace.region,
	platformUrl,
	address: loopback,
	callerPort: await findFreePort(options.callerPort),
	internalPort: await findFreePort(),
	adminPort: await findFreePort(),
	adminToken: options.adminToken,
	logFormat: options.logFormat,
	logLevel: options.logLevel,
	maxBodyBytes: 524_288,
	headPollMs: 500,
	hostPollMs: 500,
	usageFlushMs: 5000,
	usageWindowMs: 60_000,
	witnessSettleMs: 60_000,
	drainLimitMs: 0,
	traceFile: '',
});

const startEntryOf = async (parts: Parts, settings: EntrySettings): Promise<RunningDaemon> => {
	await putHost(parts.platformUrl, {
		hostId: settings.entryId,
		dataCentre: settings.dataCentre,
		kind: 'entry',
		address: loopback,
		port: settings.internalPort,
		state: 'live',
	});
	return parts.start.entry(settings, parts.deps, parts.signal);
};

/**
 * The entry drains first, since its running requests need the agents. The agents also drain when the entry has closed
 * after a drain through its admin API. They close only when the signal aborts, which follows, so that is not awaited.
 */
const combineDaemons = (entry: RunningDaemon, agents: readonly RunningDaemon[]): RunningDaemon => {
	const drainAgents = async (): Promise<void> => {
		await Promise.all(agents.map(async agent => agent.drain()));
	};

	const closeAll = async (): Promise<void> => {
		await entry.closed;
		await drainAgents();
	};

	return {
		closed: closeAll(),
		async drain() {
			await entry.drain();
			await drainAgents();
		},
	};
};

/** Starts the fleet. */
export const startLocalFleet = async (
	start: Starters,
	deps: DaemonDeps,
	options: LocalOptions,
	signal: AbortSignal,
): Promise<LocalFleet> => {
	const {url: platformUrl} = await start.standIns.startPlatform({port: 0}, signal);
	const parts: Parts = {
		start, deps, options, platformUrl, signal,
	};
	const agents: RunningDaemon[] = [];
	for (const plan of endpointPlans) {
		agents.push(await startAgentOf(parts, plan));
	}

	const settings = await createEntrySettings(parts);
	const entry = await startEntryOf(parts, settings);
	return {
		daemon: combineDaemons(entry, agents),
		callerUrl: `http://${loopback}:${settings.callerPort}`,
		adminUrl: `http://${loopback}:${settings.adminPort}`,
	};
};
