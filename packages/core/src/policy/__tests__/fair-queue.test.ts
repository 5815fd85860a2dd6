import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {FairQueue} from '../fair-queue.js';

type Work = {readonly account: string; readonly weight: number; readonly tokens: number; readonly priority?: number};

const createWork = (account: string, tokens = 100, weight = 1): Work => ({account, weight, tokens});

const add = (queue: FairQueue<Work>, work: Work): void => {
	queue.push({...work, item: work});
};

const totalTokens = (works: readonly Work[]): number => works.reduce((total, {tokens}) => total + tokens, 0);

const createQueue = (...items: Work[]): FairQueue<Work> => {
	const queue = new FairQueue<Work>();
	for (const each of items) {
		add(queue, each);
	}

	return queue;
};

const serve = (queue: FairQueue<Work>, count: number): Map<string, number> => {
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
			add(queue, createWork('large'));
		}

		add(queue, createWork('small'));
		assert.is(serve(queue, 2).get('small'), 100);
	});

	it('guards against an account that accumulates credit while it is idle', () => {
		const queue = createQueue();
		for (let index = 0; index < 100; index++) {
			add(queue, createWork('steady'));
		}

		serve(queue, 50);
		for (let index = 0; index < 50; index++) {
			add(queue, createWork('returning'));
		}

		assert.ok((serve(queue, 20).get('returning') ?? 0) <= 1100);
	});

	it('guards against a cancelled request that is served or still counted', () => {
		const cancelled = createWork('a', 5000);
		const queue = createQueue(cancelled, createWork('b'));
		assert.ok(queue.remove('a', cancelled));
		assert.equal([queue.size, queue.waitingTokens, totalTokens(queue.itemsAhead('a'))], [1, 100, 100]);
		assert.is(queue.pop()?.account, 'b');
		assert.is(queue.pop(), undefined);
	});

	it('guards against service that is not proportional to the weights', () => {
		const weights = fc.tuple(fc.integer({min: 1, max: 8}), fc.integer({min: 1, max: 8}));
		fc.assert(fc.property(weights, ([first, second]) => {
			const pairs = Array.from({length: 200}, () => [createWork('first', 10, first), createWork('second', 10, second)]);
			const queue = createQueue(...pairs.flat());

			const served = serve(queue, 100);
			const difference = ((served.get('first') ?? 0) / first) - ((served.get('second') ?? 0) / second);
			assert.ok(Math.abs(difference) <= (10 / first) + (10 / second));
		}), {seed: 13});
	});

	it('guards against a priority that takes effect across accounts', () => {
		const queue = createQueue(createWork('a'), createWork('b'), {...createWork('a'), priority: 5}, {...createWork('a'), priority: 5});
		const order = Array.from({length: 4}, () => queue.pop()).map(work => `${work?.account}${work?.priority ?? 0}`);
		assert.equal(order, ['b0', 'a5', 'a5', 'a0']);
	});

	it('guards against items ahead that differ from the order of service', () => {
		const work = fc.record({
			account: fc.constantFrom('a', 'b', 'c'), weight: fc.constantFrom(1, 2), tokens: fc.integer({min: 1, max: 50}), priority: fc.nat({max: 2}),
		});
		fc.assert(fc.property(fc.array(work, {maxLength: 20}), work, fc.nat({max: 10}), (works, last, served) => {
			const queue = createQueue(...works.map(each => ({...each, weight: each.account === 'a' ? 1 : 2})));
			serve(queue, served);
			const added = {...last, weight: last.account === 'a' ? 1 : 2};
			const ahead = new Set(queue.itemsAhead(added.account, added.priority));
			add(queue, added);
			const before: Work[] = [];
			for (let next = queue.pop(); next && next !== added; next = queue.pop()) {
				before.push(next);
			}

			assert.equal(new Set(before), ahead);
		}), {seed: 14});
	});

	it('guards against an account that is delayed for service it received while no account waited', () => {
		const queue = createQueue(createWork('a', 1000));
		queue.pop();
		add(queue, createWork('b', 300));
		assert.equal(queue.itemsAhead('a').length, 1);
		add(queue, createWork('b', 300));
		assert.equal(queue.itemsAhead('a').length, 1);
	});

	it('guards against a queue without a limit', () => {
		const queue = new FairQueue<Work>({maxTokens: 250});
		add(queue, createWork('a', 200));
		assert.equal([queue.hasCapacity(50), queue.hasCapacity(51)], [true, false]);
	});
});
