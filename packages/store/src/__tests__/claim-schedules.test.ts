import {syncBuiltinESMExports} from 'node:module';
import {mock} from 'node:test';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {
	brandAs, type ActionId, type ClaimId, type EntryId,
} from '@hawthorncleat/core';
import type {TableRow, Transaction} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	createClaimWriter, createStoreError, type ClaimWriter, type Table, type TransactResult,
} from '../index.js';

// Simulated time, because with real time the schedules would depend on the load of the machine.
const tickMs = 5;
let nowMs = 0;
const clock = {nowMs: () => nowMs};
const actionId = brandAs<ActionId>('a');
const answer = {status: 200, headers: {}, bodyBase64: 'b2s='};
// Longer than the batching time of claims and shorter than the delay of a late write.
const claimWaitMs = 60;
// Longer than the writer's retry pause, so that other writes can change the row before a late write arrives.
const lateWriteDelayMs = 250;

type Fault = 'none' | 'answer-lost' | 'request-lost' | 'late';

/** A table in memory. Each transaction takes the next fault of the list; those after the end of the list succeed. */
class FaultyTable implements Table {
	readonly #rows = new Map<string, TableRow>();
	readonly #faults: Fault[];
	readonly #checksLateWrites: boolean;

	constructor(faults: readonly Fault[], checksLateWrites: boolean) {
		this.#faults = [...faults];
		this.#checksLateWrites = checksLateWrites;
	}

	async read(key: string): Promise<TableRow | undefined> {
		return this.#rows.get(key);
	}

	async scan(): Promise<TableRow[]> {
		return [...this.#rows.values()];
	}

	async transact(transaction: Transaction): Promise<TransactResult> {
		const fault = this.#faults.shift() ?? 'none';
		if (fault === 'request-lost') {
			throw createStoreError('request lost', 'unknown');
		}

		if (fault === 'late') {
			await delay(5);
			setTimeout(() => {
				this.#apply(transaction, this.#checksLateWrites);
			}, lateWriteDelayMs);
			throw createStoreError('no response in time', 'unknown');
		}

		await delay(1);
		const result = this.#apply(transaction, true);
		if (fault === 'answer-lost') {
			throw createStoreError('response lost', 'unknown');
		}

		return result;
	}

	#apply({checks, puts}: Transaction, isChecked: boolean): TransactResult {
		const failed = checks.filter(({key, version}) => (this.#rows.get(key)?.version ?? null) !== version).map(({key}) => key);
		if (failed.length > 0 && isChecked) {
			return {ok: false, failed};
		}

		const versions = puts.map(({key, value}) => {
			const version = (this.#rows.get(key)?.version ?? 0) + 1;
			this.#rows.set(key, {key, version, value});
			return [key, version] as const;
		});
		return {ok: true, versions: Object.fromEntries(versions)};
	}
}

type Call = {readonly entry: number; readonly afterMs: number; readonly isRefused: boolean};
type Schedule = {readonly faults: readonly Fault[]; readonly calls: readonly Call[]};

/** The claims whose action ran, and the outcome of each call. */
type History = {readonly ran: ClaimId[]; readonly outcomes: string[]};

const performCall = async (writer: ClaimWriter, {afterMs, isRefused}: Call, history: History): Promise<void> => {
	await delay(afterMs);
	const result = await writer.claim({actionId, digest: 'd'});
	if (result.kind !== 'granted') {
		history.outcomes.push(result.kind);
		return;
	}

	if (isRefused) {
		history.outcomes.push('refused');
		await writer.release(result.claimId);
		return;
	}

	history.ran.push(result.claimId);
	history.outcomes.push('ran');
	await writer.complete(result.claimId, answer);
};

const runSchedule = async ({faults, calls}: Schedule, checksLateWrites: boolean): Promise<History> => {
	const controller = new AbortController();
	const table = new FaultyTable(faults, checksLateWrites);
	let idCount = 0;
	const makeId = (): string => {
		idCount += 1;
		return `id${idCount}`;
	};

	const writers = [0, 1].map(entry => createClaimWriter({
		table, clock, makeId, entryId: brandAs<EntryId>(`e${entry}`), claimWaitMs, completionBatchMs: 1, releaseRetryPauseMs: 5,
	}, controller.signal));
	const history: History = {ran: [], outcomes: []};
	await Promise.all(calls.map(async call => performCall(writers[call.entry]!, call, history)));
	// A late write may still arrive; even then the next caller must not be granted an action that has run.
	await delay(2 * lateWriteDelayMs);
	await performCall(writers[0]!, {entry: 0, afterMs: 0, isRefused: false}, history);
	controller.abort();
	return history;
};

const schedules = fc.record({
	faults: fc.array(fc.constantFrom<Fault>('none', 'none', 'late', 'late', 'answer-lost', 'request-lost'), {minLength: 2, maxLength: 6, size: 'max'}),
	calls: fc.array(
		fc.record({entry: fc.nat({max: 1}), afterMs: fc.constantFrom(0, 30, 150, 170, 200), isRefused: fc.boolean()}),
		{minLength: 2, maxLength: 5, size: 'max'},
	),
});

/** Runs a function in simulated time. The modules import timers by name, so the exports of built-in modules are synchronised. */
const runInSimulatedTime = async <Result>(run: () => Promise<Result>): Promise<Result> => {
	mock.timers.enable({apis: ['setTimeout']});
	syncBuiltinESMExports();
	try {
		const state = {isDone: false};
		const result = run().finally(() => {
			state.isDone = true;
		});
		while (!state.isDone) {
			nowMs += tickMs;
			mock.timers.tick(tickMs);
			await nextTurn();
		}

		return await result;
	} finally {
		mock.timers.reset();
		syncBuiltinESMExports();
	}
};

/** Runs the schedules concurrently and returns the histories in which the action ran more than once. */
const findDoubleRuns = async (checksLateWrites: boolean): Promise<History[]> => {
	const generated = fc.sample(schedules, {seed: 20_265, numRuns: 600});
	const histories = await runInSimulatedTime(async () =>
		Promise.all(generated.map(async schedule => runSchedule(schedule, checksLateWrites))));
	assert.ok(histories.some(({outcomes}) => outcomes.includes('unavailable')), 'no claim was too late');
	assert.ok(histories.some(({outcomes}) => outcomes.includes('refused')), 'no claim was released');
	return histories.filter(({ran}) => ran.length > 1);
};

describe('claims under random schedules', () => {
	it('runs an action at most once despite lost responses, late writes, releases and repeated calls', async () => {
		assert.equal(await findDoubleRuns(true), []);
	});

	it('detects double runs if late writes overwrite newer rows', async () => {
		const found = await findDoubleRuns(false);
		assert.ok(found.length > 0);
	});
});
