import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {FairQueue, type FairQueueItem} from '../fair-queue.js';

let nextId = 0;
const item = (account: string, tokens = 100, weight = 1): FairQueueItem => ({
	id: String(nextId++), account, weight, tokens,
});

const createQueue = (...items: FairQueueItem[]): FairQueue<FairQueueItem> => {
	const queue = new FairQueue<FairQueueItem>();
	for (const each of items) {
		queue.push(each);
	}

	return queue;
};

const serve = (queue: FairQueue<FairQueueItem>, count: number): Map<string, number> => {
	const served = new Map<string, number>();
	for (let index = 0; index < count; index++) {
		const next = queue.pop();
		if (next) {
			served.set(next.account, (served.get(next.account) ?? 0) + next.tokens);
		}
	}

	return served;
};

describe('FairQueue', () => {
	it('guards against a burst of one account that delays another', () => {
		const queue = createQueue();
		for (let index = 0; index < 50; index++) {
			queue.push(item('large'));
		}

		queue.push(item('small'));
		assert.is(serve(queue, 2).get('small'), 100);
	});

	it('guards against credit saved up by an idle account', () => {
		const queue = createQueue();
		for (let index = 0; index < 100; index++) {
			queue.push(item('steady'));
		}

		serve(queue, 50);
		for (let index = 0; index < 50; index++) {
			queue.push(item('returning'));
		}

		assert.ok((serve(queue, 20).get('returning') ?? 0) <= 1100);
	});

	it('guards against a cancelled request that is served or still counted', () => {
		const cancelled = item('a', 5000);
		const queue = createQueue(cancelled, item('b'));
		assert.is(queue.remove(cancelled.id)?.id, cancelled.id);
		assert.equal([queue.size, queue.waitingTokens, queue.waitingAhead('a')], [1, 100, 100]);
		assert.is(queue.pop()?.account, 'b');
		assert.is(queue.pop(), undefined);
	});

	it('guards against shares that do not follow the weights', () => {
		const weights = fc.tuple(fc.integer({min: 1, max: 8}), fc.integer({min: 1, max: 8}));
		fc.assert(fc.property(weights, ([first, second]) => {
			const pairs = Array.from({length: 200}, () => [item('first', 10, first), item('second', 10, second)]);
			const queue = createQueue(...pairs.flat());

			const served = serve(queue, 100);
			const difference = ((served.get('first') ?? 0) / first) - ((served.get('second') ?? 0) / second);
			assert.ok(Math.abs(difference) <= (10 / first) + (10 / second));
		}), {seed: 13});
	});
});
