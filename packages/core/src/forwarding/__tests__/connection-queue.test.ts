import {createSeededRandom, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {ConnectionQueue, type QueuedCall} from '../../index.js';

type Call = QueuedCall & {readonly name: string};

const createCalls = (started: string[]): (name: string, group?: string, bytes?: number) => Call => (name, group = 'a', bytes = 10) => ({
	name, group, bytes, start() {
		started.push(name);
	},
});

describe('calls that need a connection', () => {
	it('start at once while one is free, and in their order afterwards', () => {
		const started: string[] = [];
		const createCall = createCalls(started);
		const queue = new ConnectionQueue({connections: 2});
		for (const name of ['1', '2', '3', '4']) {
			assert.ok(queue.enter(createCall(name)));
		}

		assert.equal(started, ['1', '2']);
		queue.release();
		queue.release();
		assert.equal(started, ['1', '2', '3', '4']);
		assert.is(queue.waiting, 0);
	});

	it('take turns by account; guards against one account whose many requests hold up the others', () => {
		const started: string[] = [];
		const createCall = createCalls(started);
		const queue = new ConnectionQueue({connections: 1});
		for (const [name, group] of [['a1', 'a'], ['a2', 'a'], ['a3', 'a'], ['b1', 'b'], ['c1', 'c'], ['b2', 'b']] as const) {
			queue.enter(createCall(name, group));
		}

		for (let ended = 0; ended < 5; ended += 1) {
			queue.release();
		}

		assert.equal(started, ['a1', 'a2', 'b1', 'c1', 'a3', 'b2']);
	});

	it('are bounded in number and bytes; guards against a slow endpoint that fills the memory', () => {
		const createCall = createCalls([]);
		const queue = new ConnectionQueue({connections: 1, maxWaiting: 3, maxWaitingBytes: 100});
		const entered = ['1', '2', '3', '4', '5'].map(name => queue.enter(createCall(name)));
		assert.equal(entered, [true, true, true, true, false]);
		const large = new ConnectionQueue({connections: 1, maxWaiting: 3, maxWaitingBytes: 100});
		assert.equal(['1', '2', '3'].map(name => large.enter(createCall(name, 'a', 60))), [true, true, false]);
	});

	it('leave no trace when they leave while they wait; guards against bodies that are kept for callers that have gone', async () => {
		const started: string[] = [];
		const createCall = createCalls(started);
		const queue = new ConnectionQueue({connections: 1});
		const [running, first, second] = [createCall('running'), createCall('first'), createCall('second')];
		for (const call of [running, first, second]) {
			queue.enter(call);
		}

		queue.leave(first);
		queue.leave(first);
		queue.leave(running);
		assert.equal([queue.waiting, queue.waitingBytes], [1, 10]);
		queue.release();
		assert.equal(started, ['running', 'second']);
		await queue.whenIdle();
		assert.is(queue.waitingBytes, 0);
	});

	it('all start or leave, whatever the order of events; guards against a call that is forgotten, and against more calls than connections', () => {
		for (let seed = 1; seed <= 50; seed += 1) {
			const random = createSeededRandom(seed);
			const connections = 3;
			const queue = new ConnectionQueue({connections, maxWaiting: 6});
			const waiting = new Set<QueuedCall>();
			const state = {running: 0};
			const createCall = (): QueuedCall => {
				const call: QueuedCall = {
					group: String(Math.floor(random() * 3)), bytes: 1, start() {
						waiting.delete(call);
						state.running += 1;
					},
				};
				return call;
			};

			for (let step = 0; step < 400; step += 1) {
				const choice = random();
				const [left] = waiting;
				if (choice < 0.5) {
					const call = createCall();
					waiting.add(call);
					if (!queue.enter(call)) {
						waiting.delete(call);
						assert.is(queue.waiting, 6);
					}
				} else if (choice < 0.8 && state.running > 0) {
					state.running -= 1;
					queue.release();
				} else if (left) {
					waiting.delete(left);
					queue.leave(left);
				}

				assert.ok(state.running <= connections);
				assert.is(queue.waiting, waiting.size);
				assert.ok(waiting.size === 0 || state.running === connections, `seed ${seed}: ${waiting.size} wait beside ${state.running}`);
			}
		}
	});
});
