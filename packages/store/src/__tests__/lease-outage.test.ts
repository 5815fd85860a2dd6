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

/** Witnesses that may be told to attest nothing or to note nothing. */
const createWitnesses = () => {
	const state = {attests: true, notes: true, announced: [] as number[]};
	const outage: DutyWitnessClient = {
		async announce(epoch) {
			state.announced.push(epoch);
			return state.notes;
		},
		attest: async () => ({group, positive: state.attests ? 1 : 0, sentMs: performance.now()}),
	};
	return {state, outage};
};

const start = (fixture: Fixture, holder: string, outage?: DutyWitnessClient) => {
	const controller = new AbortController();
	const tenures: Array<{readonly lease: Lease; readonly signal: AbortSignal}> = [];
	const done = runLease({
		duty: 'roles/s/d', holder, table: fixture.table, clock, makeId: randomUUID, durations, ...(outage && {witnesses: outage}),
		async onHeld(lease, signal) {
			tenures.push({lease, signal});
			await delay(60_000, undefined, {signal}).catch(() => undefined);
		},
	}, AbortSignal.any([controller.signal, fixture.signal]));
	return {
		tenures,
		/** Stops without giving the lease back, like a killed process. */
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

const waitLonger = async (condition: () => boolean): Promise<void> => waitUntil(condition, {limitMs: 8000});

describe('lease during a table outage', () => {
	it('keeps its authority while the witnesses attest it and ends when the table is back; guards against planning that stops with the lease', async () => withPlatform(async fixture => {
		const {state, outage} = createWitnesses();
		const candidate = start(fixture, 'e1', outage);
		await waitLonger(() => candidate.tenures.length === 1);
		const {lease, signal} = candidate.tenures[0]!;
		assert.equal([lease.authority(), state.announced], ['table', []], 'a lease that nobody held is not announced');
		fixture.platform.setFaults({tableDown: true});
		await delay(4 * durations.leaseTtlMs);
		assert.equal([lease.isHeld(), lease.authority(), signal.aborted], [false, 'outage', false]);
		assert.ok(lease.remainingAuthorityMs() > 0 && lease.remainingAuthorityMs() <= 2000);
		fixture.platform.setFaults({});
		await waitLonger(() => signal.aborted);
		await waitLonger(() => candidate.tenures.length === 2);
		assert.equal([lease.authority(), lease.remainingAuthorityMs()], ['none', 0]);
		assert.equal([candidate.tenures[1]!.lease.epoch, state.announced], [2, []], 'it was given back');
		await candidate.stop();
	}));

	it('stops the duty when the witnesses no longer attest it, and does not revive; guards against two planners', async () => withPlatform(async fixture => {
		const {state, outage} = createWitnesses();
		const candidate = start(fixture, 'e1', outage);
		await waitLonger(() => candidate.tenures.length === 1);
		const {lease, signal} = candidate.tenures[0]!;
		fixture.platform.setFaults({tableDown: true});
		await waitLonger(() => lease.authority() === 'outage');
		state.attests = false;
		await waitLonger(() => signal.aborted);
		state.attests = true;
		await delay(1000);
		assert.equal([lease.authority(), candidate.tenures.length], ['none', 1]);
		await candidate.stop();
	}));

	it('ends with the lease without such functions', async () => withPlatform(async fixture => {
		const candidate = start(fixture, 'e1');
		await waitLonger(() => candidate.tenures.length === 1);
		const {lease, signal} = candidate.tenures[0]!;
		fixture.platform.setFaults({tableDown: true});
		await waitLonger(() => signal.aborted);
		assert.equal([lease.isHeld(), lease.authority()], [false, 'none']);
		await candidate.stop();
	}));

	it('is not taken from a holder that was killed until the witnesses have noted it', async () => withPlatform(async fixture => {
		const first = start(fixture, 'e1', createWitnesses().outage);
		await waitLonger(() => first.tenures.length === 1);
		await first.kill();
		const {state, outage} = createWitnesses();
		state.notes = false;
		const second = start(fixture, 'e2', outage);
		await waitLonger(() => state.announced.length > 1);
		assert.equal([second.tenures.length, state.announced.every(epoch => epoch === 2)], [0, true]);
		state.notes = true;
		await waitLonger(() => second.tenures.length === 1);
		await second.stop();
	}));
});
