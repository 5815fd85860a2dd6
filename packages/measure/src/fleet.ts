/**
 * A fleet of real processes on loopback: the stand-ins in one process, an agent of an engine, an agent of a plain
 * service, and one entry, each daemon with a counting relay in front of the platform.
 */
import {setMaxListeners} from 'node:events';
import type {Change, HostRecord} from '@hawthorncleat/schema';
import {findFreePort, loopback} from '@hawthorncleat/test-kit';
import {request} from 'undici';
import {
	daemonScript, measureScript, readFirstLine, retryUntil, startNode,
} from './child-process.js';
import {createCompletionBody} from './caller.js';
import {openCountingRelay, type CountingRelay} from './counting-relay.js';
import {baseObjects, callerKey, measuredPlace} from './example-fleet-config.js';

/** The token of the entry's admin API. */
export const adminToken = 'measure-token';

/** How the stand-in engine behaves. */
export type EngineShape = {readonly stepMs: number; readonly maxRunning: number};

/** A daemon with its process id, its internal port and its way to the platform. */
export type MeasuredDaemon = {readonly pid: number; readonly port: number; readonly relay: CountingRelay};

export type Fleet = {
	readonly callerUrl: string;
	readonly adminUrl: string;
	readonly engineUrl: string;
	readonly entry: MeasuredDaemon;
	readonly agent: MeasuredDaemon;
	readonly serviceAgent: MeasuredDaemon;
	putHost(host: HostRecord): Promise<void>;
	removeHost(hostId: string): Promise<void>;
	/** Publishes through the admin API; gives the time that the answer took in milliseconds. */
	apply(change: Change): Promise<number>;
};

type StandInUrls = {readonly platformUrl: string; readonly engineUrl: string; readonly serviceUrl: string};

const send = async (method: 'PUT' | 'POST' | 'DELETE', url: string, body?: unknown): Promise<void> => {
	const answer = await request(url, {
		method,
		headers: {'content-type': 'application/json', authorization: `Bearer ${adminToken}`},
		...body !== undefined && {body: JSON.stringify(body)},
	});
	const text = await answer.body.text();
	if (answer.statusCode !== 200) {
		throw new Error(`${method} ${url} was answered ${answer.statusCode}: ${text.slice(0, 300)}`);
	}
};

const toFlags = (settings: Readonly<Record<string, string | number>>): string[] =>
	Object.entries(settings).flatMap(([flag, value]) => [`--${flag}`, String(value)]);

type AgentShape = {readonly endpoint: string; readonly endpointUrl: string; readonly kind: 'engine' | 'service'; readonly serves: string};

const startAgent = async (platformUrl: string, shape: AgentShape, signal: AbortSignal): Promise<MeasuredDaemon> => {
	const relay = await openCountingRelay(platformUrl, signal);
	const port = await findFreePort();
	const {pid} = startNode([daemonScript, 'agent', ...toFlags({
		'agent-id': `agent-${shape.endpoint}`,
		'data-centre': measuredPlace.dataCentre,
		'platform-url': relay.url,
		address: loopback,
		'internal-port': port,
		'admin-port': 0,
		'slot-port': 0,
		endpoint: shape.endpoint,
		'endpoint-url': shape.endpointUrl,
		'endpoint-kind': shape.kind,
		serves: shape.serves,
		'max-running': 2000,
		'max-waiting-tokens': 1_000_000,
		'log-level': 'error',
	})], signal);
	return {pid, port, relay};
};

type EntryPorts = {readonly callerPort: number; readonly adminPort: number};

const startEntry = async (platformUrl: string, ports: EntryPorts, signal: AbortSignal): Promise<MeasuredDaemon> => {
	const relay = await openCountingRelay(platformUrl, signal);
	const port = await findFreePort();
	const {pid} = startNode([daemonScript, 'entry', ...toFlags({
		'entry-id': 'entry-1',
		'data-centre': measuredPlace.dataCentre,
		region: measuredPlace.region,
		'platform-url': relay.url,
		address: loopback,
		'caller-port': ports.callerPort,
		'internal-port': port,
		'admin-port': ports.adminPort,
		'admin-token': adminToken,
		'log-level': 'error',
	})], signal);
	return {pid, port, relay};
};

const startStandIns = async ({stepMs, maxRunning}: EngineShape, signal: AbortSignal): Promise<StandInUrls> => {
	const standIns = startNode([measureScript, 'stand-ins', '--step-ms', String(stepMs), '--max-running', String(maxRunning)], signal);
	return JSON.parse(await readFirstLine(standIns)) as StandInUrls;
};

const createHost = (hostId: string, port: number, serves?: string): HostRecord => ({
	hostId,
	dataCentre: measuredPlace.dataCentre,
	kind: serves === undefined ? 'entry' : 'endpoint',
	address: loopback,
	port,
	...serves !== undefined && {endpoint: hostId, serves},
	state: 'live',
});

const waitForRequest = async (callerUrl: string): Promise<void> => retryUntil(async () => {
	const answer = await request(`${callerUrl}/v1/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${callerKey}`, 'content-type': 'application/json'},
		body: JSON.stringify(createCompletionBody('ready', 1, false)),
	});
	const text = await answer.body.text();
	if (answer.statusCode !== 200) {
		throw new Error(`the first request was answered ${answer.statusCode}: ${text}`);
	}
});

/** Starts the fleet, publishes its configuration, and waits until a request succeeds. */
export const startFleet = async (shape: EngineShape, signal: AbortSignal): Promise<Fleet> => {
	const {platformUrl, engineUrl, serviceUrl} = await startStandIns(shape, signal);
	const agent = await startAgent(platformUrl, {
		endpoint: 'engine-1', endpointUrl: engineUrl, kind: 'engine', serves: 'model-service',
	}, signal);
	const serviceAgent = await startAgent(platformUrl, {
		endpoint: 'desk-1', endpointUrl: serviceUrl, kind: 'service', serves: 'order-desk',
	}, signal);
	const ports = {callerPort: await findFreePort(), adminPort: await findFreePort()};
	const callerUrl = `http://${loopback}:${ports.callerPort}`;
	const adminUrl = `http://${loopback}:${ports.adminPort}`;
	const putHost = async (host: HostRecord): Promise<void> => send('PUT', `${platformUrl}/hosts/${host.hostId}`, host);
	const apply = async (change: Change): Promise<number> => {
		const startedAt = performance.now();
		await send('POST', `${adminUrl}/admin/config/apply`, change);
		return performance.now() - startedAt;
	};

	await putHost(createHost('engine-1', agent.port, 'model-service'));
	await putHost(createHost('desk-1', serviceAgent.port, 'order-desk'));
	const entry = await startEntry(platformUrl, ports, signal);
	await putHost(createHost('entry-1', entry.port));
	await retryUntil(async () => {
		await apply({put: baseObjects()});
	});
	await waitForRequest(callerUrl);
	return {
		callerUrl,
		adminUrl,
		engineUrl,
		entry,
		agent,
		serviceAgent,
		putHost,
		removeHost: async hostId => send('DELETE', `${platformUrl}/hosts/${hostId}`),
		apply,
	};
};

/** Runs work with a fleet that is stopped afterwards. */
export const withFleet = async <Result>(shape: EngineShape, work: (fleet: Fleet, signal: AbortSignal) => Promise<Result>): Promise<Result> => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	try {
		return await work(await startFleet(shape, controller.signal), controller.signal);
	} finally {
		controller.abort();
	}
};
