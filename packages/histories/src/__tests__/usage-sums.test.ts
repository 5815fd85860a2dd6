/**
 * Invariant I8: the reported usage of each account adds up to what its callers were answered, while the table is down,
 * slow or loses answers.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	expectNoViolations, injectFaults, runLoad, usageWindowsOnce, withFleet,
} from '../index.js';
import type {HistoryRecord} from '../history.js';
import {findUsageDifferences} from '../rules/usage-sums.js';

const seeds = [511];
const durationMs = 8000;
/** Grace time of 15 s, the last late look of a few windows, and a round of the reporter. */
const reportLimitMs = 30_000;

const run = async (seed: number): Promise<void> => withFleet({
	seed, entries: 2, engines: 1, services: 1, settings: {entry: {usageWindowMs: 1000, usageFlushMs: 200}},
}, async (fleet, signal) => {
	await Promise.all([
		runLoad(fleet, {
			callers: 6, durationMs, mix: {lookup: 1, completion: 1}, repeated: 0, timeoutMs: 20_000,
		}, signal),
		injectFaults(fleet, {
			durationMs, targets: [], processFaults: [], tableFaults: ['lost-answers', 'down', 'slow'],
		}, signal),
	]);
	fleet.setFaults({});
	const endMs = performance.now() + reportLimitMs;
	while (findUsageDifferences(fleet.joinedHistory()).length > 0 && performance.now() < endMs) {
		await sleep(500);
	}

	const history = fleet.joinedHistory();
	const answers = history.filter(({event}) => event.kind === 'answered').length;
	assert.ok(answers > 100, `only ${answers} requests were answered`);
	assert.equal(findUsageDifferences(history), []);
	expectNoViolations(history, [usageWindowsOnce]);
});

const createRecord = (sequence: number, event: object, source = 'run'): HistoryRecord =>
	({
		sequence, atMs: sequence, source, name: 'x', event,
	}) as unknown as HistoryRecord;

const createHistoryOf = (reportedCalls: number): HistoryRecord[] => [
	createRecord(1, {
		kind: 'sent', requestId: 'a', account: 'planning', request: 'lookup',
	}),
	createRecord(2, {
		kind: 'answered', requestId: 'a', status: 200, body: '',
	}),
	...[3, 4].map(sequence => createRecord(sequence, {
		kind: 'usage-report',
		report: {
			window: '1', shard: 0, epoch: 1, figures: [{
				clientAccount: 'planning', promptTokens: 0, outputTokens: 0, serviceCalls: reportedCalls,
			}],
		},
	}, 'platform')),
];

describe('the reported usage is what callers were answered', () => {
	it('accepts a window that is reported twice with the right figures, and finds a wrong bill', () => {
		assert.equal(findUsageDifferences(createHistoryOf(1)), []);
		assert.equal(findUsageDifferences(createHistoryOf(2)), ['planning: 2 serviceCalls reported, 1 answered']);
	});

	for (const seed of seeds) {
		it(`with a failing table, seed ${seed}; guards against usage that is lost or billed twice`, async () => run(seed));
	}
});
