import type {HostRecord} from '@hawthorncleat/schema';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	createWitnessGroups, findOwnGroup, FreshnessTracker, WitnessGroupTracker, Witness, witnessSettleMs,
} from '../index.js';

type Entries = Readonly<Record<string, readonly string[]>>;

const groupsOf = (entries: Entries) => createWitnessGroups({
	hosts: Object.entries(entries).flatMap(([dataCentre, hostIds]) => hostIds.map((hostId): HostRecord => ({
		hostId, dataCentre, kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
	}))),
	regionOf: () => 'r',
});

/** An entry in data centre d1 that has settled as a witness of the first list and no longer reaches the store. */
const createSettledWitness = (entryId: string, first: Entries) => {
	const clock = createManualClock(1000);
	const freshness = new FreshnessTracker({clock, localVersion: () => 5});
	const witness = new Witness({
		clock, incarnation: 'i', freshness, localVersion: () => 5, isStoreUnreachable: () => true,
	});
	const change = new WitnessGroupTracker(entryId);
	const follow = (entries: Entries): void => {
		const all = groupsOf(entries);
		const own = findOwnGroup(all, {dataCentre: 'd1', region: 'r'});
		witness.setView(own?.view ?? '', change.update(all, own));
	};

	follow(first);
	clock.advance(witnessSettleMs);
	freshness.recordRead(clock.nowMs(), 5);
	assert.ok(witness.mayAttest());
	return {follow, witness};
};

const attestsAfter = (first: Entries, ...later: Entries[]): boolean => {
	const {follow, witness} = createSettledWitness('a', first);
	for (const entries of later) {
		follow(entries);
	}

	return witness.mayAttest();
};

describe('a change of the witness group', () => {
	it('that leaves a majority which a writer need not have reached ends attestation; guards against a withdrawn key that stays admitted', () => {
		assert.not(attestsAfter({d1: ['a', 'b', 'c']}, {d1: ['a']}));
		assert.not(attestsAfter({d1: ['a', 'b'], d2: ['c', 'd'], d3: ['e']}, {d1: ['a', 'b'], d2: ['c']}));
		assert.not(attestsAfter({d1: ['a', 'b'], d2: ['c', 'd'], d3: ['e']}, {d1: ['a', 'b'], d2: ['c', 'd']}, {d1: ['a', 'b'], d2: ['c']}));
	});

	it('that takes over a data centre with a group of its own ends attestation; guards against its unknown announcements', () => {
		assert.not(attestsAfter({d1: ['a', 'b'], d2: ['c', 'd', 'e']}, {d1: ['a', 'b'], d2: ['c', 'd']}));
	});

	it('that is smaller leaves attestation as it is; guards against an outage that stops keyed requests at each lost host', () => {
		assert.ok(attestsAfter({d1: ['a', 'b'], d2: ['c', 'd'], d3: ['e']}, {d1: ['a', 'b'], d2: ['c', 'd']}));
		assert.ok(attestsAfter({d1: ['a'], d2: ['b']}, {d1: ['a']}));
		assert.ok(attestsAfter({d1: ['a', 'b', 'c']}, {d1: ['a', 'b']}));
		assert.ok(attestsAfter({d1: ['a'], d2: ['b']}, {d1: ['a']}, {d1: ['a'], d2: ['f']}));
	});
});
