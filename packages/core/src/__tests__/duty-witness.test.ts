import type {HostRecord} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	brandAs, createWitnessGroups, dutyAnnouncementRetentionMs, dutyGroupView, DutyWitness, blocksEveryMajority, isMajority, type LeaseEpoch, type WitnessGroup,
} from '../index.js';

const settleMs = 60_000;
const heldEpoch = {duty: 'roles/s/d1', epoch: brandAs<LeaseEpoch>(4)};
const nextEpoch = {...heldEpoch, epoch: brandAs<LeaseEpoch>(5)};

const createEntries = (dataCentres: Readonly<Record<string, readonly string[]>>): HostRecord[] =>
	Object.entries(dataCentres).flatMap(([dataCentre, hostIds]) => hostIds.map((hostId): HostRecord => ({
		hostId, dataCentre, kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
	})));

const groupOf = (dataCentres: Readonly<Record<string, readonly string[]>>): WitnessGroup =>
	createWitnessGroups({hosts: createEntries(dataCentres), regionOf: () => 'r'})[0]!;

/** The witness `a`, whose settling period has ended. */
const createWitness = (group: WitnessGroup) => {
	const time = {nowMs: 0};
	const table = {isUnreachable: true};
	const witness = new DutyWitness({
		clock: {nowMs: () => time.nowMs}, entryId: 'a', isStoreUnreachable: () => table.isUnreachable, witnessSettleMs: settleMs,
	});
	witness.setGroup(group);
	time.nowMs = settleMs;
	return {witness, time, table};
};

/** Whether the witness attests directly after its group has changed. */
const attestsAfter = (oldGroup: WitnessGroup, newGroup: WitnessGroup): boolean => {
	const {witness} = createWitness(oldGroup);
	witness.setGroup(newGroup);
	return witness.attest(heldEpoch, dutyGroupView(newGroup));
};

describe('witness of duties', () => {
	const groupOfThree = groupOf({d1: ['a', 'b', 'c']});

	it('attests only to a holder with the same group and only during a table outage; guards against answers that do not make up a majority of one group', () => {
		const {witness, table} = createWitness(groupOfThree);
		assert.ok(witness.attest(heldEpoch, dutyGroupView(groupOfThree)));
		assert.not.ok(witness.attest(heldEpoch, 'another'));
		table.isUnreachable = false;
		assert.not.ok(witness.attest(heldEpoch, dutyGroupView(groupOfThree)));
	});

	it('refuses earlier epochs for a limited time after an announcement; guards against role planning that stops because a process died after its announcement', () => {
		const {witness, time} = createWitness(groupOfThree);
		witness.announce(nextEpoch);
		assert.equal([witness.attest(heldEpoch, dutyGroupView(groupOfThree)), witness.attest(nextEpoch, dutyGroupView(groupOfThree))], [false, true]);
		time.nowMs += dutyAnnouncementRetentionMs + 1;
		assert.ok(witness.attest(heldEpoch, dutyGroupView(groupOfThree)));
	});

	it('attests without a new settling period after one other member is lost or replaced; guards against a host failure that ends role planning', () => {
		assert.ok(attestsAfter(groupOf({d1: ['a'], d2: ['b'], d3: ['c']}), groupOf({d1: ['a'], d2: ['b']})));
		assert.ok(attestsAfter(groupOfThree, groupOf({d1: ['a', 'b', 'x']})));
	});

	it('starts a settling period when a majority of its new group may have missed the announcement of a takeover', () => {
		const five = groupOf({d1: ['a', 'b'], d2: ['c', 'd'], d3: ['e']});
		assert.equal(five.witnesses.length, 5);
		assert.not.ok(attestsAfter(five, groupOf({d1: ['a', 'b'], d2: ['c']})), 'two of the three may not have recorded the takeover');
		assert.not.ok(attestsAfter(groupOf({d1: ['a'], d2: ['b']}), groupOf({d1: ['a']})), 'a record at the other witness was enough for the takeover');
		assert.not.ok(attestsAfter(groupOf({d1: ['a'], d2: ['b']}), groupOf({d1: ['a'], d2: ['b'], d3: ['c']})), 'd3 had other witnesses');
		assert.not.ok(attestsAfter(groupOf({d1: ['x', 'y', 'z']}), groupOfThree), 'the witness has joined');
	});

	it('starts a settling period also when the group shrinks by one witness at a time', () => {
		const {witness} = createWitness(groupOf({d1: ['a', 'b'], d2: ['c', 'd', 'e']}));
		witness.setGroup(groupOf({d1: ['a', 'b'], d2: ['c', 'd']}));
		const small = groupOf({d1: ['a', 'b'], d2: ['c']});
		witness.setGroup(small);
		assert.not.ok(witness.attest(heldEpoch, dutyGroupView(small)));
	});

	it('shares a member between any announcement and any majority, for every size of a group; a single entry is its own majority', () => {
		for (let size = 1; size <= 5; size += 1) {
			const group = groupOf({d1: ['a', 'b', 'c', 'd', 'e'].slice(0, size).slice(0, 2), d2: ['a', 'b', 'c', 'd', 'e'].slice(2, size)});
			for (let notedCount = 0; notedCount <= group.witnesses.length; notedCount += 1) {
				const isMissed = isMajority(group.witnesses.length - notedCount, group);
				assert.ok(!(blocksEveryMajority(notedCount, group) && isMissed), `${notedCount} of ${group.witnesses.length}`);
			}
		}

		assert.ok(blocksEveryMajority(1, groupOf({d1: ['a']})) && isMajority(1, groupOf({d1: ['a']})));
	});
});
