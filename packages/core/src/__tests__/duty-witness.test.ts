import type {HostRecord} from '@hawthorncleat/schema';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	brandAs, createWitnessGroups, dutyAnnouncementRetentionMs, dutyGroupView, DutyWitness, blocksEveryMajority, isMajority, type LeaseEpoch, type WitnessGroup,
} from '../index.js';

const settleMs = 60_000;
const held = {duty: 'roles/s/d1', epoch: brandAs<LeaseEpoch>(4)};
const next = {...held, epoch: brandAs<LeaseEpoch>(5)};

const createEntries = (dataCentres: Readonly<Record<string, readonly string[]>>): HostRecord[] =>
	Object.entries(dataCentres).flatMap(([dataCentre, hostIds]) => hostIds.map((hostId): HostRecord => ({
		hostId, dataCentre, kind: 'entry', address: '127.0.0.1', port: 1, state: 'live',
	})));

const groupOf = (dataCentres: Readonly<Record<string, readonly string[]>>): WitnessGroup =>
	createWitnessGroups({hosts: createEntries(dataCentres), regionOf: () => 'r'})[0]!;

/** The witness `a` with a settled first group. */
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

/** Whether the witness attests at once after a change of its group. */
const attestsAfter = (old: WitnessGroup, changed: WitnessGroup): boolean => {
	const {witness} = createWitness(old);
	witness.setGroup(changed);
	return witness.attest(held, dutyGroupView(changed));
};

describe('witness of duties', () => {
	const three = groupOf({d1: ['a', 'b', 'c']});

	it('attests a holder in its own view while the table is down; guards against evidence of another group', () => {
		const {witness, table} = createWitness(three);
		assert.ok(witness.attest(held, dutyGroupView(three)));
		assert.not.ok(witness.attest(held, 'another'));
		table.isUnreachable = false;
		assert.not.ok(witness.attest(held, dutyGroupView(three)));
	});

	it('refuses earlier epochs after an announcement and not for ever; guards against a dead taker that stops role planning', () => {
		const {witness, time} = createWitness(three);
		witness.announce(next);
		assert.equal([witness.attest(held, dutyGroupView(three)), witness.attest(next, dutyGroupView(three))], [false, true]);
		time.nowMs += dutyAnnouncementRetentionMs + 1;
		assert.ok(witness.attest(held, dutyGroupView(three)));
	});

	it('goes on when one other member is lost or replaced; guards against a host failure that ends role planning', () => {
		assert.ok(attestsAfter(groupOf({d1: ['a'], d2: ['b'], d3: ['c']}), groupOf({d1: ['a'], d2: ['b']})));
		assert.ok(attestsAfter(three, groupOf({d1: ['a', 'b', 'x']})));
	});

	it('settles again when its group could miss a takeover that the old one noted', () => {
		const five = groupOf({d1: ['a', 'b'], d2: ['c', 'd'], d3: ['e']});
		assert.equal(five.witnesses.length, 5);
		assert.not.ok(attestsAfter(five, groupOf({d1: ['a', 'b'], d2: ['c']})), 'two of three may be those that were not needed');
		assert.not.ok(attestsAfter(groupOf({d1: ['a'], d2: ['b']}), groupOf({d1: ['a']})), 'one of two was enough for the taker');
		assert.not.ok(attestsAfter(groupOf({d1: ['a'], d2: ['b']}), groupOf({d1: ['a'], d2: ['b'], d3: ['c']})), 'd3 had other witnesses');
		assert.not.ok(attestsAfter(groupOf({d1: ['x', 'y', 'z']}), three), 'the witness has joined');
	});

	it('settles again also when the group shrinks in steps', () => {
		const {witness} = createWitness(groupOf({d1: ['a', 'b'], d2: ['c', 'd', 'e']}));
		witness.setGroup(groupOf({d1: ['a', 'b'], d2: ['c', 'd']}));
		const small = groupOf({d1: ['a', 'b'], d2: ['c']});
		witness.setGroup(small);
		assert.not.ok(witness.attest(held, dutyGroupView(small)));
	});

	it('needs a witness in common for every size of a group; a single entry is its own majority', () => {
		for (let size = 1; size <= 5; size += 1) {
			const group = groupOf({d1: ['a', 'b', 'c', 'd', 'e'].slice(0, size).slice(0, 2), d2: ['a', 'b', 'c', 'd', 'e'].slice(2, size)});
			for (let noted = 0; noted <= group.witnesses.length; noted += 1) {
				const isMissed = isMajority(group.witnesses.length - noted, group);
				assert.ok(!(blocksEveryMajority(noted, group) && isMissed), `${noted} of ${group.witnesses.length}`);
			}
		}

		assert.ok(blocksEveryMajority(1, groupOf({d1: ['a']})) && isMajority(1, groupOf({d1: ['a']})));
	});
});
