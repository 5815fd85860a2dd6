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
// Expires only after the test has failed, so that a hand-over in time proves that the lease was given back.
const longDurations = {...durations, leaseTtlMs: 60_000};
const clock = {nowMs: () => performance.now()};

type Candidate = {
	/** Epochs held, in order. */
	readonly epochs: number[];
	readonly lease: Lease | undefined;
	/** Cuts the candidate off from the table. */
	cut(): void;
	/** Stops the candidate and waits for its end. */
	stop(): Promise<void>;
};

/** A table that can be cut off: requests then hang for a while and fail. */
const createCuttable = (table: Table): {readonly table: Table; cut(): void} => {
	let isCut = false;
	const guard = async <Result>(send: () => Promise<Result>): Promise<Result> => {
		if (isCut) {
			await delay(200);
			throw createStoreError('cut off', 'unknown');
		}

		return send();
	};

	return {
		table: {
			read: async key => guard(async () => table.read(key)),
			scan: async prefix => guard(async () => table.scan(prefix)),
			transact: async transaction => guard(async () => table.transact(transaction)),
		},
		cut() {
			isCut = true;
		},
	};
};

const startCandidate = (fixture: Fixture, holder: string, inCharge: Set<string>, options: Partial<LeaseRunnerOptions> = {}): Candidate => {
	const controller = new AbortController();
	const {table, cut} = createCuttable(fixture.table);
	const epochs: number[] = [];
	let held: Lease | undefined;
	const done = runLease({
		duty: 'usage/0', holder, table, clock, makeId: randomUUID, durations,
		async onHeld(lease, signal) {
			held = lease;
			epochs.push(lease.epoch);
			inCharge.add(holder);
			assert.is(inCharge.size, 1, 'two holders are in charge');
			await delay(60_000, undefined, {signal}).catch(() => undefined);
			inCharge.delete(holder);
		},
		...options,
	}, AbortSignal.any([controller.signal, fixture.signal]));
	return {
		epochs,
		cut,
		get lease() {
			return held;
		},
		async stop() {
			controller.abort();
			await done;
		},
	};
};

describe('lease runner', () => {
	it('lets one of two candidates in while it renews', async () => withPlatform(async fixture => {
		const inCharge = new Set<string>();
		const candidates = [startCandidate(fixture, 'e1', inCharge), startCandidate(fixture, 'e2', inCharge)];
		await waitUntil(() => inCharge.size === 1);
		await delay(3 * durations.leaseTtlMs);
		const epochs = candidates.flatMap(candidate => candidate.epochs);
		assert.equal(epochs, [1]);
		await Promise.all(candidates.map(async candidate => candidate.stop()));
	}));

	it('hands over without waiting for expiry when the holder stops', async () => withPlatform(async fixture => {
		const inCharge = new Set<string>();
		const first = startCandidate(fixture, 'e1', inCharge, {durations: longDurations});
		await waitUntil(() => inCharge.has('e1'));
		const second = startCandidate(fixture, 'e2', inCharge, {durations: longDurations});
		await first.stop();
		await waitUntil(() => inCharge.has('e2'));
		assert.equal([first.epochs, second.epochs], [[1], [2]]);
		await second.stop();
	}));

	it('stops a holder that is cut off before another takes over, and fences it', async () => withPlatform(async fixture => {
		const inCharge = new Set<string>();
		const first = startCandidate(fixture, 'e1', inCharge);
		await waitUntil(() => inCharge.has('e1'));
		const second = startCandidate(fixture, 'e2', inCharge);
		const oldCheck = first.lease!.check();
		const write = async () => fixture.table.transact({
			writeId: randomUUID(), checks: [oldCheck], puts: [{key: 'effect', value: 1}], deletes: [],
		});
		const before = await write();
		first.cut();
		await waitUntil(() => inCharge.has('e2'));
		assert.equal([before.ok, first.lease!.isHeld(), second.lease!.isHeld()], [true, false, true]);
		assert.equal(await write(), {ok: false, failed: [oldCheck.key]});
		await Promise.all([first.stop(), second.stop()]);
	}));

	it('keeps the lease through lost answers and a short outage', async () => withPlatform(async fixture => {
		const inCharge = new Set<string>();
		fixture.platform.setFaults({loseTableAnswers: 3});
		const candidate = startCandidate(fixture, 'e1', inCharge);
		await waitUntil(() => inCharge.has('e1'));
		await delay(2 * durations.leaseTtlMs);
		fixture.platform.setFaults({tableDown: true});
		await delay(120);
		fixture.platform.setFaults({});
		await delay(durations.leaseTtlMs);
		assert.equal([candidate.epochs, candidate.lease!.isHeld(), candidate.lease!.authority()], [[1], true, 'table']);
		assert.ok(candidate.lease!.remainingAuthorityMs() <= durations.leaseTtlMs - durations.leaseMarginMs);
		await candidate.stop();
	}));

	it('takes the lease again after its own takeover lapsed before the answer came', async () => withPlatform(async fixture => {
		const inCharge = new Set<string>();
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
					throw createStoreError('answer lost', 'unknown');
				}

				return result;
			},
		};
		const candidate = startCandidate(fixture, 'e1', inCharge, {table});
		await waitUntil(() => inCharge.has('e1'));
		assert.equal(candidate.epochs, [2]);
		await candidate.stop();
	}));

	it('is not held any more by the clock of a holder that was paused', async () => withPlatform(async fixture => {
		const inCharge = new Set<string>();
		let pausedMs = 0;
		const pausable = {nowMs: () => performance.now() + pausedMs};
		const candidate = startCandidate(fixture, 'e1', inCharge, {clock: pausable});
		await waitUntil(() => inCharge.has('e1'));
		const lease = candidate.lease!;
		pausedMs = durations.leaseTtlMs;
		assert.not.ok(lease.isHeld());
		assert.equal([lease.authority(), lease.remainingAuthorityMs()], ['none', 0]);
		await waitUntil(() => inCharge.size === 0);
		await candidate.stop();
	}));

	it('carries the state to the next holder and gives the lease back when the duty fails', async () => withPlatform(async fixture => {
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
