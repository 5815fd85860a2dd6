import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {LeaseHolder, defaultLeaseDurations, LeaseTaker} from '../index.js';
import {findViolation, stepKind} from './schedules.js';

type Row = {version: number; holder: number; writeId: number; epochVersion: number};

/** A request under way. `seen` is what the table answered; without it the request has not arrived yet. */
type Flight = {
	readonly kind: 'read' | 'take' | 'renew' | 'effect';
	readonly sender: number;
	readonly sentMs: number;
	readonly version: number;
	readonly writeId: number;
	seen?: {readonly row: Row; readonly applied: boolean};
	isAwaited: boolean;
};

type Member = {
	taker: LeaseTaker;
	holder?: LeaseHolder | undefined;
	version: number;
	epochVersion: number;
	lastTake: {readonly writeId: number; readonly sentMs: number};
};

type World = {
	nowMs: number;
	row: Row;
	nextWriteId: number;
	flights: Flight[];
	readonly members: Member[];
	/** The planted fault. */
	readonly countsFromAnswer: boolean;
	readonly checksEpoch: boolean;
};

const isHeld = ({nowMs}: World, member: Member): boolean => member.holder?.isHeld(nowMs) ?? false;

const send = (world: World, sender: number, kind: Flight['kind'], version = 0): Flight => {
	world.nextWriteId += 1;
	const flight: Flight = {
		kind, sender, sentMs: world.nowMs, version, writeId: world.nextWriteId, isAwaited: true,
	};
	world.flights.push(flight);
	return flight;
};

const applyWrite = (world: World, {kind, sender, writeId}: Flight): void => {
	const {row} = world;
	world.row = {
		version: row.version + 1, holder: sender, writeId, epochVersion: row.epochVersion + (kind === 'take' ? 1 : 0),
	};
};

const applyEffect = (world: World, {sender, version}: Flight): boolean => {
	const applied = !world.checksEpoch || world.row.epochVersion === version;
	assert.ok(!applied || world.row.holder === sender, 'an effect of a former holder');
	return applied;
};

const arrive = (world: World, index: number): void => {
	const waiting = world.flights.filter(flight => !flight.seen);
	const flight = waiting[index % Math.max(1, waiting.length)];
	if (!flight) {
		return;
	}

	let applied = false;
	if (flight.kind === 'effect') {
		applied = applyEffect(world, flight);
	} else if (flight.kind !== 'read' && world.row.version === flight.version) {
		applied = true;
		applyWrite(world, flight);
	}

	flight.seen = {row: {...world.row}, applied};
};

const begin = (world: World, member: Member, row: Row, sentMs: number): void => {
	const holder = new LeaseHolder(defaultLeaseDurations, world.countsFromAnswer ? world.nowMs : sentMs);
	if (holder.isHeld(world.nowMs)) {
		member.holder = holder;
		member.version = row.version;
		member.epochVersion = row.epochVersion;
	}
};

const receiveRead = (world: World, sender: number, row: Row): void => {
	const member = world.members[sender]!;
	if (isHeld(world, member)) {
		// A renewal with a lost answer: the version is read if the epoch is still the own one.
		member.version = row.epochVersion === member.epochVersion ? row.version : member.version;
		return;
	}

	if (row.writeId === member.lastTake.writeId) {
		begin(world, member, row, member.lastTake.sentMs);
	}

	const observation = {version: row.version, released: row.holder === -1};
	if (!isHeld(world, member) && member.taker.observe(observation, world.nowMs)) {
		const {writeId, sentMs} = send(world, sender, 'take', row.version);
		member.lastTake = {writeId, sentMs};
	}
};

const answer = (world: World, index: number): void => {
	const answered = world.flights.filter(flight => flight.seen);
	const flight = answered[index % Math.max(1, answered.length)];
	if (!flight) {
		return;
	}

	world.flights = world.flights.filter(other => other !== flight);
	const {kind, sender, sentMs, seen, isAwaited} = flight;
	const member = world.members[sender]!;
	if (!isAwaited) {
		return;
	}

	if (kind === 'read') {
		receiveRead(world, sender, seen!.row);
	} else if (seen!.applied && kind === 'take') {
		begin(world, member, seen!.row, sentMs);
	} else if (seen!.applied && kind === 'renew' && isHeld(world, member)) {
		member.holder!.recordRenewal(sentMs, world.nowMs);
		member.version = seen!.row.version;
	}
};

const lose = (world: World, index: number): void => {
	const flight = world.flights[index % Math.max(1, world.flights.length)];
	if (flight) {
		flight.isAwaited = false;
	}
};

const act = (world: World, sender: number, kind: 'renew' | 'effect'): void => {
	const member = world.members[sender]!;
	if (isHeld(world, member)) {
		send(world, sender, kind, kind === 'renew' ? member.version : member.epochVersion);
	}
};

const createMember = (): Member => ({
	taker: new LeaseTaker(defaultLeaseDurations), version: 0, epochVersion: 0, lastTake: {writeId: -1, sentMs: 0},
});

const search = (faults: {readonly countsFromAnswer?: boolean; readonly checksEpoch?: boolean}): string | undefined => findViolation<World>({
	seed: 20_262,
	runs: 6000,
	steps: 300,
	createWorld: () => ({
		nowMs: 0,
		row: {
			version: 1, holder: -1, writeId: 0, epochVersion: 1,
		},
		nextWriteId: 0,
		flights: [],
		members: [createMember(), createMember()],
		countsFromAnswer: faults.countsFromAnswer ?? false,
		checksEpoch: faults.checksEpoch ?? true,
	}),
	kinds: [
		stepKind('advance', [4], (world, size) => {
			world.nowMs += [100, 1500, 3000, 4500][size]!;
		}),
		stepKind('read', [2], (world, sender) => {
			send(world, sender, 'read');
		}),
		stepKind('arrive', [4], arrive),
		stepKind('answer', [4], answer),
		stepKind('read and answer', [2], (world, sender) => {
			const flight = send(world, sender, 'read');
			flight.seen = {row: {...world.row}, applied: false};
			answer(world, world.flights.filter(({seen}) => seen).length - 1);
		}),
		stepKind('lose', [8], lose),
		stepKind('renew', [2], (world, sender) => {
			act(world, sender, 'renew');
		}),
		stepKind('effect', [2], (world, sender) => {
			act(world, sender, 'effect');
		}),
	],
	check(world) {
		assert.ok(world.members.filter(member => isHeld(world, member)).length <= 1, 'two holders');
	},
});

describe('leases under random schedules', () => {
	it('has one holder and no effect of a former one, whatever is paused, lost or slow', () => {
		assert.is(search({}), undefined);
	});

	it('would notice a holder that counts its expiry from the answer', () => {
		assert.match(search({countsFromAnswer: true}) ?? '', 'two holders');
	});

	it('would notice effects that do not check the epoch row', () => {
		assert.match(search({checksEpoch: false}) ?? '', 'an effect of a former holder');
	});
});
