import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {FairQueue, type QueuedWork} from '../index.js';
import {findViolation, stepKind} from './schedules.js';

const accounts = ['a', 'b', 'c'];
const weights = [1, 2, 5];
const maxTokens = 50;

type Served = {readonly account: number; readonly tokens: number};
type Queue = {push(work: QueuedWork<Served>): void; pop(): Served | undefined};

/** Difference of the weighted work served to two accounts since both have had work in the queue. */
type Pair = {readonly first: number; readonly second: number; drift: number; lowest: number; highest: number};

type World = {readonly queue: Queue; readonly waiting: number[]; readonly pairs: Pair[]};

const createPairs = (): Pair[] => [[0, 1], [0, 2], [1, 2]].map(([first, second]) => ({
	first: first!, second: second!, drift: 0, lowest: 0, highest: 0,
}));

const resetIdlePairs = ({pairs, waiting}: World): void => {
	for (const pair of pairs) {
		if (waiting[pair.first] === 0 || waiting[pair.second] === 0) {
			pair.drift = 0;
			pair.lowest = 0;
			pair.highest = 0;
		}
	}
};

const recordServed = ({pairs}: World, {account, tokens}: Served): void => {
	const work = tokens / weights[account]!;
	for (const pair of pairs) {
		if (pair.first === account) {
			pair.drift += work;
		} else if (pair.second === account) {
			pair.drift -= work;
		}

		pair.lowest = Math.min(pair.lowest, pair.drift);
		pair.highest = Math.max(pair.highest, pair.drift);
	}
};

const push = (world: World, account: number, tokens: number): void => {
	world.queue.push({
		account: accounts[account]!, weight: weights[account]!, tokens: tokens + 1, item: {account, tokens: tokens + 1},
	});
	world.waiting[account]! += 1;
};

const pop = (world: World): void => {
	const served = world.queue.pop();
	if (served) {
		recordServed(world, served);
		world.waiting[served.account]! -= 1;
		resetIdlePairs(world);
	}
};

const popMany = (world: World, count: number): void => {
	for (let index = 0; index <= count; index += 1) {
		pop(world);
	}
};

/** Start-time fair queueing bounds the difference in any interval by one piece of work of each account. */
const check = ({pairs}: World): void => {
	for (const {first, second, lowest, highest} of pairs) {
		const bound = (maxTokens / weights[first]!) + (maxTokens / weights[second]!);
		assert.ok(highest - lowest <= bound + 1e-6, `accounts ${first} and ${second} drift by ${highest - lowest}`);
	}
};

/** A faulty queue: it serves the account with the least total work so far, so that idle accounts accumulate credit. */
class CreditQueue implements Queue {
	readonly #waiting: Array<QueuedWork<Served>> = [];
	readonly #served = new Map<string, number>();

	push(work: QueuedWork<Served>): void {
		this.#waiting.push(work);
	}

	pop(): Served | undefined {
		const next = this.#waiting.toSorted((a, b) => this.#servedOf(a) - this.#servedOf(b))[0];
		if (next) {
			this.#waiting.splice(this.#waiting.indexOf(next), 1);
			this.#served.set(next.account, this.#servedOf(next) + (next.tokens / next.weight));
		}

		return next?.item;
	}

	#servedOf({account}: QueuedWork<Served>): number {
		return this.#served.get(account) ?? 0;
	}
}

const search = (createQueue: () => Queue): string | undefined => findViolation<World>({
	seed: 20_261,
	runs: 300,
	steps: 120,
	createWorld: () => ({queue: createQueue(), waiting: [0, 0, 0], pairs: createPairs()}),
	kinds: [
		stepKind('push', [accounts.length, maxTokens], push),
		stepKind('push', [accounts.length, maxTokens], push),
		stepKind('pop', [], pop),
		stepKind('popMany', [8], popMany),
	],
	check,
});

describe('fair queue under random schedules', () => {
	it('bounds the difference between waiting accounts by one piece of work of each; guards against an account that starves another', () => {
		assert.is(search(() => new FairQueue<Served>()), undefined);
	});

	it('detects a queue in which an idle account accumulates credit', () => {
		assert.match(search(() => new CreditQueue()) ?? '', 'drift by');
	});
});
