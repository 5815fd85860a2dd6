import {performance} from 'node:perf_hooks';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {
	brandAs, firstEpochOf, generationOfEpoch, leaseEpochKey, leaseKey, type LeaseDurations, type LeaseEpoch, type StoreGeneration,
} from '@hawthorncleat/core';
import {ReturningStore} from '@hawthorncleat/stand-ins';
import type {Transaction} from '@hawthorncleat/schema';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	createStoreError, runLease, type Lease, type Table, type TransactResult,
} from '../index.js';

const durations = {leaseTtlMs: 900, leaseRenewMs: 100, leaseMarginMs: 150};
const clock = {nowMs: () => performance.now()};
const generationOf = (count: number): StoreGeneration => brandAs<StoreGeneration>(count);

type Connection = {
	readonly table: Table;
	/** Without a connection, requests fail and this client learns of no return. */
	isConnected: boolean;
	/** A transaction for which this resolves late is carried out late, and its answer arrives then. */
	beforeTransaction: (transaction: Transaction) => Promise<void>;
};

const connect = (store: ReturningStore): Connection => {
	let seenGeneration = store.generation;
	const call = async <Result>(carryOut: () => Result): Promise<Result> => {
		await delay(2);
		if (!connection.isConnected) {
			throw createStoreError('disconnected', 'unknown');
		}

		const result = carryOut();
		seenGeneration = store.generation;
		return result;
	};

	const connection: Connection = {
		isConnected: true,
		beforeTransaction: async () => undefined,
		table: {
			generation: () => generationOf(seenGeneration),
			read: async key => call(() => store.read(key)),
			scan: async () => [],
			async transact(transaction): Promise<TransactResult> {
				await connection.beforeTransaction(transaction);
				return call(() => store.transact(transaction));
			},
		},
	};
	return connection;
};

type Candidate = Connection & {readonly leases: Lease[]; readonly epochs: number[]; stop(): Promise<void>};

type CandidateOptions = {
	readonly leaseDurations?: LeaseDurations;
	/** Ends the duty, upon which the lease is released. */
	readonly isDutyDone?: () => boolean;
};

/** Candidates of one lease, of which at most one may be active at a time. */
const withCandidates = async (body: (store: ReturningStore, start: (holder: string, options?: CandidateOptions) => Candidate, activeHolders: ReadonlySet<string>) => Promise<void>): Promise<void> => {
	const store = new ReturningStore();
	const controller = new AbortController();
	const activeHolders = new Set<string>();
	const runs: Array<Promise<void>> = [];
	const overlaps: string[] = [];
	const start = (holder: string, {leaseDurations = durations, isDutyDone = () => false}: CandidateOptions = {}): Candidate => {
		const own = new AbortController();
		const leases: Lease[] = [];
		const epochs: number[] = [];
		const connection = connect(store);
		const done = runLease({
			duty: 'd', holder, table: connection.table, clock, makeId: randomUUID, durations: leaseDurations,
			async onHeld(lease, signal) {
				leases.push(lease);
				epochs.push(lease.epoch);
				activeHolders.add(holder);
				if (activeHolders.size > 1) {
					overlaps.push([...activeHolders].join(' and '));
				}

				while (!signal.aborted && !isDutyDone()) {
					await delay(10);
				}

				activeHolders.delete(holder);
			},
		}, AbortSignal.any([controller.signal, own.signal]));
		runs.push(done);
		return Object.assign(connection, {
			leases,
			epochs,
			async stop() {
				own.abort();
				await done;
			},
		});
	};

	try {
		await body(store, start, activeHolders);
	} finally {
		controller.abort();
		await Promise.all(runs);
	}

	assert.equal(overlaps, []);
};

