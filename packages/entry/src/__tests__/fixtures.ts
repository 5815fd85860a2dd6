/**
 * A running entry with a configuration, claims and agents that each test controls.
 */
import {createHash, randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {
	brandAs, type ClaimId, type ConfigVersion, type ConfigView, type EngineRates, type KeyHash, type ResolvedRoute,
} from '@hawthorncleat/core';
import type {
	ClientAccount, EntrySettings, HostRecord, Key, RequestStartParams, Route, ServiceCallParams,
} from '@hawthorncleat/schema';
import {waitUntil} from '@hawthorncleat/test-kit';
import {listen, type Handlers, type Peer} from '@hawthorncleat/wire';
import {
	startEntry, type ClaimResult, type Entry, type EntryDeps,
} from '../index.js';

export const goodKey = 'key-of-haugland';
export const withdrawnKey = 'key-that-was-withdrawn';
export const adminToken = 'admin-token-of-tests';
const clock = {nowMs: () => performance.now()};
const hash = (key: string): string => createHash('sha256').update(key).digest('hex');

const createRoute = (route: Partial<Route> & {name: string; service: string}, isModel = false): ResolvedRoute => ({
	route: {
		kind: 'route', access: 'key', action: false, priority: 0, firstTokenMs: 420, timeoutMs: 3000, ...route,
	},
	service: {kind: 'service', name: route.service, places: ['dc-1']},
	...(isModel
		? {
			modelVersion: {
				kind: 'model-version', name: 'planner-v1', model: 'planner', version: '1',
			},
		}
		: {}),
	places: [],
	...(route.accounts ? {accounts: new Set(route.accounts)} : {}),
});

const modelRoute = createRoute({name: 'planner', service: 'planner-engines'}, true);
const serviceRoutes = [
	createRoute({
		name: 'orders', service: 'desk', path: '/orders', action: true,
	}),
	createRoute({
		name: 'stock', service: 'desk', path: '/stock', headers: ['x-warehouse', 'X-Api-Key'],
	}),
	createRoute({
		name: 'other', service: 'desk', path: '/other', accounts: ['mavuno'],
	}),
	createRoute({
		name: 'open', service: 'desk', path: '/open', access: 'open',
	}),
];

/** What a test may change while the entry runs. */
export type World = {
	entry: Entry;
	account: ClientAccount;
	keys: Map<string, Key['state']>;
	/** Accounts of keys that do not belong to `account`. */
	otherAccounts: Map<string, ClientAccount>;
	engineRates: EngineRates | undefined;
	isFresh: boolean;
	claim: ClaimResult;
	/** What happened at the claims and at the usage store, in order. */
	events: string[];
	hosts: HostRecord[];
	signal: AbortSignal;
};

const createView = (world: World): ConfigView => ({
	version: brandAs<ConfigVersion>(1),
	snapshot: {version: 1, objects: []},
	findKey(keyHash: KeyHash) {
		const found = [...world.keys].find(([key]) => hash(key) === keyHash);
		const key = found && {
			kind: 'key', name: 'k', account: 'haugland', hash: keyHash, state: found[1],
		} as const;
		return key && {key, account: world.otherAccounts.get(found[0]) ?? world.account};
	},
	findModelRoute: name => name === 'planner' ? modelRoute : undefined,
	findServiceRoute: (_method, path) => serviceRoutes.find(({route}) => path.startsWith(route.path!)),
	listModelRoutes: () => [{
		...modelRoute,
		...(modelRoute.modelVersion && {modelVersion: {...modelRoute.modelVersion, ...(world.engineRates && {engineRates: world.engineRates})}}),
	}],
});

const settings: EntrySettings = {
	entryId: 'entry-1',
	dataCentre: 'dc-1',
	region: 'region-1',
	platformUrl: 'http://127.0.0.1:1',
	address: '127.0.0.1',
	callerPort: 0,
	internalPort: 0,
	adminPort: 0,
	adminToken,
	logFormat: 'json',
	logLevel: 'info',
	maxBodyBytes: 65_536,
	headPollMs: 1000,
	hostPollMs: 20,
	usageFlushMs: 60_000,
	usageWindowMs: 60_000,
	witnessSettleMs: 60_000,
	drainLimitMs: 0,
	traceFile: '',
};

/** The settings of the tests with some of them changed. */
export const createSettings = (changes: Partial<EntrySettings>): EntrySettings => ({...settings, ...changes});

const createDeps = (world: World, changes: Partial<EntryDeps>): EntryDeps => ({
	clock,
	wallClock: {nowMs: () => Date.now()},
	random: () => 0.5,
	makeId: randomUUID,
	config: {current: () => createView(world)},
	hosts: {current: () => world.hosts},
	claims: {
		async claim() {
			world.events.push('claim');
			return world.claim;
		},
		async complete(_claimId, answer) {
			world.events.push(`complete ${answer.status}`);
		},
		async release() {
			world.events.push('release');
		},
	},
	freshness: {mayServe: () => world.isFresh},
	publisher: {
		validate: () => [],
		apply: async () => ({kind: 'conflict', conflicts: ['route planner'], version: 7}),
	},
	usageStore: {
		async write(_key, value) {
			world.events.push(JSON.stringify((value as {figures: unknown}).figures));
		},
	},
	timings: {
		progressLimitMs: 300, resumeWaitMs: 400, firstReconnectMs: 10, maxReconnectMs: 50, bodyTimeoutMs: 300,
	},
	...changes,
});

/** Runs a test with an entry and stops everything afterwards. */
export const withEntry = async (
	body: (world: World) => Promise<void>,
	changes: Partial<EntryDeps> = {},
	settingChanges: Partial<EntrySettings> = {},
): Promise<void> => {
	const controller = new AbortController();
	const world = {
		account: {kind: 'client-account', name: 'haugland'},
		keys: new Map([[goodKey, 'active'], [withdrawnKey, 'withdrawn']]),
		otherAccounts: new Map(),
		isFresh: true,
		claim: {kind: 'granted', claimId: brandAs<ClaimId>('claim-1')},
		events: [],
		hosts: [],
		signal: controller.signal,
	} as unknown as World;
	world.entry = await startEntry(createSettings(settingChanges), createDeps(world, changes), controller.signal);
	try {
		await body(world);
	} finally {
		controller.abort();
		await world.entry.closed;
	}
};

/** Starts a second entry beside the first one, with other settings. */
export const startAgain = async (world: World, changes: Partial<EntrySettings>, deps: Partial<EntryDeps> = {}): Promise<Entry> =>
	startEntry({...settings, ...changes}, createDeps(world, deps), world.signal);

/** Polls until a condition holds. */
export const until = async (condition: () => boolean, what: string): Promise<void> => waitUntil(condition, {what, limitMs: 3000});

/** An agent under a test's control. */
export type FakeAgent = {
	readonly starts: RequestStartParams[];
	readonly calls: ServiceCallParams[];
	readonly peers: ReadonlySet<Peer>;
	leave(): void;
	/** Closes the connections and refuses new ones for a while. */
	disconnect(durationMs: number): void;
};

let agents = 0;

/** Adds an agent to the host list and waits until the entry is connected to it. */
export const addAgent = async (world: World, serves: string, handlers: Handlers<Peer>, dataCentre = 'dc-1'): Promise<FakeAgent> => {
	agents += 1;
	const id = `agent-${agents}`;
	const starts: RequestStartParams[] = [];
	const calls: ServiceCallParams[] = [];
	let greetings = 0;
	let leaving = false;
	let isDisconnected = false;
	const listener = await listen({
		address: '127.0.0.1',
		port: 0,
		clock,
		heartbeat: () => ({configVersion: 1, leaving}),
		heartbeatIntervalMs: 20,
		handlers: {
			hello() {
				if (isDisconnected) {
					throw new Error('disconnected');
				}

				greetings += 1;
				return {
					id, role: 'agent', incarnation: 'i1', dataCentre, endpoint: id, configVersion: 1, connection: greetings,
				};
			},
			...handlers,
			...(handlers['request.start'] && {
				async 'request.start'(params: RequestStartParams, peer: Peer) {
					starts.push(params);
					return handlers['request.start']!(params, peer);
				},
			}),
			...(handlers['service.call'] && {
				async 'service.call'(params: ServiceCallParams, peer: Peer) {
					calls.push(params);
					return handlers['service.call']!(params, peer);
				},
			}),
		},
	}, world.signal);
	world.hosts.push({
		hostId: id, dataCentre, kind: 'endpoint', address: '127.0.0.1', port: listener.port, endpoint: id, serves, state: 'live',
	});
	await until(() => greetings > 0, 'the entry to connect');
	// The entry takes the answer to hello in a later turn of its event loop.
	await new Promise(resolve => {
		setTimeout(resolve, 20);
	});
	return {
		starts, calls, peers: listener.peers, leave() {
			leaving = true;
		},
		disconnect(durationMs) {
			isDisconnected = true;
			setTimeout(() => {
				isDisconnected = false;
			}, durationMs);
			for (const peer of listener.peers) {
				peer.close();
			}
		},
	};
};

/** Sends the tokens of an answer, from a position on. */
export const sendTokens = (
	peer: Peer,
	{requestId, attempt}: {requestId: string; attempt: number},
	position: number,
	tokens: string[],
): void => {
	peer.notify('request.frame', {
		requestId, attempt, position, tokens,
	});
};

/** Sends the explicit end of an answer of `position` tokens. */
export const sendEnd = (peer: Peer, {requestId, attempt}: {requestId: string; attempt: number}, position: number): void => {
	peer.notify('request.frame', {
		requestId,
		attempt,
		position,
		tokens: [],
		end: {
			reason: 'stop', promptTokens: 3, cachedTokens: 0, outputTokens: position,
		},
	});
};

/** Sends a caller's request. */
export const send = async (world: World, path: string, init: RequestInit = {}, key = goodKey): Promise<Response> =>
	fetch(`http://127.0.0.1:${world.entry.callerPort}${path}`, {
		...init, headers: {...(key === '' ? {} : {authorization: `Bearer ${key}`}), ...init.headers},
	});

/** Asks the model for an answer. */
export const complete = async (world: World, fields: Record<string, unknown> = {}, init: RequestInit = {}): Promise<Response> =>
	send(world, '/v1/completions', {...init, method: 'POST', body: JSON.stringify({model: 'planner', prompt: 'count', ...fields})});

/** Status, code, `ran` and whether there is a time to come back, in one line. */
export const describeError = async (res: Response): Promise<string> => {
	const {error} = await res.json() as {error: {code: string; ran: string; retryAfterMs?: number}};
	const isRetryConsistent = (error.retryAfterMs !== undefined) === res.headers.has('retry-after');
	return [res.status, error.code, error.ran, res.headers.has('retry-after') ? 'retry' : '', isRetryConsistent ? '' : 'inconsistent'].join(' ').trim();
};
