import {brandAs, type EndpointId} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import type {Departure} from '../departures.js';
import {sendIntervalMs} from '../../peers/gossip.js';
import {decodeMessage, encodeMessage} from '../../peers/gossip-message.js';
import {
	answer, createDirectory, createRow, heartbeatMs, type DirectoryFixture,
} from './directory-fixture.js';

const process = {id: brandAs<EndpointId>('e'), startedAt: 1};
const removed: Departure = {
	...process, kind: 'removed', heartbeat: 5, ageMs: 100,
};

const encode = (departures: readonly Departure[]): string => encodeMessage({
	from: 'entry-1', configVersion: 1, phase: {phase: 'ready', stoppingMs: 0}, roleChanges: [], load: {running: [], sent: []}, crashes: [], departures,
});

/** An entry that has read the endpoint and is then cut off from the store. */
const createCutOff = (): DirectoryFixture => {
	const fixture = createDirectory();
	fixture.directory.apply(answer(createRow('e', {heartbeat: 5})), true);
	fixture.directory.setStoreAvailable(false);
	return fixture;
};

describe('departures that a peer tells', () => {
	// Only the store told of departures, so an entry that was cut off from it used endpoints that had left until two seconds after its return.
	it('end the use of an endpoint at an entry without the store; guards against work for an endpoint that has left while only this entry is cut off', () => {
		const {directory, isUsed, changes} = createCutOff();
		directory.applyDepartures([removed]);
		assert.is(isUsed('e'), false);
		assert.is(changes.at(-1), 'e: ready -> absent (peer)');
	});

	it('end a wait for a registration that may have expired; guards against work for an endpoint whose departure a peer has seen', () => {
		const {directory, clock, isUsed} = createCutOff();
		clock.advance(6000);
		directory.setStoreAvailable(true);
		directory.apply(answer(), true);
		assert.ok(isUsed('e'));
		directory.applyDepartures([removed]);
		assert.is(isUsed('e'), false);
	});

	it('are undone by a later heartbeat, but not by one of before; guards against live endpoints that stay unused and late writes that bring one back', () => {
		const {directory, isUsed} = createCutOff();
		directory.applyDepartures([{...removed, heartbeat: 7}]);
		directory.setStoreAvailable(true);
		directory.apply(answer(createRow('e', {heartbeat: 7})), true);
		assert.is(isUsed('e'), false);
		directory.apply(answer(createRow('e', {heartbeat: 8})), false);
		assert.ok(isUsed('e'));
		directory.applyDepartures([{...removed, heartbeat: 7}]);
		assert.ok(isUsed('e'));
	});

	it('because it registered as leaving mark an endpoint; guards against work for an endpoint that has announced that it leaves', () => {
		const {directory, isUsed, changes} = createCutOff();
		directory.applyDepartures([{...removed, kind: 'registered', heartbeat: 6}]);
		assert.is(changes.at(-1), 'e: ready -> leaving (peer)');
		directory.setStoreAvailable(true);
		directory.apply(answer(createRow('e', {heartbeat: 6})), true);
		assert.is(isUsed('e'), false);
		directory.apply(answer(createRow('e', {heartbeat: 7})), false);
		assert.ok(isUsed('e'));
	});

	it('because an answer said so are not undone by any heartbeat; guards against work for an endpoint that goes on to register as ready', () => {
		const {directory, isUsed} = createCutOff();
		directory.applyDepartures([{
			...process, kind: 'answer', heartbeat: 0, ageMs: 100,
		}]);
		directory.setStoreAvailable(true);
		directory.apply(answer(createRow('e', {heartbeat: 90})), true);
		assert.is(isUsed('e'), false);
		directory.apply(answer(createRow('e', {startedAt: 2})), false);
		assert.ok(isUsed('e'));
	});

	it('bind the same process only; guards against a later start that stays unused', () => {
		const {directory, isUsed} = createCutOff();
		directory.applyDepartures((['removed', 'registered', 'answer'] as const).map(kind => ({
			...removed, kind, startedAt: 0, heartbeat: 99,
		})));
		assert.ok(isUsed('e'));
	});

	for (const kind of ['removed', 'registered', 'answer'] as const) {
		// The id and often the address are the same, so requests for the earlier process reach the later one.
		it(`of kind ${kind} bind the earlier starts, too; guards against work for an endpoint that restarted and left while this entry was cut off`, () => {
			const {directory, isUsed} = createCutOff();
			directory.applyDepartures([{
				...removed, kind, startedAt: 2, heartbeat: 1,
			}]);
			assert.is(isUsed('e'), false);
			directory.setStoreAvailable(true);
			directory.apply(answer(createRow('e', {startedAt: 2, heartbeat: 1})), true);
			assert.is(isUsed('e'), false);
			directory.apply(answer(createRow('e', {startedAt: 3, heartbeat: 1})), false);
			assert.ok(isUsed('e'));
		});
	}

	it('bind a process whose registration is read later; guards against a delayed row of an endpoint that has left', () => {
		const {directory, isUsed} = createDirectory();
		directory.applyDepartures([removed]);
		directory.apply(answer(createRow('e', {heartbeat: 5})), true);
		assert.is(isUsed('e'), false);
		directory.apply(answer(createRow('e', {heartbeat: 6})), false);
		assert.ok(isUsed('e'));
	});

	it('are ignored when they are too old or damaged; guards against departures that circulate for ever', () => {
		const {directory, isUsed} = createCutOff();
		directory.applyDepartures([{...removed, ageMs: 6000}]);
		const text = encode([removed]);
		for (const damaged of ['["e",1,"removed",5]', '["e",1,"gone",5,1]', '[7,1,"removed",5,1]', '["e",1,"removed",5,-1]', '["e","1","removed",5,1]', '"e"']) {
			directory.applyDepartures(decodeMessage(text.replace('["e",1,"removed",5,100]', damaged))!.departures);
		}

		assert.ok(isUsed('e'));
		directory.applyDepartures(decodeMessage(text)!.departures);
		assert.is(isUsed('e'), false);
	});
});

