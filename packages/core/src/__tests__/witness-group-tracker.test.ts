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

/** An entry in data centre d1 that cannot reach the store and whose settling period as a witness, by the first host list, has ended. */
const createSettledWitness = (entryId: string, first: Entries) => {
	const clock = createManualClock(1000);
	const freshness = new FreshnessTracker({clock, localVersion: () => 5});
	const witness = new Witness({
		clock, incarnation: 'i', freshness, localVersion: () => 5, isStoreUnreachable: () => true,
	});
	const tracker = new WitnessGroupTracker(entryId);
	const applyHostList = (entries: Entries): void => {
		const allGroups = groupsOf(entries);
		const ownGroup = findOwnGroup(allGroups, {dataCentre: 'd1', region: 'r'});
		witness.setView(ownGroup?.view ?? '', tracker.update(allGroups, ownGroup));
	};

	applyHostList(first);
	clock.advance(witnessSettleMs);
	freshness.recordRead(clock.nowMs(), 5);
	assert.ok(witness.mayAttest());
	return {applyHostList, witness};
};

const attestsAfter = (first: Entries, ...later: Entries[]): boolean => {
	const {applyHostList, witness} = createSettledWitness('a', first);
	for (const entries of later) {
		applyHostList(entries);
	}

	return witness.mayAttest();
};

describe('a change of the witness group', () => {
	it('starts a settling period if a majority of the new group may have missed an announcement; guards against a withdrawn key that is still admitted', () => {
		assert.not(attestsAfter({d1: ['a', 'b', 'c']}, {d1: ['a']}));
		assert.not(attestsAfter({d1: ['a', 'b'], d2: ['c', 'd'], d3: ['e']}, {d1: ['a', 'b'], d2: ['c']}));
		assert.not(attestsAfter({d1: ['a', 'b'], d2: ['c', 'd'], d3: ['e']}, {d1: ['a', 'b'], d2: ['c', 'd']}, {d1: ['a', 'b'], d2: ['c']}));
	});

	it('starts a settling period if the group gains a data centre that had a group of its own; guards against announcements to that group only', () => {
		assert.not(attestsAfter({d1: ['a', 'b'], d2: ['c', 'd', 'e']}, {d1: ['a', 'b'], d2: ['c', 'd']}));
	});

	it('starts no settling period if the group loses a member but keeps its overlap with announcements; guards against rejected keyed requests after each lost host during an outage', () => {
		assert.ok(attestsAfter({d1: ['a', 'b'], d2: ['c', 'd'], d3: ['e']}, {d1: ['a', 'b'], d2: ['c', 'd']}));
		assert.ok(attestsAfter({d1: ['a'], d2: ['b']}, {d1: ['a']}));
		assert.ok(attestsAfter({d1: ['a', 'b', 'c']}, {d1: ['a', 'b']}));
		assert.ok(attestsAfter({d1: ['a'], d2: ['b']}, {d1: ['a']}, {d1: ['a'], d2: ['f']}));
	});
});
