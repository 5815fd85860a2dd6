/**
 * An agent with a small engine, table and entry around it.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from '@hawthorncleat/core';
import {createStoreError, type Table} from '@hawthorncleat/store';
import type {AgentSettings, TableRow} from '@hawthorncleat/schema';
import {silentLog} from '@hawthorncleat/telemetry';
import {waitUntil} from '@hawthorncleat/test-kit';
import {startAgent, type Agent} from '../index.js';
import {FakeEngine} from './fake-engine.js';
import {clock, FakeEntry} from './fake-entry.js';

export {FakeEngine, writeEnd, writeToken} from './fake-engine.js';
export {clock, FakeEntry, traceparent} from './fake-entry.js';

/** Waits until a condition holds. */
export const until = async (condition: () => boolean, what = 'condition'): Promise<void> => waitUntil(condition, {what, limitMs: 8000});

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
