import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	confirmOrder,
	createAgent,
	completePendingWrite,
	killAgent,
	markOrderStarted,
	planOutageOrder,
	planRowOrder,
	receiveOrder,
	receiveOutageOrder,
	recordOrder,
	sendToEngine,
	resolveOrder,
	startAgent,
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
		slotHolder: undefined,
		orderRow: undefined,
		agents: [createAgent('a'), createAgent('b')],
		engine: {
			changing: false, received: 0, lastOrder: 0, role: 'mixed',
		},
		writeCount: 0,
		epoch: 1,
		highestPlanned: 0,
		sentOutageOrders: [],
		confirmableNumber: undefined,
		pendingWrites: [],
		fault,
	}),
	kinds: [
		stepKind('plan', [], planRowOrder),
		stepKind('write', [], completePendingWrite),
		stepKind('plan in an outage', [], planOutageOrder),
		stepKind('take over', [8], (world, chance) => {
			if (chance === 0) {
				takeOver(world);
			}
		}),
		stepKind('start', [2], startAgent),
		stepKind('receive', [2], receiveOrder),
		stepKind('receive in an outage', [2, 3], receiveOutageOrder),
		stepKind('confirm', [2], confirmOrder),
		stepKind('mark', [2], markOrderStarted),
		stepKind('send', [2], sendToEngine),
		stepKind('settle', [2], resolveOrder),
		stepKind('record', [2], recordOrder),
		stepKind('kill', [2], killAgent),
		stepKind('order', [2], (world, index) => {
			receiveOrder(world, index);
			markOrderStarted(world, index);
			sendToEngine(world, index);
		}),
		stepKind('order in an outage', [2], (world, index) => {
			planOutageOrder(world);
			receiveOutageOrder(world, index, 0);
			confirmOrder(world, index);
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
