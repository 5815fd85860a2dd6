import {
	createManualClock, describe, it, waitUntil,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {CorrectedClock} from '../../store/corrected-clock.js';
import {DecisionLog} from '../../telemetry/decision-log.js';
import {maintainOwnRow, Membership, type Member} from '../membership.js';
import type {RowStore} from '../../ports.js';

const entries = 27;
/** The users' retry window: what silent peers spent shortly before they fell silent still counts for this time. */
const windowMs = 10_000;

type Fixture = {readonly members: Membership; readonly clock: ReturnType<typeof createManualClock>; hearAll(): void};
type Rows = Parameters<Membership['apply']>[0];

const ownAddresses = {address: '127.0.0.1', gossipPort: 1, peerPort: 2};
/** A snapshot of a store that has lost all member rows. */
const emptySnapshot = {rows: []} as unknown as Rows;

/** An entry that has read the rows of all entries and has received no message yet. */
const createMembers = (): Fixture => {
	const clock = createManualClock(100_000);
	const lastSeenMs = new Map<string, number>();
	const members = new Membership(clock, 'e0', name => lastSeenMs.get(name));
	const names = Array.from({length: entries}, (_, index) => `e${index}`);
	members.apply({
		rows: names.map(key => ({
			key,
			value: JSON.stringify({
				address: '127.0.0.1', gossipPort: 1, peerPort: 2, wallOffsetMs: 0,
			}),
			version: 1,
		})),
	} as unknown as Rows, true);
	return {
		members,
		clock,
		hearAll() {
			for (const name of names) {
				lastSeenMs.set(name, clock.nowMs());
			}
		},
	};
};

describe('the number of entries that share the limits', () => {
	it('includes peers that fell silent within the retry window; guards against entries behind a cut that each use the shares of all others', () => {
		const {members, clock, hearAll} = createMembers();
		hearAll();
		assert.is(members.sharingCount(), entries);
		for (let passedMs = 0; passedMs < windowMs; passedMs += 1000) {
			clock.advance(1000);
			assert.is(members.sharingCount(), entries);
		}

		assert.is(members.liveCount(), 1);
	});

	it('includes the registered peers right after the start; guards against an entry that has started and uses the shares of all others until it hears them', () => {
		const {members} = createMembers();
		assert.is(members.liveCount(), 1);
		assert.is(members.sharingCount(), entries);
	});

	it('follows the live entries after a minute; guards against an entry that keeps the shares of peers that are gone', () => {
		const {members, clock, hearAll} = createMembers();
		hearAll();
		members.sharingCount();
		clock.advance(61_000);
		assert.is(members.sharingCount(), 1);
	});
});

describe('the members after the return of the store from a copy', () => {
	// A snapshot replaced all members, also those whose rows the store had lost.
	it('stay although their rows are lost; guards against an entry without peers, retry shares and clock offsets', () => {
		const {members} = createMembers();
		members.recordStoreReturn();
		members.apply(emptySnapshot, true);
		assert.is(members.peers().length, entries - 1);
		assert.is(members.wallOffsets().length, entries);
	});

	it('go when their rows are still missing after they had time to write them; guards against members that are gone and count for ever', () => {
		const {members, clock} = createMembers();
		members.recordStoreReturn();
		clock.advance(5100);
		members.apply(emptySnapshot, true);
		assert.is(members.peers().length, 0);
	});

	// The own row counted as written, because this entry remembered it.
	it('write their rows again until the store has taken them; guards against an entry that others no longer know', async () => {
		const {members} = createMembers();
		assert.ok(members.hasOwnRow(ownAddresses));
		members.recordStoreReturn();
		members.apply(emptySnapshot, true);
		assert.not.ok(members.hasOwnRow(ownAddresses));
		const write = async (fails: boolean): Promise<void> => members.writeOwnRow({
			async write() {
				assert.not.ok(fails, 'the store is away');
			},
		} as unknown as RowStore, {...ownAddresses, wallOffsetMs: 0}).catch(() => undefined);
		await write(true);
		assert.not.ok(members.hasOwnRow(ownAddresses));
		await write(false);
		assert.ok(members.hasOwnRow(ownAddresses));
	});
});

/** Rows of a store that rejects the first write. */
const createRejectingRows = (onWrite: () => void): RowStore => {
	let calls = 0;
	return {
		async write() {
			calls += 1;
			if (calls === 1) {
				throw new Error('the store rejects the call');
			}

			onWrite();
		},
	} as unknown as RowStore;
};

type Clocks = {readonly store: {nowMs: number}; readonly wall: {nowMs: number}};
/** What happens to the clocks at the return, and how often the row is written before it. */
type ReturnPlan = {readonly writesAtStart: number; readonly change: (clocks: Clocks) => void};

describe('member rows of other writers', () => {
	// A datagram to a port that does not exist is an exception of the sender, and no peer behind it in the list got any.
	it('name no peer if their address or port is none; guards against gossip that stops because of one row', () => {
		const {members} = createMembers();
		const before = members.peers().length;
		const row = {
			address: '127.0.0.1', gossipPort: 1, peerPort: 2, wallOffsetMs: 0,
		};
		const damaged = [{address: ''}, {address: 'host'}, {gossipPort: 0}, {gossipPort: 70_000}, {gossipPort: 1.5}, {peerPort: -1}].map((changes, index) => ({
			key: `other-${index}`, value: JSON.stringify({...row, ...changes}), version: 2,
		}));
		members.apply({rows: [...damaged, {key: 'late', value: JSON.stringify(row), version: 2}]} as unknown as Rows, false);
		assert.equal(members.peers().slice(before).map(({name}) => name), ['late']);
	});
});

describe('the member row of an entry', () => {
	/** Lets an entry write its row at its start and again after a return, and gives the offsets of its wall clock in both. */
	const writtenOffsets = async (change: (clocks: Clocks) => void): Promise<readonly number[]> => {
		const {members, clock} = createMembers();
		members.apply(emptySnapshot, true);
		return maintainOver(members, clock, {writesAtStart: 1, change});
	};

	/** Gives the offsets of the wall clock that an entry writes from its start until it has written its row after a return. */
	const maintainOver = async (members: Membership, clock: Fixture['clock'], {writesAtStart, change}: ReturnPlan): Promise<readonly number[]> => {
		const store = {nowMs: 1000};
		const wall = {nowMs: 50_000};
		const correctedClock = new CorrectedClock(clock, () => members.wallOffsets());
		correctedClock.recordStoreTime(store.nowMs);
		const written: number[] = [];
		const controller = new AbortController();
		const maintaining = maintainOwnRow({
			clock,
			rows: {
				async write(_table: string, [row]: ReadonlyArray<{readonly value: string}>) {
					const {wallOffsetMs} = JSON.parse(row!.value) as Member;
					written.push(wallOffsetMs);
				},
			} as unknown as RowStore,
			members,
			correctedClock,
			wallNowMs: () => wall.nowMs,
			log: new DecisionLog(clock, {write: () => undefined, pendingBytes: () => 0}, 'e0'),
			ownAddresses,
		}, controller.signal);
		await waitUntil(() => written.length === writesAtStart);
		change({store, wall});
		correctedClock.recordStoreTime(store.nowMs);
		members.recordStoreReturn();
		await waitUntil(() => written.length === writesAtStart + 1);
		controller.abort();
		await maintaining;
		return written;
	};

	// The row that was written again had the wall clock of that moment.
	it('keeps the wall clock of the start; guards against usage windows that follow a step of the clock after a return', async () => {
		assert.equal(await writtenOffsets(({wall}) => {
			wall.nowMs += 3_600_000;
		}), [49_000, 49_000]);
	});

	// The row that was written again had the wall clock of the last start, although the first start had left a row with another offset.
	it('keeps the offset that it had when the process started; guards against usage windows that follow a clock step of before a restart', async () => {
		const {members, clock} = createMembers();
		assert.equal(await maintainOver(members, clock, {writesAtStart: 0, change: () => undefined}), [0]);
	});

	// The row counted as written once the write had been sent.
	it('is written until the store has taken it; guards against an entry that the others never know after a rejected write', async () => {
		const {members} = createMembers();
		members.apply(emptySnapshot, true);
		let isWritten = false;
		const rows = createRejectingRows(() => {
			isWritten = true;
		});
		const member = {...ownAddresses, wallOffsetMs: 0};
		await members.writeOwnRow(rows, member).catch(() => undefined);
		assert.not.ok(members.hasOwnRow(ownAddresses));
		await members.writeOwnRow(rows, member);
		assert.ok(isWritten && members.hasOwnRow(ownAddresses));
	});

	it('follows a jump of the clock of the store; guards against usage windows that jump with it', async () => {
		assert.equal(await writtenOffsets(({store}) => {
			store.nowMs -= 700;
		}), [49_000, 49_700]);
	});
});
