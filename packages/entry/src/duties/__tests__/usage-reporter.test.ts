import {brandAs, usageGraceMs, type ClientAccountName} from '@hawthorncleat/core';
import {isStoreError, type Lease, type Table} from '@hawthorncleat/store';
import {silentLog} from '@hawthorncleat/telemetry';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {UsageRecorder} from '../../usage-flush.js';
import {frozenKey} from '../usage-rows.js';
import {
	endWindow as endWindowAfter, own, shard, windowMs, withWorld, type World,
} from './usage-world.js';

const endWindow = (world: World, window: number): void => {
	endWindowAfter(world, window, usageGraceMs);
};

const takeLease = async (world: World): Promise<Lease> => {
	const {lease} = await world.takeLease();
	return lease;
};

const rejects = async (work: Promise<void>): Promise<Error> => {
	const error = await work.then(() => undefined, (error: unknown) => error as Error);
	assert.ok(error, 'the round did not fail');
	return error;
};

/** A table that calls `before` once, just before the first transaction that puts `key`. */
const interrupt = (table: Table, key: string, before: () => Promise<void>): Table => {
	let isDone = false;
	return {
		...table,
		async transact(transaction) {
			if (!isDone && transaction.puts.some(put => put.key === key)) {
				isDone = true;
				await before();
			}

			return table.transact(transaction);
		},
	};
};

/** An entry whose first write fails and takes effect only when `deliver` is called. */
const createDelayedEntry = (world: World) => {
	let delayed: (() => Promise<void>) | undefined;
	const recorder = new UsageRecorder({
		owner: () => ({entryId: 'e1', incarnation: 'i1'}),
		windowMs,
		wallClock: world.wallClock,
		log: silentLog,
		store: {
			async write(key, value) {
				if (delayed) {
					await world.objects.write(key, value);
					return;
				}

				delayed = async () => world.objects.write(key, value);
				throw new Error('no answer in time');
			},
		},
		onFailure() {/* Not used. */},
	});
	const serve = async (promptTokens: number): Promise<void> => {
		recorder.record(brandAs<ClientAccountName>(own), {promptTokens, outputTokens: 0, serviceCalls: 0});
		await recorder.flush();
	};

	return {serve, deliver: async () => delayed?.()};
};

