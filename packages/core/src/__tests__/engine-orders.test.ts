import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	beginOrder,
	beginOutageOrder,
	decideOrderMessage,
	dropOrder,
	finishOrder,
	initialOrderState,
	restoreOrderState,
	mayExecute,
	mayExecuteInOutage,
	maySendInOutage,
	mayResolveOrder,
	nextOrderNumber,
	orderNumbersPerEpoch,
	parseOrderRow,
	recordFinishedOrder,
	type EngineOrderRow,
} from '../index.js';

const row: EngineOrderRow = {
	number: 5, epoch: 1, role: 'decode', state: 'written', startedBy: '', writeId: 'w1',
};
const next = {...row, number: 6};
const engine = {changing: false, lastOrder: 0, role: 'mixed'} as const;
const settled = restoreOrderState({...row, state: 'settled'}, engine);

describe('engine orders', () => {
	// Guards against orders from an agent that does not know what its predecessor did.
	it('takes no order before the row is known and settled', () => {
		assert.is(decideOrderMessage(initialOrderState, 9), 'not-ready');
		assert.is(decideOrderMessage(restoreOrderState({...row, state: 'settled'}, {...engine, changing: true}), 9), 'not-ready');
		assert.not(mayExecute(initialOrderState, row));
		assert.not(mayExecuteInOutage(initialOrderState, next));
		assert.not(mayResolveOrder(undefined));
		assert.not(mayResolveOrder({changing: true}));
	});

	// Guards against an old planner's order that arrives late.
	it('ignores numbers that are not above the highest known', () => {
		const orders = settled;
		assert.is(decideOrderMessage(orders, 4), 'ignored');
		assert.is(decideOrderMessage(orders, 5), 'settled');
		assert.is(decideOrderMessage(orders, 6), 'read-row');
		assert.not(mayExecute(orders, row));
		assert.not(mayExecute(orders, {...next, state: 'started'}));
	});

	// Guards against two orders at the same time.
	it('executes one order at a time', () => {
		const orders = beginOrder(restoreOrderState(undefined, engine), row);
		assert.is(decideOrderMessage(orders, 5), 'running');
		assert.is(decideOrderMessage(orders, 6), 'ignored');
		assert.not(mayExecute(orders, next));
		assert.throws(() => beginOrder(orders, next));
		assert.ok(mayExecute(finishOrder(orders), next));
	});

	// Guards against numbers of two holders that meet, and against rows from before the rule that no order can follow.
	it('numbers the orders of each epoch above those of the one before', () => {
		assert.is(nextOrderNumber(1, 7), orderNumbersPerEpoch);
		assert.is(nextOrderNumber(2, orderNumbersPerEpoch + 5), 2 * orderNumbersPerEpoch);
		assert.is(nextOrderNumber(2, 2 * orderNumbersPerEpoch), (2 * orderNumbersPerEpoch) + 1);
	});

	// Guards against a row that is written late and has a lower number than an order of an outage that no row shows.
	it('takes the number of the last order from the engine if the row has a lower one', () => {
		const orders = restoreOrderState({...row, state: 'settled'}, {...engine, lastOrder: (3 * orderNumbersPerEpoch) + 1});
		assert.not(mayExecute(orders, next));
		assert.not(mayExecuteInOutage(orders, {...next, number: 4 * orderNumbersPerEpoch, epoch: 2}));
		assert.ok(mayExecuteInOutage(orders, {...next, number: 4 * orderNumbersPerEpoch, epoch: 4}));
	});

	// Guards against a delayed answer of a planner whose authority has ended, and against an order that blocks a row.
	it('drops an order of an outage that is not confirmed in time', () => {
		assert.not(maySendInOutage({confirmed: false, validForMs: 100}, 0));
		assert.not(maySendInOutage({confirmed: true, validForMs: 100}, 100));
		assert.ok(maySendInOutage({confirmed: true, validForMs: 100}, 99));
		const dropped = dropOrder(beginOutageOrder(settled, {...next, number: 9}));
		assert.equal(dropped, settled);
	});

	// Guards against a row that never shows an order of an outage, or that an agent writes over a newer order.
	it('records the last order in a row with a lower number', () => {
		const last = {number: 6, epoch: 2, role: 'prefill'} as const;
		assert.equal(recordFinishedOrder(undefined, last, 'a', 'w2'), {
			...last, state: 'settled', startedBy: 'a', writeId: 'w2',
		});
		assert.is(recordFinishedOrder(row, last, 'a', 'w2')?.number, 6);
		assert.is(recordFinishedOrder({...next, state: 'started'}, last, 'a', 'w2')?.state, 'settled');
		assert.is(recordFinishedOrder({...next, state: 'settled'}, last, 'a', 'w2'), undefined);
		assert.is(recordFinishedOrder({...row, number: 7}, last, 'a', 'w2'), undefined);
	});

	// Guards against a malformed row that is taken for an order.
	it('rejects malformed rows', () => {
		assert.is(parseOrderRow({...row, role: 'other'}), undefined);
		assert.is(parseOrderRow(null), undefined);
		assert.equal(parseOrderRow(row), row);
	});
});
