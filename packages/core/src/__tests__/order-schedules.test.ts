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
		stepKind('plan in a table outage', [], planOutageOrder),
		stepKind('take over', [8], (world, chance) => {
			if (chance === 0) {
				takeOver(world);
			}
		}),
		stepKind('start', [2], startAgent),
		stepKind('receive', [2], receiveOrder),
		stepKind('receive in a table outage', [2, 3], receiveOutageOrder),
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
		stepKind('order in a table outage', [2], (world, index) => {
			planOutageOrder(world);
			receiveOutageOrder(world, index, 0);
			confirmOrder(world, index);
			sendToEngine(world, index);
		}),
		// Only one in five of these steps ends a change, so that other steps can happen during it.
		stepKind('engine finishes', [5], ({engine}, chance) => {
			if (chance === 0) {
				engine.changing = false;
				engine.lastOrder = engine.received;
			}
		}),
	],
	check(world) {
		const executing = world.agents.filter(({orderState: orders}) => orders?.phase === 'executing');
		assert.ok(executing.length <= 1, 'two agents execute');
	},
});

describe('engine orders under random schedules', () => {
	it('reach the engine one at a time, in ascending order and never superseded, through restarts of two agents', () => {
		assert.is(search(), undefined);
	});

	it('would detect an order of a table outage that is sent without its confirmation', () => {
		assert.match(search('sends-unconfirmed') ?? '', /old order|without authority/);
	});

	it('would detect an agent that ignores the number of the last order that the engine reports', () => {
		assert.match(search('ignores-engine-number') ?? '', 'old order');
	});

	it('would detect an agent that takes an order of its predecessor for finished while the engine still changes its role', () => {
		assert.match(search('settles-at-once') ?? '', 'overlaps');
	});
});
