import {setTimeout as sleep} from 'node:timers/promises';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {createSupervisor, type Supervise, type Task} from '../supervisor.js';

type Failure = {readonly task: string; readonly error: unknown; readonly restartMs?: number};
type Fixture = {readonly supervise: Supervise; readonly failures: Failure[]; readonly clock: ReturnType<typeof createManualClock>};

const createFixture = (): Fixture => {
	const failures: Failure[] = [];
	const clock = createManualClock(0);
	return {
		clock,
		failures,
		supervise: createSupervisor({
			clock,
			onFailure(failure) {
				failures.push(failure);
			},
		}),
	};
};

const waitForAbort: Task = async signal => {
	while (!signal.aborted) {
		await sleep(10);
	}
};

/** A task that fails as often as the test says, and then waits for its end. */
const failTimes = (times: number, onStart: () => void = () => undefined): Task => {
	let starts = 0;
	return async signal => {
		starts += 1;
		onStart();
		if (starts <= times) {
			throw new Error(`failure ${starts}`);
		}

		await waitForAbort(signal);
	};
};

describe('supervised tasks', () => {
	it('start again after an exception, beside others that go on; guards against a process that ends by an exception of one task', async () => {
		const {supervise, failures} = createFixture();
		const controller = new AbortController();
		let starts = 0;
		let otherStarts = 0;
		const tasks = [
			supervise('failing', failTimes(2, () => {
				starts += 1;
			}), controller.signal),
			supervise('other', failTimes(0, () => {
				otherStarts += 1;
			}), controller.signal),
		];
		await sleep(500);
		assert.is(starts, 3);
		assert.is(otherStarts, 1);
		controller.abort();
		await Promise.all(tasks);
		assert.equal(failures.map(({task, error}) => [task, (error as Error).message]), [['failing', 'failure 1'], ['failing', 'failure 2']]);
	});

	it('pause longer while they keep failing, and shortly again after they have run for a while; guards against a loop that takes all processor time', async () => {
		const {supervise, failures, clock} = createFixture();
		const controller = new AbortController();
		const running = supervise('failing', failTimes(4, () => {
			clock.advance(failures.length === 3 ? 10_000 : 0);
		}), controller.signal);
		await sleep(1100);
		controller.abort();
		await running;
		assert.equal(failures.map(({restartMs}) => restartMs), [100, 200, 400, 100]);
	});

	it('are not started again when they are done or when the signal has aborted, also during a pause; guards against tasks that outlive the process\'s stop', async () => {
		const {supervise, failures} = createFixture();
		const controller = new AbortController();
		let runs = 0;
		await supervise('once', async () => {
			runs += 1;
		}, controller.signal);
		const running = supervise('failing', async () => {
			runs += 1;
			throw new Error('failure');
		}, controller.signal);
		await sleep(20);
		controller.abort();
		await running;
		assert.is(runs, 2);
		assert.is(failures.length, 1);
	});

	it('report an exception while they end, but not their abort; guards against a failure that nothing shows', async () => {
		const {supervise, failures} = createFixture();
		const controller = new AbortController();
		const tasks = [
			supervise('aborted', async signal => sleep(10_000, undefined, {signal}), controller.signal),
			supervise('failing', async signal => {
				await waitForAbort(signal);
				throw new Error('failure');
			}, controller.signal),
		];
		await sleep(20);
		controller.abort();
		await Promise.all(tasks);
		assert.equal(failures.map(({task, restartMs}) => [task, restartMs]), [['failing', undefined]]);
	});
});
