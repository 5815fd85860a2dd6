/**
 * A small engine, table and entry for the tests of the agent.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';
import {createStoreError, type Table} from '@hawthorncleat/platform';
import type {
	ActionMessage,
	ActionRef,
	AgentSettings,
	CrashSuspect,
	EngineState,
	GenerateParams,
	LoadReport,
	OrderConfirmParams,
	OrderConfirmResult,
	RequestFailed,
	RequestFrame,
	RequestStartParams,
	TableRow,
} from '@hawthorncleat/schema';
import {silentLog} from '@hawthorncleat/telemetry';
import {dial, type Peer} from '@hawthorncleat/wire';
import {startAgent, type Agent} from '../index.js';

export const clock = {nowMs: () => performance.now()};
export const traceparent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

/** Waits until a condition holds, and fails after some seconds. */
export const until = async (condition: () => boolean, what = 'condition'): Promise<void> => {
	const limitMs = clock.nowMs() + 8000;
	while (!condition()) {
		if (clock.nowMs() > limitMs) {
			throw new Error(`timed out: ${what}`);
		}

		await delay(5);
	}
};

type Generate = (params: GenerateParams, res: ServerResponse) => void;

const readJson = async (req: IncomingMessage): Promise<unknown> => {
	let text = '';
	for await (const chunk of req) {
		text += String(chunk);
	}

	return text === '' ? undefined : JSON.parse(text);
};

/** Writes one token. */
export const writeToken = (res: ServerResponse, position: number): void => {
	res.write(`${JSON.stringify({position, token: `t${position}`})}\n`);
};

/** Ends an answer after so many tokens in all. */
export const writeEnd = (res: ServerResponse, outputTokens: number): void => {
	const end = {
		reason: 'stop', promptTokens: 2, cachedTokens: 0, outputTokens,
	};
	res.end(`${JSON.stringify({end})}\n`);
};

/** An engine that speaks the interface of section 7 and answers as the test says. */
export class FakeEngine {
	readonly started: GenerateParams[] = [];
	readonly cancelled: string[] = [];
	readonly orders: unknown[] = [];
	readonly open = new Map<string, ServerResponse>();
	running = 0;
	maxRunning = 0;
	requests = 0;
	state: EngineState = {
		role: 'mixed', changing: false, lastOrder: 0, running: 0, waiting: 0, kvFreeTokens: 1000,
	};

	#server: Server | undefined;
	#port = 0;

	generate: Generate = ({delivered, maxTokens}, res) => {
		for (let position = delivered.length; position < maxTokens; position += 1) {
			writeToken(res, position);
		}

		writeEnd(res, maxTokens);
	};

	get url(): string {
		return `http://127.0.0.1:${this.#port}`;
	}

	async start(): Promise<void> {
		this.#server = createServer((req, res) => {
			void this.#answer(req, res);
		});
		this.#server.listen(this.#port, '127.0.0.1');
		await once(this.#server, 'listening');
		this.#port = (this.#server.address() as AddressInfo).port;
	}

	/** Ends like a killed process. */
	crash(): void {
		this.#server?.close();
		this.#server?.closeAllConnections();
	}

	async #answer(req: IncomingMessage, res: ServerResponse): Promise<void> {
		this.requests += 1;
		const body = await readJson(req);
		switch (req.url ?? '') {
			case '/generate': {
				this.#begin(body as GenerateParams, res);

				break;
			}

			case '/cancel': {
				this.cancelled.push((body as {requestId: string}).requestId);
				res.end('{}');

				break;
			}

			case '/orders': {
				this.orders.push(body);
				this.state = {...this.state, role: (body as EngineState).role, changing: true};
				res.end('{}');

				break;
			}

			default: {
				res.end(JSON.stringify(this.state));
			}
		}
	}

	#begin(params: GenerateParams, res: ServerResponse): void {
		this.started.push(params);
		this.running += 1;
		this.maxRunning = Math.max(this.maxRunning, this.running);
		res.on('close', () => {
			this.running -= 1;
		});
		this.open.set(params.requestId, res);
		this.generate(params, res);
	}
}

/** A table in memory; it keeps every value that a row had. */
export class FakeTable implements Table {
	readonly rows = new Map<string, TableRow>();
	readonly history: unknown[] = [];
	isDown = false;
	/** Reads that were answered. */
	reads = 0;

	put(key: string, value: unknown): void {
		this.rows.set(key, {key, value, version: (this.rows.get(key)?.version ?? 0) + 1});
		this.history.push(value);
	}

	async read(key: string): Promise<TableRow | undefined> {
		this.#checkUp();
		this.reads += 1;
		return this.rows.get(key);
	}

	async scan(): Promise<TableRow[]> {
		return [...this.rows.values()];
	}

	async transact({checks, puts}: Parameters<Table['transact']>[0]): ReturnType<Table['transact']> {
		this.#checkUp();
		const failed = checks.filter(({key, version}) => (this.rows.get(key)?.version ?? null) !== version).map(({key}) => key);
		if (failed.length > 0) {
			return {ok: false, failed};
		}

		for (const {key, value} of puts) {
			this.put(key, value);
		}

		return {ok: true, versions: {}};
	}

	#checkUp(): void {
		if (this.isDown) {
			throw createStoreError('the table is down', 'not-written');
		}
	}
}

