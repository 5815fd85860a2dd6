import type {FreshnessAnswer, HostRecord} from '@hawthorncleat/schema';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	announcementTimeoutMs, combineFreshnessAnswers, createWitnessGroups, findOwnGroup, FreshnessTracker, Witness, witnessSettleMs,
} from '../index.js';

const createEntry = (version = 5) => {
	const clock = createManualClock(1000);
	const entryState = {version, createUnreachableAnswers: true};
	const freshness = new FreshnessTracker({clock, localVersion: () => entryState.version});
	const witness = new Witness({
		clock,
		incarnation: 'a',
		freshness,
		localVersion: () => entryState.version,
		isStoreUnreachable: () => entryState.createUnreachableAnswers,
	});
	witness.setView('view', false);
	return {
		clock, state: entryState, freshness, witness,
	};
};

/** An entry whose settling period as a witness has ended, because it has read the head long enough after its start. */
const createSettledEntry = () => {
	const entry = createEntry();
	entry.clock.advance(witnessSettleMs);
	entry.freshness.recordRead(entry.clock.nowMs(), 5);
	entry.witness.mayAttest();
	return entry;
};

const createHost = (hostId: string, dataCentre: string): HostRecord => ({
	hostId, dataCentre, kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
});

describe('freshness', () => {
	it('is not proven at the start; guards against a restarted entry that accepts withdrawn keys', () => {
		assert.not(createEntry().freshness.hasValidProof());
	});

	it('is proven by a read for 4 s and not longer; guards against a withdrawn key that works on at a partitioned entry', () => {
		const {clock, freshness} = createEntry();
		freshness.recordRead(clock.nowMs(), 5);
		clock.advance(4000);
		assert.ok(freshness.hasValidProof());
		clock.advance(1);
		assert.not(freshness.hasValidProof());
	});

	it('is not proven by a read of a version that is not active here yet', () => {
		const {clock, state, freshness} = createEntry();
		freshness.recordRead(clock.nowMs(), 6);
		assert.not(freshness.hasValidProof());
		state.version = 6;
		assert.ok(freshness.hasValidProof());
	});

	it('dates a relayed proof by its age at the peer', () => {
		const {clock, freshness} = createEntry();
		freshness.recordRelayedProof(clock.nowMs(), {basis: 'read', ageMs: 3000, version: 5});
		clock.advance(1001);
		assert.not(freshness.hasValidProof());
	});

	it('is proven by an attestation for 2 s only', () => {
		const {clock, freshness} = createEntry();
		freshness.recordAttestation(clock.nowMs(), 5);
		clock.advance(2000);
		assert.ok(freshness.hasValidProof());
		clock.advance(1);
		assert.not(freshness.hasValidProof());
	});
});

describe('witness', () => {
	it('attests only after a proof that is dated after its settling period, because a restart loses announcements', () => {
		const {clock, freshness, witness} = createEntry();
		clock.advance(witnessSettleMs);
		assert.not(witness.mayAttest());
		freshness.recordRelayedProof(clock.nowMs(), {basis: 'attestation', ageMs: 1, version: 5});
		assert.not(witness.mayAttest());
		clock.advance(10);
		freshness.recordRelayedProof(clock.nowMs(), {basis: 'attestation', ageMs: 1, version: 5});
		assert.ok(witness.mayAttest());
	});

	it('does not attest while a publication is pending, even after a read of the older version', () => {
		const {clock, freshness, witness} = createSettledEntry();
		witness.announce('p1', 6, 'view');
		freshness.recordRead(clock.nowMs(), 5);
		assert.not(witness.mayAttest());
	});

	it('attests again once the announced version is active or its publication was abandoned', () => {
		const {state, witness} = createSettledEntry();
		witness.announce('p1', 6, 'view');
		witness.finish('p1', 'accepted', 6);
		assert.not(witness.mayAttest());
		state.version = 6;
		assert.ok(witness.mayAttest());
		witness.announce('p2', 7, 'view');
		witness.finish('p2', 'abandoned', 6);
		assert.ok(witness.mayAttest());
	});

	it('retains the announcement of a written version, because its writer and the store may stay unreachable', () => {
		const {clock, state, witness} = createSettledEntry();
		witness.announce('p1', 6, 'view');
		witness.finish('p1', 'accepted', 6);
		clock.advance(10 * announcementTimeoutMs);
		assert.not(witness.mayAttest());
		state.version = 6;
		assert.ok(witness.mayAttest());
	});

	it('changes its incarnation when an announcement expires, so that a slow writer does not rely on it', () => {
		const {clock, witness} = createSettledEntry();
		const {incarnation} = witness.announce('p1', 6, 'view');
		clock.advance(announcementTimeoutMs + 1);
		assert.ok(witness.mayAttest());
		assert.is.not(witness.incarnation, incarnation);
	});

	it('rejects announcements and requests with another list of witnesses', () => {
		const {clock, witness} = createSettledEntry();
		clock.advance(4001);
		assert.not(witness.announce('p1', 6, 'other view').noted);
		assert.equal(witness.answer('other view'), {kind: 'none'});
	});

	it('starts a settling period after it has joined, so that writers with the older list have finished', () => {
		const {clock, freshness, witness} = createSettledEntry();
		witness.setView('second view', false);
		assert.ok(witness.mayAttest());
		witness.setView('third view', true);
		freshness.recordRead(clock.nowMs(), 5);
		assert.not(witness.mayAttest());
		clock.advance(witnessSettleMs);
		freshness.recordRead(clock.nowMs(), 5);
		assert.ok(witness.mayAttest());
	});

	it('attests an outage while its last read is still valid; guards against an interval without proof before the first attestation', () => {
		const {clock, witness} = createSettledEntry();
		for (const passedMs of [30, 1969, 1, 2000]) {
			clock.advance(passedMs);
			assert.equal(witness.answer('view'), {kind: 'unreachable', version: 5});
		}
	});

	it('relays a read with its age', () => {
		const {clock, state, witness} = createSettledEntry();
		state.createUnreachableAnswers = false;
		clock.advance(30);
		assert.equal(witness.answer('view'), {
			kind: 'evidence', basis: 'read', ageMs: 30, version: 5,
		});
	});
});

describe('witness groups', () => {
	const hosts = [
		...['a', 'b', 'c', 'd'].map(id => createHost(id, 'large')),
		createHost('e', 'small-1'),
		createHost('f', 'small-2'),
	];
	const groups = createWitnessGroups({hosts, regionOf: () => 'west'});
	const [large, merged] = groups.map(group => group.witnesses.map(witness => witness.hostId));
	const unreachable = (ids: readonly string[]): Map<string, FreshnessAnswer> =>
		new Map(ids.map((id, index) => [id, {kind: 'unreachable', version: 8 + index}]));

	it('gives a large data centre a group of its own and merges small ones', () => {
		assert.equal(groups.map(group => [group.name, group.witnesses.length]), [
			['data-centre/large', 3],
			['region/west', 2],
		]);
		assert.is(findOwnGroup(groups, {dataCentre: 'small-1', region: 'west'})?.name, 'region/west');
	});

	it('needs a majority of every group, because a writer announces to a majority of one', () => {
		assert.is(combineFreshnessAnswers(groups, unreachable([...large!.slice(1), ...merged!])), 11);
		assert.is(combineFreshnessAnswers(groups, unreachable([...large!, merged![0]!])), undefined);
		assert.is(combineFreshnessAnswers(groups, unreachable([large![0]!, ...merged!])), undefined);
		assert.is(combineFreshnessAnswers([], unreachable(large!)), undefined);
	});
});
