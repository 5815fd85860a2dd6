import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {FairQueue} from '../index.js';

const push = (queue: FairQueue<string>, account: string, count: number, weight = 1): void => {
	for (let index = 0; index < count; index += 1) {
		queue.push({
			account, weight, tokens: 10, item: `${account}${index}`,
		});
	}
};

const popAccounts = (queue: FairQueue<string>, count: number): string =>
	Array.from({length: count}, () => queue.pop()?.[0]).join('');

const countOf = (text: string, account: string): number => [...text].filter(letter => letter === account).length;

describe('fair queue', () => {
	// Guards against a large account that makes the others wait behind its whole backlog.
	it('alternates between backlogged accounts', () => {
		const queue = new FairQueue<string>();
		push(queue, 'a', 20);
		push(queue, 'b', 3);
		assert.is(countOf(popAccounts(queue, 6), 'b'), 3);
	});

	// Guards against weights that have no effect or too large an effect.
	it('serves in proportion to the weights', () => {
		const queue = new FairQueue<string>();
		push(queue, 'a', 40, 3);
		push(queue, 'b', 40, 1);
		assert.is(countOf(popAccounts(queue, 20), 'a'), 15);
	});

	// Guards against an account that saves up credit while idle and then displaces all others.
	it('gives an idle account no credit', () => {
		const queue = new FairQueue<string>();
		push(queue, 'a', 30);
		push(queue, 'b', 1);
		popAccounts(queue, 20);
		push(queue, 'b', 10);
		assert.is(countOf(popAccounts(queue, 8), 'b'), 4);
	});

	// Guards against an account that is charged for work that was cancelled before it ran.
	it('charges nothing for removed work', () => {
		const queue = new FairQueue<string>();
		push(queue, 'a', 5);
		push(queue, 'b', 3);
		assert.ok(queue.remove('a', 'a0'));
		assert.not(queue.remove('a', 'a0'));
		assert.is(queue.waitingTokens, 70);
		assert.is(countOf(popAccounts(queue, 4), 'a'), 2);
	});

	// Guards against ineligible work that blocks the queue or loses its position.
	it('skips ineligible work and keeps its position', () => {
		const queue = new FairQueue<string>();
		push(queue, 'a', 2);
		assert.is(queue.pop(item => item !== 'a0'), 'a1');
		assert.is(queue.pop(), 'a0');
		assert.is(queue.size, 0);
	});

	// Guards against accounts whose requests need more work than estimated.
	it('charges the difference between the estimated and the actual work', () => {
		const queue = new FairQueue<string>();
		push(queue, 'a', 9);
		push(queue, 'b', 9);
		queue.adjustCharge('a', 1, 40);
		assert.is(countOf(popAccounts(queue, 6), 'a'), 1);
	});
});
