import {performance} from 'node:perf_hooks';
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import type {WitnessGroup} from '@hawthorncleat/core';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {runLease, type Lease, type DutyWitnessClient} from '../index.js';
import {withPlatform, type Fixture} from './with-platform.js';

const durations = {leaseTtlMs: 900, leaseRenewMs: 100, leaseMarginMs: 150};
const clock = {nowMs: () => performance.now()};
const group: WitnessGroup = {
	name: 'g', dataCentres: ['d'], view: 'a', witnesses: [{
		hostId: 'a', dataCentre: 'd', kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
	}],
};

/** Witnesses that can be switched to give no attestations or to record no announcements. */
const createFakeWitnesses = () => {
	const state = {givesAttestations: true, recordsAnnouncements: true, announcedEpochs: [] as number[]};
	const witnesses: DutyWitnessClient = {
		async announce(epoch) {
			state.announcedEpochs.push(epoch);
			return state.recordsAnnouncements;
		},
		attest: async () => ({group, positive: state.givesAttestations ? 1 : 0, sentMs: performance.now()}),
	};
	return {state, witnesses};
};

const startCandidate = (fixture: Fixture, holder: string, witnesses?: DutyWitnessClient) => {
	const controller = new AbortController();
	const tenures: Array<{readonly lease: Lease; readonly signal: AbortSignal}> = [];
	const done = runLease({
		duty: 'roles/s/d', holder, table: fixture.table, clock, makeId: randomUUID, durations, ...(witnesses && {witnesses}),
		async onHeld(lease, signal) {
			tenures.push({lease, signal});
			await delay(60_000, undefined, {signal}).catch(() => undefined);
		},
	}, AbortSignal.any([controller.signal, fixture.signal]));
	return {
		tenures,
		/** Stops without releasing the lease, like a killed process. */
		async kill() {
			fixture.platform.setFaults({tableDown: true});
			controller.abort();
			await done;
			fixture.platform.setFaults({});
		},
		async stop() {
			controller.abort();
			await done;
		},
	};
};

const waitUpTo8Seconds = async (condition: () => boolean): Promise<void> => waitUntil(condition, {limitMs: 8000});

describe('lease during a table outage', () => {
	it('keeps its authority while the witnesses attest it and ends when the table can be read again; guards against a duty that stops with its lease', async () => withPlatform(async fixture => {
		const {state, witnesses} = createFakeWitnesses();
		const candidate = startCandidate(fixture, 'e1', witnesses);
		await waitUpTo8Seconds(() => candidate.tenures.length === 1);
		const {lease, signal} = candidate.tenures[0]!;
		assert.equal([lease.authority(), state.announcedEpochs], ['table', []], 'the takeover of a lease that was never held is not announced');
		fixture.platform.setFaults({tableDown: true});
		await delay(4 * durations.leaseTtlMs);
		assert.equal([lease.isHeld(), lease.authority(), signal.aborted], [false, 'outage', false]);
		assert.ok(lease.remainingAuthorityMs() > 0 && lease.remainingAuthorityMs() <= 2000);
		fixture.platform.setFaults({});
		await waitUpTo8Seconds(() => signal.aborted);
		await waitUpTo8Seconds(() => candidate.tenures.length === 2);
		assert.equal([lease.authority(), lease.remainingAuthorityMs()], ['none', 0]);
		assert.equal([candidate.tenures[1]!.lease.epoch, state.announcedEpochs], [2, []], 'the takeover of a released lease is not announced');
		await candidate.stop();
	}));

	it('stops the duty for good when the witnesses no longer attest it; guards against two holders of one duty', async () => withPlatform(async fixture => {
		const {state, witnesses} = createFakeWitnesses();
		const candidate = startCandidate(fixture, 'e1', witnesses);
		await waitUpTo8Seconds(() => candidate.tenures.length === 1);
		const {lease, signal} = candidate.tenures[0]!;
		fixture.platform.setFaults({tableDown: true});
		await waitUpTo8Seconds(() => lease.authority() === 'outage');
		state.givesAttestations = false;
		await waitUpTo8Seconds(() => signal.aborted);
		state.givesAttestations = true;
		await delay(1000);
		assert.equal([lease.authority(), candidate.tenures.length], ['none', 1]);
		await candidate.stop();
	}));

	it('ends with the lease if there is no client of the witnesses', async () => withPlatform(async fixture => {
		const candidate = startCandidate(fixture, 'e1');
		await waitUpTo8Seconds(() => candidate.tenures.length === 1);
		const {lease, signal} = candidate.tenures[0]!;
		fixture.platform.setFaults({tableDown: true});
		await waitUpTo8Seconds(() => signal.aborted);
		assert.equal([lease.isHeld(), lease.authority()], [false, 'none']);
		await candidate.stop();
	}));

	it('is not taken from a killed holder until the witnesses have recorded the announcement', async () => withPlatform(async fixture => {
		const first = startCandidate(fixture, 'e1', createFakeWitnesses().witnesses);
		await waitUpTo8Seconds(() => first.tenures.length === 1);
		await first.kill();
		const {state, witnesses} = createFakeWitnesses();
		state.recordsAnnouncements = false;
		const second = startCandidate(fixture, 'e2', witnesses);
		await waitUpTo8Seconds(() => state.announcedEpochs.length > 1);
		assert.equal([second.tenures.length, state.announcedEpochs.every(epoch => epoch === 2)], [0, true]);
		state.recordsAnnouncements = true;
		await waitUpTo8Seconds(() => second.tenures.length === 1);
		await second.stop();
	}));
});