describe('departures that an entry tells', () => {
	const tell = ({directory}: DirectoryFixture): string[] => directory.departuresToSend('local').map(({id, kind, ageMs}) => `${id} ${kind} ${ageMs}`);

	it('are those that it has seen, with their age; guards against peers that learn of them only from the store', () => {
		const fixture = createDirectory();
		const {directory, clock} = fixture;
		directory.apply(answer(...['e', 'f', 'g', 'h'].map(id => createRow(id))), true);
		directory.apply(answer({key: 'e', value: undefined, version: 2}, createRow('f', {isLeaving: true, heartbeat: 2})), false);
		directory.recordLeaving({...process, id: brandAs<EndpointId>('g')}, 'answer');
		clock.advance(200);
		assert.equal(tell(fixture).toSorted(), ['e removed 200', 'f registered 200', 'g answer 200']);
	});

	it('do not include a registration that may have expired, or that only this entry cannot read; guards against live endpoints that the whole fleet stops using', () => {
		const fixture = createDirectory();
		const {directory, clock} = fixture;
		directory.apply(answer(createRow('e'), createRow('f')), true);
		directory.apply(answer({key: 'f', value: 'damaged', version: 2}), false);
		directory.setStoreAvailable(false);
		// The heartbeat may have reached the store a batch before it was read.
		clock.advance((3 * heartbeatMs) - 500);
		directory.setStoreAvailable(true);
		directory.apply(answer(), true);
		assert.is(fixture.isUsed('e'), false);
		assert.equal(tell(fixture), []);
	});

	it('are not told again once a later registration has undone them; guards against endpoints that are removed again and again', () => {
		const fixture = createDirectory();
		const {directory} = fixture;
		directory.apply(answer(createRow('e', {heartbeat: 5})), true);
		directory.apply(answer({key: 'e', value: undefined, version: 2}), false);
		directory.apply(answer(createRow('e', {heartbeat: 6})), false);
		assert.equal(tell(fixture), []);
	});

	it('are told a few times and for six seconds only, however often an answer repeats them; guards against messages that grow with the answers of a leaving endpoint', () => {
		const fixture = createDirectory();
		const {directory, clock} = fixture;
		directory.apply(answer(createRow('e')), true);
		let told = 0;
		for (let second = 0; second < 30; second += 1) {
			directory.recordLeaving(process, 'answer');
			directory.apply(answer(createRow('e', {heartbeat: second + 2})), false);
			told += tell(fixture).length;
			clock.advance(1000);
		}

		assert.is(told, 3);
		directory.recordLeaving({...process, startedAt: 2}, 'answer');
		clock.advance(6000);
		assert.equal(tell(fixture), []);
	});
});

