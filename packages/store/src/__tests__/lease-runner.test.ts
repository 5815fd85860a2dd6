import {performance} from 'node:perf_hooks';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	createStoreError, runLease, type Lease, type LeaseRunnerOptions, type Table,
} from '../index.js';
import {withPlatform, type Fixture} from './with-platform.js';

const durations = {leaseTtlMs: 900, leaseRenewMs: 100, leaseMarginMs: 150};
// The lease expires only after the test's time limit, so that a handover within the limit proves that it was released.
const longDurations = {...durations, leaseTtlMs: 60_000};
const clock = {nowMs: () => performance.now()};

type Candidate = {
	/** Epochs of the leases that were held, in order. */
	readonly epochs: number[];
	readonly lease: Lease | undefined;
	/** Disconnects the candidate from the table. */
	disconnect(): void;
	/** Stops the candidate and waits for its end. */
	stop(): Promise<void>;
};

/** A table that can be disconnected: requests then fail after a delay. */
const createDisconnectableTable = (table: Table): {readonly table: Table; disconnect(): void} => {
	let isDisconnected = false;
	const guard = async <Result>(send: () => Promise<Result>): Promise<Result> => {
		if (isDisconnected) {
			await delay(200);
			throw createStoreError('disconnected', 'unknown');
		}

		return send();
	};

	return {
		table: {
			read: async key => guard(async () => table.read(key)),
			scan: async prefix => guard(async () => table.scan(prefix)),
			transact: async transaction => guard(async () => table.transact(transaction)),
		},
		disconnect() {
			isDisconnected = true;
		},
	};
};

const startCandidate = (fixture: Fixture, holder: string, activeHolders: Set<string>, options: Partial<LeaseRunnerOptions> = {}): Candidate => {
	const controller = new AbortController();
	const {table, disconnect} = createDisconnectableTable(fixture.table);
	const epochs: number[] = [];
	let heldLease: Lease | undefined;
	const done = runLease({
		duty: 'usage/0', holder, table, clock, makeId: randomUUID, durations,
		async onHeld(lease, signal) {
			heldLease = lease;
			epochs.push(lease.epoch);
			activeHolders.add(holder);
			assert.is(activeHolders.size, 1, 'two holders are active');
			await delay(60_000, undefined, {signal}).catch(() => undefined);
			activeHolders.delete(holder);
		},
		...options,
	}, AbortSignal.any([controller.signal, fixture.signal]));
	return {
		epochs,
		disconnect,
		get lease() {
			return heldLease;
		},
		async stop() {
			controller.abort();
			await done;
		},
	};
};

describe('lease runner', () => {
	it('lets one of two holders are active while it renews it', async () => withPlatform(async fixture => {
		const activeHolders = new Set<string>();
		const candidates = [startCandidate(fixture, 'e1', activeHolders), startCandidate(fixture, 'e2', activeHolders)];
		await waitUntil(() => activeHolders.size === 1);
		await delay(3 * durations.leaseTtlMs);
		const epochs = candidates.flatMap(candidate => candidate.epochs);
		assert.equal(epochs, [1]);
		await Promise.all(candidates.map(async candidate => candidate.stop()));
	}));

	it('hands the lease over without waiting for its expiry when the holder stops', async () => withPlatform(async fixture => {
		const activeHolders = new Set<string>();
		const first = startCandidate(fixture, 'e1', activeHolders, {durations: longDurations});
		await waitUntil(() => activeHolders.has('e1'));
		const second = startCandidate(fixture, 'e2', activeHolders, {durations: longDurations});
		await first.stop();
		await waitUntil(() => activeHolders.has('e2'));
		assert.equal([first.epochs, second.epochs], [[1], [2]]);
		await second.stop();
	}));

	it('stops a disconnected holder before another takes over, and its fencing check then fails', async () => withPlatform(async fixture => {
		const activeHolders = new Set<string>();
		const first = startCandidate(fixture, 'e1', activeHolders);
		await waitUntil(() => activeHolders.has('e1'));
		const second = startCandidate(fixture, 'e2', activeHolders);
		const oldCheck = first.lease!.check();
		const write = async () => fixture.table.transact({
			writeId: randomUUID(), checks: [oldCheck], puts: [{key: 'effect', value: 1}], deletes: [],
		});
		const before = await write();
		first.disconnect();
		await waitUntil(() => activeHolders.has('e2'));
		assert.equal([before.ok, first.lease!.isHeld(), second.lease!.isHeld()], [true, false, true]);
		assert.equal(await write(), {ok: false, failed: [oldCheck.key]});
		await Promise.all([first.stop(), second.stop()]);
	}));

	it('keeps the lease despite lost responses and a short outage', async () => withPlatform(async fixture => {
		const activeHolders = new Set<string>();
		fixture.platform.setFaults({loseTableAnswers: 3});
		const candidate = startCandidate(fixture, 'e1', activeHolders);
		await waitUntil(() => activeHolders.has('e1'));
		await delay(2 * durations.leaseTtlMs);
		fixture.platform.setFaults({tableDown: true});
		await delay(120);
		fixture.platform.setFaults({});
		await delay(durations.leaseTtlMs);
		assert.equal([candidate.epochs, candidate.lease!.isHeld(), candidate.lease!.authority()], [[1], true, 'table']);
		assert.ok(candidate.lease!.remainingAuthorityMs() <= durations.leaseTtlMs - durations.leaseMarginMs);
		await candidate.stop();
	}));

	it('takes the lease again after its own takeover expired before it was confirmed', async () => withPlatform(async fixture => {
		const activeHolders = new Set<string>();
		let failUntilMs = 0;
		const table: Table = {
			...fixture.table,
			async read(key) {
				if (performance.now() < failUntilMs) {
					throw createStoreError('table down', 'not-written');
				}

				return fixture.table.read(key);
			},
			async transact(transaction) {
				const result = await fixture.table.transact(transaction);
				if (failUntilMs === 0) {
					failUntilMs = performance.now() + durations.leaseTtlMs;
					throw createStoreError('response lost', 'unknown');
				}

				return result;
			},
		};
		const candidate = startCandidate(fixture, 'e1', activeHolders, {table});
		await waitUntil(() => activeHolders.has('e1'));
		assert.equal(candidate.epochs, [2]);
		await candidate.stop();
	}));

	it('counts as expired by the clock of a holder that was paused', async () => withPlatform(async fixture => {
		const activeHolders = new Set<string>();
		let pausedMs = 0;
		const pausableClock = {nowMs: () => performance.now() + pausedMs};
		const candidate = startCandidate(fixture, 'e1', activeHolders, {clock: pausableClock});
		await waitUntil(() => activeHolders.has('e1'));
		const lease = candidate.lease!;
		pausedMs = durations.leaseTtlMs;
		assert.not.ok(lease.isHeld());
		assert.equal([lease.authority(), lease.remainingAuthorityMs()], ['none', 0]);
		await waitUntil(() => activeHolders.size === 0);
		await candidate.stop();
	}));

	it('passes the state to the next holder and releases the lease when the duty fails', async () => withPlatform(async fixture => {
		const errors: unknown[] = [];
		const states: unknown[] = [];
		const controller = new AbortController();
		await runLease({
			duty: 'd', holder: 'e1', table: fixture.table, clock, makeId: randomUUID, durations,
			async onHeld(lease) {
				states.push(lease.state);
				if (states.length === 2) {
					controller.abort();
					return;
				}

				lease.setState('kept');
				throw new Error('duty failed');
			},
			onError(error) {
				errors.push(error);
			},
		}, controller.signal);
		assert.equal([states, errors.length], [[null, 'kept'], 1]);
	}));
});