/** A connection of an entry with everything that arrived on it. */
export class FakeEntry {
	readonly frames: RequestFrame[] = [];
	readonly failures: RequestFailed[] = [];
	readonly reports: LoadReport[] = [];
	readonly suspects: CrashSuspect[] = [];
	/** Questions about orders of a table outage. */
	readonly questions: OrderConfirmParams[] = [];
	incarnation = '';
	connection = 0;
	peer!: Peer;
	/** What the planner answers to a question. */
	confirm: () => OrderConfirmResult | Promise<OrderConfirmResult>;
	#lastActionNumber = 0;

	constructor() {
		this.confirm = () => ({confirmed: true, validForMs: 2000});
	}

	async connect(port: number, signal: AbortSignal): Promise<this> {
		const handlers = {
			'request.frame': (frame: RequestFrame) => {
				this.frames.push(frame);
			},
			'request.failed': (failed: RequestFailed) => {
				this.failures.push(failed);
			},
			'load.report': (report: LoadReport) => {
				this.reports.push(report);
			},
			'order.confirm': async (question: OrderConfirmParams) => {
				this.questions.push(question);
				return this.confirm();
			},
			'crash.suspect': (suspect: CrashSuspect) => {
				this.suspects.push(suspect);
			},
		};
		this.peer = await dial({
			address: '127.0.0.1', port, clock, handlers, heartbeat: () => ({configVersion: 0, leaving: false}),
		}, signal);
		const hello = await this.peer.call('hello', {
			protocol: 1, role: 'entry', id: 'entry-1', dataCentre: 'dc-1', configVersion: 0,
		});
		this.incarnation = hello.incarnation;
		this.connection = hello.connection!;
		return this;
	}

	/** Gives an action the next number on this connection; a message that has a number keeps it. */
	addressAction(action: ActionRef | ActionMessage): ActionMessage {
		if ('number' in action) {
			return action;
		}

		this.#lastActionNumber += 1;
		return {...action, connection: this.connection, number: this.#lastActionNumber};
	}

	async start(requestId: string, changes: Partial<RequestStartParams> = {}): Promise<unknown> {
		return this.peer.call('request.start', {
			requestId,
			attempt: 1,
			incarnation: this.incarnation,
			clientAccount: 'account-1',
			weight: 1,
			priority: 0,
			model: 'model-1',
			prompt: 'two words',
			maxTokens: 3,
			delivered: [],
			firstTokenInMs: 10_000,
			fingerprint: `fingerprint-${requestId}`,
			traceparent,
			...changes,
		});
	}

	tokens(requestId: string): string[] {
		return this.frames.filter(frame => frame.requestId === requestId).flatMap(frame => frame.tokens);
	}

	hasEnd(requestId: string): boolean {
		return this.frames.some(frame => frame.requestId === requestId && frame.end);
	}
}

export type Setting = {
	readonly agent: Agent;
	readonly entry: FakeEntry;
	readonly engine: FakeEngine;
	readonly table: FakeTable;
	readonly signal: AbortSignal;
};

/** Settings of an agent on free ports. */
export const createSettings = (changes: Partial<AgentSettings>): AgentSettings => ({
	agentId: '',
	dataCentre: 'dc-1',
	platformUrl: 'http://127.0.0.1:1',
	address: '127.0.0.1',
	internalPort: 0,
	adminPort: 0,
	slotPort: 0,
	endpoint: 'endpoint-1',
	endpointUrl: 'http://127.0.0.1:1',
	kvUrl: '',
	endpointKind: 'engine',
	serves: 'model-1',
	maxRunning: 2,
	maxWaitingTokens: 1000,
	logFormat: 'json',
	logLevel: 'info',
	drainLimitMs: 0,
	traceFile: '',
	...changes,
});

let idCount = 0;
export const makeId = (): string => {
	idCount += 1;
	return `id-${idCount}`;
};

/** Whether the agent reports ready. */
export const isReady = async (agent: Agent): Promise<boolean> => {
	const response = await fetch(`http://127.0.0.1:${agent.adminPort}/readyz`);
	await response.text();
	return response.ok;
};

export const untilReady = async (agent: Agent): Promise<void> => {
	while (!await isReady(agent)) {
		await delay(5);
	}
};

/** Runs a test with an engine, its agent and a connected entry, and releases them. */
export const withAgent = async (
	changes: Partial<AgentSettings>,
	body: (setting: Setting) => Promise<void>,
	prepare: (engine: FakeEngine, table: FakeTable) => void = () => undefined,
	{agentClock = clock, mustBeReady = true}: {readonly agentClock?: Clock; readonly mustBeReady?: boolean} = {},
): Promise<void> => {
	const controller = new AbortController();
	const {signal} = controller;
	const engine = new FakeEngine();
	const table = new FakeTable();
	prepare(engine, table);
	await engine.start();
	const dependencies = {
		clock: agentClock, random: () => 0.5, makeId, log: silentLog, table,
	};
	const agent = await startAgent(createSettings({endpointUrl: engine.url, ...changes}), dependencies, signal);
	try {
		const entry = await new FakeEntry().connect(agent.internalPort, signal);
		if (mustBeReady) {
			await untilReady(agent);
		}

		await body({
			agent, entry, engine, table, signal,
		});
	} finally {
		controller.abort();
		engine.crash();
		await agent.closed;
	}
};
