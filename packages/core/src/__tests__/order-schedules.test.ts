import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	confirm,
	createAgent,
	finishWrite,
	kill,
	mark,
	planInOutage,
	planRow,
	receive,
	receiveInOutage,
	record,
	sendToEngine,
	settle,
	start,
	takeOver,
	type Fault,
	type World,
} from './order-world.js';
import {findViolation, stepKind} from './schedules.js';

const search = (fault?: Fault): string | undefined => findViolation<World>({
	seed: 20_263,
	runs: 3000,
	steps: 150,
	createWorld: () => ({
		slot: undefined,
		table: undefined,
		agents: [createAgent('a'), createAgent('b')],
		engine: {
			changing: false, received: 0, lastOrder: 0, role: 'mixed',
		},
		writes: 0,
		epoch: 1,
		highestPlanned: 0,
		sent: [],
		unconfirmed: undefined,
		lateWrites: [],
		fault,
	}),
	kinds: [
		stepKind('plan', [], planRow),
		stepKind('write', [], finishWrite),
		stepKind('plan in an outage', [], planInOutage),
		stepKind('take over', [8], (world, chance) => {
			if (chance === 0) {
				takeOver(world);
			}
		}),
		stepKind('start', [2], start),
		stepKind('receive', [2], receive),
		stepKind('receive in an outage', [2, 3], receiveInOutage),
		stepKind('confirm', [2], confirm),
		stepKind('mark', [2], mark),
		stepKind('send', [2], sendToEngine),
		stepKind('settle', [2], settle),
		stepKind('record', [2], record),
		stepKind('kill', [2], kill),
		stepKind('order', [2], (world, index) => {
			receive(world, index);
			mark(world, index);
			sendToEngine(world, index);
		}),
		stepKind('order in an outage', [2], (world, index) => {
			planInOutage(world);
			receiveInOutage(world, index, 0);
			confirm(world, index);
			sendToEngine(world, index);
		}),
		// Engines change slowly, so that much can happen during a change.
		stepKind('engine finishes', [5], ({engine}, chance) => {
			if (chance === 0) {
				engine.changing = false;
				engine.lastOrder = engine.received;
			}
		}),
	],
	check(world) {
		const executing = world.agents.filter(({orders}) => orders?.phase === 'executing');
		assert.ok(executing.length <= 1, 'two agents execute');
	},
});

describe('engine orders under random schedules', () => {
	it('sends one order at a time, in order and never a superseded one, through restarts of two agents', () => {
		assert.is(search(), undefined);
	});

	it('would notice an order of an outage that is sent without its confirmation', () => {
		assert.match(search('sends-unconfirmed') ?? '', /old order|without authority/);
	});

	it('would notice an agent that does not ask the engine for the number of its last order', () => {
		assert.match(search('ignores-engine-number') ?? '', 'old order');
	});

	it('would notice an agent that settles what its predecessor started while the engine still changes', () => {
		assert.match(search('settles-at-once') ?? '', 'overlaps');
	});
});