describe('lease in a table that returns from a copy', () => {
	// Guards against two holders with one fencing token, because the takeover of the first one was undone.
	it('gives out no epoch twice when a takeover is lost; guards against one token of two holders', async () => withCandidates(async (store, start, activeHolders) => {
		const empty = store.takeCopy();
		const first = start('e1');
		await waitUntil(() => activeHolders.has('e1'));
		store.returnFrom(empty);
		await first.stop();
		const second = start('e2');
		await waitUntil(() => activeHolders.has('e2'));
		assert.is(first.epochs[0], 1);
		assert.is(second.epochs[0]! >= firstEpochOf(generationOf(1)), true);
		assert.is(second.epochs.some(epoch => first.epochs.includes(epoch)), false);
	}));

	it('ends the tenure soon after the return; guards against a duty that goes on under a lease that others may take', async () => withCandidates(async (store, start, activeHolders) => {
		const candidate = start('e1');
		await waitUntil(() => activeHolders.has('e1'));
		store.returnFrom(store.takeCopy());
		await waitUntil(() => !candidate.leases[0]!.isHeld(), {what: 'the end of the tenure', limitMs: 500});
		await waitUntil(() => candidate.epochs.length === 2);
		assert.is(candidate.epochs[1], firstEpochOf(generationOf(1)));
	}));

	it('leaves the row of the older generation as it is; guards against a release that another process takes for its own row', async () => withCandidates(async (store, start, activeHolders) => {
		const candidate = start('e1');
		await waitUntil(() => activeHolders.has('e1'));
		store.returnFrom(store.takeCopy());
		await waitUntil(() => !candidate.leases[0]!.isHeld());
		await candidate.stop();
		assert.is((store.read(leaseKey('d'))?.value as {holder: string}).holder, 'e1');
	}));

	// Guards against two holders at a time: the copy says that the lease is free, but a process that has not seen the return holds it.
	it('is not taken at once when the copy has a released row; guards against two holders at a time', async () => withCandidates(async (store, start, activeHolders) => {
		const released = start('e1');
		await waitUntil(() => activeHolders.has('e1'));
		await released.stop();
		const copy = store.takeCopy();
		const holder = start('e2');
		await waitUntil(() => activeHolders.has('e2'));
		holder.isConnected = false;
		store.returnFrom(copy);
		const next = start('e3');
		await waitUntil(() => activeHolders.has('e3'));
		assert.equal([holder.epochs, next.epochs], [[2], [firstEpochOf(generationOf(1))]]);
	}));

	it('does not count a renewal that is carried out after the return; guards against a tenure that outlives its generation', async () => withCandidates(async (store, start, activeHolders) => {
		const candidate = start('e1');
		await waitUntil(() => activeHolders.has('e1'));
		const copy = store.takeCopy();
		candidate.beforeTransaction = async () => {
			candidate.beforeTransaction = async () => undefined;
			store.returnFrom(copy);
		};

		await waitUntil(() => candidate.epochs.length === 2);
		assert.equal(candidate.leases.map(lease => lease.isHeld()), [false, true]);
		assert.is(candidate.epochs[1], firstEpochOf(generationOf(1)));
	}));

	it('voids a takeover that is carried out after the return; guards against a holder with a token of the older generation', async () => withCandidates(async (store, start, activeHolders) => {
		const copy = store.takeCopy();
		const candidate = start('e1');
		candidate.beforeTransaction = async () => {
			candidate.beforeTransaction = async () => undefined;
			store.returnFrom(copy);
		};

		await waitUntil(() => activeHolders.has('e1'));
		assert.equal(candidate.epochs, [firstEpochOf(generationOf(1))]);
	}));

	// Guards against a late takeover of an older generation whose expected version was given out again.
	it('keeps the rows of the new generation when an older takeover arrives late; guards against a token that is given out again', async () => withCandidates(async (store, start, activeHolders) => {
		const copy = store.takeCopy();
		const sent = new AbortController();
		const arrives = new AbortController();
		const late = start('e1');
		late.beforeTransaction = async () => {
			late.beforeTransaction = async () => undefined;
			sent.abort();
			await delay(60_000, undefined, {signal: arrives.signal}).catch(() => undefined);
		};

		await waitUntil(() => sent.signal.aborted);
		store.returnFrom(copy);
		const next = start('e2');
		await waitUntil(() => activeHolders.has('e2'));
		arrives.abort();
		await delay(3 * durations.leaseRenewMs);
		assert.is(next.leases[0]!.isHeld(), true);
		const epochRow = store.read(leaseEpochKey('d', generationOf(1)));
		assert.is(generationOfEpoch((epochRow!.value as {epoch: LeaseEpoch}).epoch), 1);
		assert.equal(late.epochs, []);
	}));

	it('survives returns in quick succession; guards against two holders and tokens that go back', async () => withCandidates(async (store, start, activeHolders) => {
		const copy = store.takeCopy();
		const candidates = [start('e1'), start('e2')];
		await waitUntil(() => activeHolders.size > 0);
		for (let count = 0; count < 4; count += 1) {
			await delay(60);
			store.returnFrom(copy);
		}

		await waitUntil(() => candidates.some(({epochs}) => epochs.includes(firstEpochOf(generationOf(4)))));
		const epochs = candidates.flatMap(candidate => candidate.epochs);
		assert.equal(epochs.length, new Set(epochs).size);
	}));
});

