import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {LateRequestBudget} from '../late-request-budget.js';
import {PrefillBacklog} from '../prefill-backlog.js';
import {lowestPriorityLevel} from '../priority-level.js';

describe('the share of late requests in the prefill work', () => {
	it('serves some large prompts while small ones keep the engines busy; guards against large prompts that never get a turn', () => {
		const share = new LateRequestBudget();
		let served = 0;
		for (let request = 0; request < 1000; request += 1) {
			share.credit(1500);
			if (request % 20 === 0 && share.trySpend({promptTokens: 30_000, uncachedTokens: 30_000})) {
				served += 1;
			}
		}

		assert.ok(served >= 5 && served <= 15, `${served} of 50`);
	});

	it('is not spent on smaller late prompts before it pays for a large one; guards against the largest prompts served least', () => {
		const share = new LateRequestBudget();
		let served = 0;
		for (let request = 0; request < 1000; request += 1) {
			share.credit(1500);
			share.trySpend({promptTokens: 10_000, uncachedTokens: 10_000});
			if (request % 20 === 0 && share.trySpend({promptTokens: 30_000, uncachedTokens: 30_000})) {
				served += 1;
			}
		}

		assert.ok(served >= 5, `${served} of 50`);
	});

	it('pays for one large prompt after a quiet time, not for a crowd', () => {
		const share = new LateRequestBudget();
		share.credit(10_000_000);
		const taken = Array.from({length: 10}, () => share.trySpend({promptTokens: 50_000, uncachedTokens: 50_000})).filter(Boolean);
		assert.is(taken.length, 1);
	});
});

describe('the expected end of prefill work', () => {
	it('comes later for late requests while more urgent prompts keep coming; guards against late requests that wait for their callers to leave', () => {
		const backlog = new PrefillBacklog(0);
		for (let nowMs = 0; nowMs < 10_000; nowMs += 20) {
			backlog.add(0, 12, nowMs);
		}

		const alone = backlog.waitMs(lowestPriorityLevel, 10_000) + 100;
		assert.ok(backlog.completionMs(lowestPriorityLevel, 100, 10_000) > alone * 2);
		assert.is(backlog.completionMs(0, 100, 10_000), backlog.waitMs(0, 10_000) + 100);
	});

	it('is that of the queue again once the urgent ones have stopped', () => {
		const backlog = new PrefillBacklog(0);
		backlog.add(0, 1900, 0);
		assert.ok(backlog.completionMs(lowestPriorityLevel, 100, 20_000) < 110);
	});
});