/** The numbers are as long as they get in use. */
const longRegistration = {startedAt: 1_700_000_000_000, heartbeat: 100_000};

/** Decides of each message to a peer whether it is lost; repeats once used up. */
const draws = fc.sample(fc.noBias(fc.nat({max: 999})), {seed: 41, numRuns: 40_009}).map(draw => draw / 1000);

/** Entries that hear each other without a network; a share of the messages is lost. */
class Fleet {
	readonly clock = createManualClock(100_000);
	readonly entries: readonly DirectoryFixture[];
	/** Departures in all messages, each message counted once. */
	tellings = 0;
	longest = 0;
	readonly #loss: number;

	#drawn = 0;

	constructor(size: number, ids: readonly string[], loss: number) {
		this.#loss = loss;
		this.entries = Array.from({length: size}, () => createDirectory(this.clock));
		for (const {directory} of this.entries) {
			directory.apply(answer(...ids.map(id => createRow(id, longRegistration))), true);
		}
	}

	/** Each entry sends one message to all others, one after the other. */
	playRound(): void {
		for (const sender of this.entries) {
			const departures = sender.directory.departuresToSend('all');
			if (departures.length > 0) {
				this.#broadcast(sender, departures);
			}
		}

		this.clock.advance(sendIntervalMs(this.entries.length - 1));
	}

	/** Number of entries that use one of these endpoints. */
	countUsing(ids: readonly string[]): number {
		return this.entries.filter(({isUsed}) => ids.some(id => isUsed(id))).length;
	}

	#broadcast(sender: DirectoryFixture, departures: readonly Departure[]): void {
		const text = encode(departures);
		this.tellings += departures.length;
		this.longest = Math.max(this.longest, text.length - encode([]).length);
		for (const receiver of this.entries) {
			this.#drawn += 1;
			if (receiver !== sender && draws[this.#drawn % draws.length]! >= this.#loss) {
				receiver.directory.applyDepartures(decodeMessage(text)!.departures);
			}
		}
	}
}

describe('departures among many entries', () => {
	const idsOf = (count: number): string[] => Array.from({length: count}, (_, index) => `i-${String(index).padStart(4, '0')}-4f0a-9c41d07be2a35f68-72ab`);

	for (const [size, left, loss, rounds] of [[30, 1, 0, 1], [68, 1, 0, 1], [30, 40, 0, 7], [68, 40, 0, 7], [30, 40, 0.1, 10], [68, 40, 0.1, 10]] as const) {
		it(`reach all ${size} from one that saw ${left} within ${rounds} rounds at a loss of ${loss}; guards against entries that never learn and messages that grow with the fleet`, () => {
			const ids = idsOf(left);
			const fleet = new Fleet(size, [...ids, 'other'], loss);
			fleet.entries[0]!.directory.apply(answer(createRow('other', longRegistration)), true);
			let needed = 0;
			while (fleet.countUsing(ids) > 0 && needed < 100) {
				fleet.playRound();
				needed += 1;
			}

			assert.ok(needed <= rounds, `${needed} rounds`);
			assert.is(fleet.countUsing(['other']), size);
			for (let round = 0; round < 200; round += 1) {
				fleet.playRound();
			}

			assert.ok(fleet.longest <= 520, `${fleet.longest} bytes`);
			// Each is told three times by the fleet, and some more times by entries that lost a message.
			assert.ok(fleet.tellings <= left * (loss === 0 ? 3 : 6), `${fleet.tellings} tellings of ${left} departures`);
		});
	}
});