// Only a process that continues its own tenure can take the lease again within the time of a test.
const longDurations = {...durations, leaseTtlMs: 60_000};

describe('last holder of a lease, after the table has returned from a copy', () => {
	it('takes the lease again at once; guards against a duty that rests for the duration of a lease after each return', async () => withCandidates(async (store, start) => {
		const empty = store.takeCopy();
		const candidate = start('e1', {leaseDurations: longDurations});
		await waitUntil(() => candidate.epochs.length === 1);
		store.returnFrom(empty);
		await waitUntil(() => candidate.epochs.length === 2);
		store.returnFrom(empty);
		await waitUntil(() => candidate.epochs.length === 3);
		assert.equal(candidate.epochs, [1, firstEpochOf(generationOf(1)), firstEpochOf(generationOf(2))]);
		assert.equal(candidate.leases.map(lease => lease.continuedEpoch), [undefined, ...candidate.epochs.slice(0, 2)]);
	}));

	it('continues a tenure that has expired by its own clock only; guards against skipped windows after an outage', async () => withCandidates(async (store, start, activeHolders) => {
		const candidate = start('e1', {leaseDurations: {...durations, leaseTtlMs: 3000, leaseMarginMs: 2500}});
		await waitUntil(() => activeHolders.has('e1'));
		candidate.isConnected = false;
		store.returnFrom(store.takeCopy());
		await waitUntil(() => activeHolders.size === 0);
		assert.is(candidate.leases[0]!.isHeld(), false);
		candidate.isConnected = true;
		await waitUntil(() => candidate.epochs.length === 2);
		assert.is(candidate.leases[1]!.continuedEpoch, 1);
	}));

	it('does not continue once another may have held the lease; guards against figures that another has reported', async () => withCandidates(async (store, start, activeHolders) => {
		const candidate = start('e1');
		await waitUntil(() => activeHolders.has('e1'));
		candidate.isConnected = false;
		await delay(durations.leaseTtlMs);
		store.returnFrom(store.takeCopy());
		candidate.isConnected = true;
		await waitUntil(() => candidate.epochs.length === 2);
		assert.is(candidate.leases[1]!.continuedEpoch, undefined);
	}));

	it('does not continue a lease that it has released; guards against figures that another has reported', async () => withCandidates(async (store, start, activeHolders) => {
		let isDone = false;
		const candidate = start('e1', {isDutyDone: () => isDone});
		await waitUntil(() => activeHolders.has('e1'));
		isDone = true;
		await waitUntil(() => (store.read(leaseKey('d'))?.value as {holder: string}).holder === '');
		isDone = false;
		store.returnFrom(store.takeCopy());
		await waitUntil(() => candidate.epochs.includes(firstEpochOf(generationOf(1))));
		assert.is(candidate.leases.at(-1)!.continuedEpoch, undefined);
	}));

	it('has lost the lease if another has taken it in the new generation; guards against two holders at a time', async () => withCandidates(async (store, start, activeHolders) => {
		const last = start('e1');
		await waitUntil(() => activeHolders.has('e1'));
		last.beforeTransaction = async ({checks}) => {
			if (checks.some(({key}) => key === leaseKey('d', generationOf(1)))) {
				throw createStoreError('rejected', 'not-written');
			}
		};

		store.returnFrom(store.takeCopy());
		const next = start('e2');
		await waitUntil(() => activeHolders.has('e2'));
		last.beforeTransaction = async () => undefined;
		await delay(3 * durations.leaseRenewMs);
		assert.equal([last.epochs, next.epochs], [[1], [firstEpochOf(generationOf(1))]]);
		await next.stop();
		await waitUntil(() => last.epochs.length === 2);
		assert.equal([last.epochs[1], last.leases[1]!.continuedEpoch], [firstEpochOf(generationOf(1)) + 1, undefined]);
	}));
});
