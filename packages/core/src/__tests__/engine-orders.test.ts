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
const nextRow = {...row, number: 6};
const engine = {changing: false, lastOrder: 0, role: 'mixed'} as const;
const settledState = restoreOrderState({...row, state: 'settled'}, engine);

describe('engine orders', () => {
	// Guards against an agent that sends an order while one of its predecessor is still in progress.
	it('accepts no order before the row was read while the engine has no change in progress', () => {
		assert.is(decideOrderMessage(initialOrderState, 9), 'not-ready');
		assert.is(decideOrderMessage(restoreOrderState({...row, state: 'settled'}, {...engine, changing: true}), 9), 'not-ready');
		assert.not(mayExecute(initialOrderState, row));
		assert.not(mayExecuteInOutage(initialOrderState, nextRow));
		assert.not(mayResolveOrder(undefined));
		assert.not(mayResolveOrder({changing: true}));
	});

	// Guards against a late order of a former planner.
	it('ignores orders whose number is not above the highest number that the agent has seen', () => {
		const orders = settledState;
		assert.is(decideOrderMessage(orders, 4), 'ignored');
		assert.is(decideOrderMessage(orders, 5), 'settled');
		assert.is(decideOrderMessage(orders, 6), 'read-row');
		assert.not(mayExecute(orders, row));
		assert.not(mayExecute(orders, {...nextRow, state: 'started'}));
	});

	it('executes one order at a time', () => {
		const orders = beginOrder(restoreOrderState(undefined, engine), row);
		assert.is(decideOrderMessage(orders, 5), 'running');
		assert.is(decideOrderMessage(orders, 6), 'ignored');
		assert.not(mayExecute(orders, nextRow));
		assert.throws(() => beginOrder(orders, nextRow));
		assert.ok(mayExecute(finishOrder(orders), nextRow));
	});

	// Guards against equal numbers from two lease holders, and against rows from before this rule that no order could follow.
	it('numbers the orders of each epoch above those of the one before', () => {
		assert.is(nextOrderNumber(1, 7), orderNumbersPerEpoch);
		assert.is(nextOrderNumber(2, orderNumbersPerEpoch + 5), 2 * orderNumbersPerEpoch);
		assert.is(nextOrderNumber(2, 2 * orderNumbersPerEpoch), (2 * orderNumbersPerEpoch) + 1);
	});

	// Guards against a row that is written late, with a lower number than a finished order of a table outage that is in no row.
	it('uses the number of the last order that the engine reports if the row has a lower one', () => {
		const orders = restoreOrderState({...row, state: 'settled'}, {...engine, lastOrder: (3 * orderNumbersPerEpoch) + 1});
		assert.not(mayExecute(orders, nextRow));
		assert.not(mayExecuteInOutage(orders, {...nextRow, number: 4 * orderNumbersPerEpoch, epoch: 2}));
		assert.ok(mayExecuteInOutage(orders, {...nextRow, number: 4 * orderNumbersPerEpoch, epoch: 4}));
	});

	// Guards against a delayed confirmation by a planner whose authority has expired, and against a dropped order that blocks a row.
	it('drops an order of a table outage that is not confirmed in time', () => {
		assert.not(maySendInOutage({confirmed: false, validForMs: 100}, 0));
		assert.not(maySendInOutage({confirmed: true, validForMs: 100}, 100));
		assert.ok(maySendInOutage({confirmed: true, validForMs: 100}, 99));
		const dropped = dropOrder(beginOutageOrder(settledState, {...nextRow, number: 9}));
		assert.equal(dropped, settledState);
	});

	// Guards against an order of a table outage that is never recorded in the row, and against a record that overwrites a newer order.
	it('records the last order if the row has a lower number', () => {
		const last = {number: 6, epoch: 2, role: 'prefill'} as const;
		assert.equal(recordFinishedOrder(undefined, last, 'a', 'w2'), {
			...last, state: 'settled', startedBy: 'a', writeId: 'w2',
		});
		assert.is(recordFinishedOrder(row, last, 'a', 'w2')?.number, 6);
		assert.is(recordFinishedOrder({...nextRow, state: 'started'}, last, 'a', 'w2')?.state, 'settled');
		assert.is(recordFinishedOrder({...nextRow, state: 'settled'}, last, 'a', 'w2'), undefined);
		assert.is(recordFinishedOrder({...row, number: 7}, last, 'a', 'w2'), undefined);
	});

	it('rejects malformed rows', () => {
		assert.is(parseOrderRow({...row, role: 'other'}), undefined);
		assert.is(parseOrderRow(null), undefined);
		assert.equal(parseOrderRow(row), row);
	});
});
