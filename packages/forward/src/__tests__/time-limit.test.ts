import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {createTimeLimit, withTimeLimit} from '../time-limit.js';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

describe('a time limit', () => {
	it('ends a call despite garbage collection; guards against calls to the store that never end', async () => {
		const call = withTimeLimit(100, new AbortController().signal, async signal => new Promise((resolve, reject) => {
			signal.addEventListener('abort', () => {
				reject(new Error('ended'));
			}, {once: true});
		}));
		const outcome = call.catch((error: unknown) => error);
		for (let round = 0; round < 10; round += 1) {
			collectGarbage();
			await sleep(20);
		}

		const firstResult = await Promise.race([outcome, sleep(500, 'waits')]);
		assert.instance(firstResult, Error);
	});

	it('aborts with its parent signal and is not expired then; guards against an endpoint blamed when the caller disconnects', () => {
		const parent = new AbortController();
		const limit = createTimeLimit(10_000, parent.signal);
		parent.abort(new Error('parent'));
		assert.ok(limit.signal.aborted);
		assert.not(limit.isExpired);
		limit.clear();
	});
});
