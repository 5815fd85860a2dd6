import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {hedgedRead} from '../hedged-read.js';

const never = async (signal: AbortSignal): Promise<string> => new Promise((_resolve, reject) => {
	signal.addEventListener('abort', () => {
		reject(new Error('ended'));
	}, {once: true});
});

describe('the first read of an entry that knows nothing', () => {
	// The first call waited 1.5 s for a store that had returned in the meantime.
	it('is answered soon after a silent store has returned; guards against an entry that waits on a connection that never gets an answer', async () => {
		let calls = 0;
		let ended = 0;
		const startMs = performance.now();
		const answer = await hedgedRead(async signal => {
			calls += 1;
			if (calls > 1) {
				return 'answer';
			}

			return never(signal).finally(() => {
				ended += 1;
			});
		}, () => 0.5, new AbortController().signal);
		assert.is(answer, 'answer');
		assert.ok(performance.now() - startMs < 1000);
		await Promise.resolve();
		assert.is(calls, 2);
		assert.is(ended, 1);
	});

	it('fails at once when the store refuses it; guards against calls without the pauses after a failure', async () => {
		let calls = 0;
		const failure = await hedgedRead(async () => {
			calls += 1;
			throw new Error('status 503');
		}, () => 0.5, new AbortController().signal).catch((error: unknown) => error);
		assert.is((failure as Error).message, 'status 503');
		assert.is(calls, 1);
	});

	it('makes a bounded number of calls; guards against entries that overrun a store which is slow for all of them', async () => {
		let calls = 0;
		const stop = new AbortController();
		const reading = hedgedRead(async signal => {
			calls += 1;
			return never(signal);
		}, () => 0, stop.signal).catch(() => undefined);
		await new Promise(resolve => {
			setTimeout(resolve, 2200);
		});
		stop.abort();
		await reading;
		assert.is(calls, 4);
	});
});
