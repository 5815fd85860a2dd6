import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	beginOrder, decideMessage, finishOrder, initialOrders, learnRow, mayExecute, maySettle, parseOrderRow, type EngineOrderRow,
} from '../index.js';

const row: EngineOrderRow = {
	number: 5, epoch: 1, role: 'decode', state: 'written', startedBy: '', writeId: 'w1',
};
const next = {...row, number: 6};

describe('engine orders', () => {
	// Guards against orders from an agent that does not know what its predecessor did.
	it('takes no order before the row is known and settled', () => {
		assert.is(decideMessage(initialOrders, 9), 'not-ready');
		assert.is(decideMessage(learnRow({...row, state: 'started'}), 9), 'not-ready');
		assert.not(maySettle(undefined));
		assert.not(maySettle({changing: true}));
	});

	// Guards against an old planner's order that arrives late.
	it('ignores numbers that are not above the highest known', () => {
		const orders = learnRow({...row, state: 'settled'});
		assert.is(decideMessage(orders, 4), 'ignored');
		assert.is(decideMessage(orders, 5), 'settled');
		assert.is(decideMessage(orders, 6), 'read-row');
		assert.not(mayExecute(orders, row));
		assert.not(mayExecute(orders, {...next, state: 'started'}));
	});

	// Guards against two orders at the same time.
	it('executes one order at a time', () => {
		const orders = beginOrder(learnRow(undefined), row);
		assert.is(decideMessage(orders, 5), 'running');
		assert.is(decideMessage(orders, 6), 'ignored');
		assert.not(mayExecute(orders, next));
		assert.throws(() => beginOrder(orders, next));
		assert.ok(mayExecute(finishOrder(orders), next));
	});

	// Guards against a malformed row that is taken for an order.
	it('rejects malformed rows', () => {
		assert.is(parseOrderRow({...row, role: 'other'}), undefined);
		assert.is(parseOrderRow(null), undefined);
		assert.equal(parseOrderRow(row), row);
	});
});
