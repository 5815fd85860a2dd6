/** Random interleavings of what happens to endpoints, to the store and to the gossip between two entries. */
import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {stepMs} from '../../peers/__tests__/simulated-fleet.js';
import {DirectoryWorld, type Occurrences} from './directory-world.js';

const ids = ['i-0', 'i-1', 'i-2'] as const;

type Subject = {readonly id: string; readonly entry: number; readonly ms: number};

const events = {
	leave(world, {id}) {
		world.fleet.leave(id);
	},
	drain(world, {id}) {
		world.drain(id);
	},
	crash(world, {id}) {
		world.fleet.processes.delete(id);
	},
	start(world, {id}) {
		world.fleet.start(id);
	},
	silence(world, {id, ms}) {
		world.silence(id, ms);
	},
	answerLeaving(world, {id, entry}) {
		world.answerLeaving(id, entry);
	},
	cut(world, {entry, ms}) {
		world.cut(entry, ms);
	},
	loseConnection(world, {entry, ms}) {
		world.loseConnection(entry, ms);
	},
	stopStore(world, {ms}) {
		world.fleet.stop(ms);
	},
	returnFromCopy(world, {ms}) {
		world.fleet.returnFromCopy(ms);
	},
	writeLate(world, {id}) {
		world.writeLate(id);
	},
	cutGossip(world, {ms}) {
		world.cutGossip(ms);
	},
} satisfies Readonly<Record<string, (world: DirectoryWorld, subject: Subject) => void>>;

type Event = Subject & {readonly name: keyof typeof events; readonly thenSteps: number};

const event: fc.Arbitrary<Event> = fc.record({
	name: fc.constantFrom(...Object.keys(events) as Array<keyof typeof events>),
	id: fc.constantFrom(...ids),
	entry: fc.nat({max: 1}),
	// Registrations expire after 3.6 s; an outage is shorter as often as not.
	ms: fc.oneof(fc.integer({min: 1, max: 20}), fc.integer({min: 20, max: 70})).map(steps => steps * stepMs),
	thenSteps: fc.oneof(fc.nat({max: 6}), fc.nat({max: 25})),
});
/** Steps without an event at the end, so that what must be used again is checked. */
const calmSteps = 50;

const play = (history: readonly Event[]): Occurrences => {
	const world = new DirectoryWorld();
	for (const id of ids) {
		world.fleet.start(id);
	}

	const pass = (steps: number): void => {
		for (let step = 0; step < steps; step += 1) {
			const problem = world.step();
			if (problem) {
				throw new Error(problem);
			}
		}
	};

	pass(10);
	for (const happening of history) {
		events[happening.name](world, happening);
		pass(happening.thenSteps);
	}

	pass(calmSteps);
	return world.occurrences;
};

describe('the endpoint directories of two entries', () => {
	// Guards against interleavings that no single test has thought of.
	it('never use a process that has said that it leaves or that has left, and use live ones again after each outage; guards against work for a leaving endpoint and a fleet without endpoints', () => {
		const totals: Occurrences = {
			atOnce: 0, kept: 0, lostConnections: 0, saidLeaving: 0, toldByPeer: 0,
		};
		fc.assert(fc.property(fc.array(event, {minLength: 4, maxLength: 40}), history => {
			const occurrences = play(history);
			for (const name of Object.keys(totals) as Array<keyof Occurrences>) {
				totals[name] += occurrences[name];
			}
		}), {seed: 4, numRuns: 800, includeErrorInReport: true});
		assert.ok(Object.values(totals).every(total => total >= 20), JSON.stringify(totals));
	});
});
