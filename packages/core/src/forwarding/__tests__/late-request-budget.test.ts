import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {LateRequestBudget} from '../late-request-budget.js';
import {PrefillBacklog} from '../prefill-backlog.js';
import {lowestPriorityLevel} from '../priority-level.js';

describe('budget for late requests', () => {
	it('serves some large prompts while small ones keep the engines busy; guards against starvation of large prompts', () => {
		const budget = new LateRequestBudget();
		let served = 0;
		for (let request = 0; request < 1000; request += 1) {
			budget.credit(1500);
			if (request % 20 === 0 && budget.trySpend({promptTokens: 30_000, uncachedTokens: 30_000})) {
				served += 1;
			}
		}

		assert.ok(served >= 5 && served <= 15, `${served} of 50`);
	});

	it('is not spent on smaller late prompts before it pays for a large one; guards against the largest prompts served least often', () => {
		const budget = new LateRequestBudget();
		let served = 0;
		for (let request = 0; request < 1000; request += 1) {
			budget.credit(1500);
			budget.trySpend({promptTokens: 10_000, uncachedTokens: 10_000});
			if (request % 20 === 0 && budget.trySpend({promptTokens: 30_000, uncachedTokens: 30_000})) {
				served += 1;
			}
		}

		assert.ok(served >= 5, `${served} of 50`);
	});

	it('pays for only one of many large prompts after a quiet time', () => {
		const budget = new LateRequestBudget();
		budget.credit(10_000_000);
		const taken = Array.from({length: 10}, () => budget.trySpend({promptTokens: 50_000, uncachedTokens: 50_000})).filter(Boolean);
		assert.is(taken.length, 1);
	});
});

describe('expected completion of a prefill', () => {
	it('is later for late requests while more urgent prompts keep arriving; guards against late requests queued until their callers give up', () => {
		const backlog = new PrefillBacklog(0);
		for (let nowMs = 0; nowMs < 10_000; nowMs += 20) {
			backlog.add('e2', {level: 0, ms: 12}, nowMs);
		}

		backlog.add('e2', {level: 0, ms: 200}, 10_000);
		const waitMs = backlog.waitMs(lowestPriorityLevel, 10_000);
		assert.ok(waitMs >= 200);
		assert.ok(backlog.completionMs(lowestPriorityLevel, 100, 10_000) > (waitMs * 2) + 100);
		assert.is(backlog.completionMs(0, 100, 10_000), backlog.waitMs(0, 10_000) + 100);
	});

	it('depends only on the queue once no more urgent prompts arrive', () => {
		const backlog = new PrefillBacklog(0);
		backlog.add('e2', {level: 0, ms: 1900}, 0);
		assert.ok(backlog.completionMs(lowestPriorityLevel, 100, 20_000) < 110);
	});
});