describe('usage reporter', () => {
	it('counts the last flush although an older write takes effect after it; guards against usage that is served and not billed', async () => withWorld(async world => {
		const entry = createDelayedEntry(world);
		await entry.serve(10);
		await entry.serve(5);
		await entry.deliver();
		endWindow(world, 0);
		await world.createReporter().round(await takeLease(world), world.signal);
		assert.equal(world.accepted(), [[0, 15]]);
	}));

	it('waits for the end of the grace time; guards against windows frozen while entries still flush', async () => withWorld(async world => {
		const {lease} = await world.takeLease();
		await world.putPart(0, 'e1', 1, 10);
		const reporter = world.createReporter();
		world.wallClock.advance(windowMs + usageGraceMs - 1);
		await reporter.round(lease, world.signal);
		assert.equal(world.accepted(), []);
		await world.putPart(0, 'e1', 2, 15);
		world.wallClock.advance(1);
		await reporter.round(lease, world.signal);
		assert.equal(world.accepted(), [[0, 15]]);
	}));

	it('reports the frozen figures again after a lost answer, by the next holder; guards against two figures for a window (I8)', async () => withWorld(async world => {
		const first = await world.takeLease();
		await world.putPart(0, 'e1', 1, 10);
		endWindow(world, 0);
		const error = await rejects(world.createReporter({reports: world.losingReports}).round(first.lease, world.signal));
		assert.ok(isStoreError(error));
		await world.putPart(0, 'e1', 2, 12);
		const second = await world.takeLease();
		await world.createReporter().round(second.lease, world.signal);
		endWindow(world, 1);
		await world.createReporter().round(second.lease, world.signal);
		assert.equal(world.accepted(), [[0, 10], [0, 10], [1, 2]]);
	}));

	it('adds late usage exactly once across holders and lost table answers; guards against lost and double billing', async () => withWorld(async world => {
		await world.putPart(0, 'e1', 1, 10);
		endWindow(world, 0);
		await world.createReporter().round(await takeLease(world), world.signal);
		await world.putPart(0, 'e1', 3, 17);
		await world.putPart(0, 'late', 1, 5);
		endWindow(world, 1);
		// The freeze takes effect, and its answer and the holder are lost.
		const second = await world.takeLease();
		world.platform.setFaults({loseTableAnswers: 1});
		await rejects(world.createReporter({reports: world.losingReports}).round(second.lease, world.signal));
		for (const window of [2, 3, 4, 5]) {
			endWindow(world, window);
			await world.createReporter().round(await takeLease(world), world.signal);
		}

		assert.equal(world.accepted(), [[0, 10], [1, 12], [1, 12], [2, 0], [3, 0], [4, 0], [5, 0]]);
	}));

	it('counts a part at its highest state; guards against a delayed write that puts an older state back', async () => withWorld(async world => {
		const {lease} = await world.takeLease();
		await world.putPart(0, 'e1', 5, 50);
		endWindow(world, 0);
		await world.createReporter().round(lease, world.signal);
		await world.putPart(0, 'e1', 4, 40);
		endWindow(world, 1);
		await world.createReporter().round(lease, world.signal);
		await world.putPart(0, 'e1', 6, 60);
		endWindow(world, 4);
		await world.createReporter().round(lease, world.signal);
		assert.equal(world.accepted(), [[0, 50], [1, 0], [2, 0], [3, 0], [4, 10]]);
	}));

	it('writes and sends nothing for a holder that was paused; guards against reports by two holders (I8)', async () => withWorld(async world => {
		await world.putPart(0, 'e1', 1, 10);
		endWindow(world, 0);
		const first = await world.takeLease();
		let second: Lease | undefined;
		// The first holder pauses between its reads and its write of the frozen row. Meanwhile usage arrives.
		const table = interrupt(world.table, frozenKey(0, shard), async () => {
			first.pause();
			second = await takeLease(world);
			await world.putPart(0, 'e1', 2, 11);
		});
		await rejects(world.createReporter({table}).round(first.lease, world.signal));
		assert.is(await world.table.read(frozenKey(0, shard)), undefined);
		await world.createReporter().round(second!, world.signal);
		assert.equal(world.accepted(), [[0, 11]]);
	}));

	it('does not send after a pause between the freeze and the report; guards against a report without authority (I8)', async () => withWorld(async world => {
		await world.putPart(0, 'e1', 1, 10);
		endWindow(world, 0);
		const first = await world.takeLease();
		const reports: World['reports'] = {
			async send(report, options) {
				first.pause();
				await world.reports.send(report, options);
			},
		};
		await rejects(world.createReporter({reports}).round(first.lease, world.signal));
		assert.equal(world.accepted(), []);
		await world.createReporter().round(await takeLease(world), world.signal);
		assert.equal(world.accepted(), [[0, 10]]);
	}));

	it('catches up on windows without a holder and after a table outage; guards against windows that are left out', async () => withWorld(async world => {
		await world.putPart(2, 'e1', 1, 20);
		await world.putPart(5, 'e1', 1, 50);
		endWindow(world, 6);
		const {lease} = await world.takeLease();
		world.platform.setFaults({tableDown: true});
		await rejects(world.createReporter().round(lease, world.signal));
		world.platform.setFaults({objectsDown: true});
		await rejects(world.createReporter().round(lease, world.signal));
		world.platform.setFaults({});
		await world.createReporter().round(lease, world.signal);
		assert.equal(world.accepted(), [[2, 20], [3, 0], [4, 0], [5, 50], [6, 0]]);
	}));

	it('refuses rows of another layout; guards against accounts counted again in another shard', async () => withWorld(async world => {
		const {lease} = await world.takeLease();
		await world.putPart(0, 'e1', 1, 10);
		await world.table.transact({
			writeId: 'w', checks: [], deletes: [], puts: [{
				key: 'usage-progress/7', value: {
					shards: 8, windowMs, nextMs: 0, unreportedMs: 0, writeId: 'w',
				},
			}],
		});
		endWindow(world, 0);
		const error = await rejects(world.createReporter().round(lease, world.signal));
		assert.match(error.message, 'another number of shards');
		assert.equal(world.accepted(), []);
	}));
});
