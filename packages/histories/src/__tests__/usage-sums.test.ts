/**
 * Invariant I8: the reported usage of each account adds up to what its callers were answered, while the table is down,
 * slow or loses answers, and while entries are killed.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	expectNoViolations, injectFaults, runLoad, summarize, usageWindowsOnce, withFleet,
} from '../index.js';
import type {HistoryRecord} from '../history.js';
import {findUncountedUsage, findUsageDifferences, findWrongBills} from '../rules/usage-sums.js';

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

const killSeeds = [512, 513];
const killDurationMs = 20_000;
const flushMs = 300;
// A crash loses one flush interval, and the answers during the time that the last write takes on a busy machine.
const lossMs = flushMs + 700;
/** Grace time of 15 s, a takeover of 9 s for each of two holders, the last late look and a round of the reporter. */
const killReportLimitMs = 60_000;

const runWithKills = async (seed: number): Promise<void> => withFleet({
	seed, entries: 3, engines: 1, services: 1, settings: {entry: {usageWindowMs: 1000, usageFlushMs: flushMs}},
}, async (fleet, signal) => {
	await Promise.all([
		runLoad(fleet, {
			callers: 9, durationMs: killDurationMs, mix: {lookup: 2, completion: 1}, repeated: 0, timeoutMs: 20_000,
		}, signal),
		injectFaults(fleet, {
			durationMs: killDurationMs, targets: fleet.entryNames, processFaults: ['kill-and-restart'], tableFaults: [],
		}, signal),
	]);
	// The running entries flush what the last answers used.
	await sleep(2 * flushMs);
	const endMs = performance.now() + killReportLimitMs;
	while (findUncountedUsage(fleet.joinedHistory()).length > 0 && performance.now() < endMs) {
		await sleep(500);
	}

	const history = fleet.joinedHistory();
	const {sent, unanswered, faults} = summarize(history);
	console.log(`seed ${seed}: ${JSON.stringify({sent, unanswered, faults})}; ${findUsageDifferences(history).join('; ')}`);
	assert.ok(faults > 6, `only ${faults} faults`);
	assert.equal(findUncountedUsage(history), []);
	assert.equal(findWrongBills(history, lossMs), []);
	expectNoViolations(history, [usageWindowsOnce]);
});

const createRecord = (sequence: number, event: object, source = 'run'): HistoryRecord =>
	({
		sequence, atMs: sequence, source, name: 'x', event,
	}) as unknown as HistoryRecord;

const createFigures = (serviceCalls: number) => [{
	clientAccount: 'planning', promptTokens: 0, outputTokens: 0, serviceCalls,
}];

const createHistoryOf = (reportedCalls: number): HistoryRecord[] => [
	createRecord(1, {
		kind: 'sent', requestId: 'a', entry: 'entry-1', account: 'planning', request: 'lookup',
	}),
	createRecord(2, {
		kind: 'answered', requestId: 'a', status: 200, body: '',
	}),
	...[3, 4].map(sequence => createRecord(sequence, {
		kind: 'usage-report',
		report: {
			window: '1', shard: 0, epoch: 1, figures: createFigures(reportedCalls),
		},
	}, 'platform')),
];

describe('the reported usage is what callers were answered', () => {
	it('accepts a window that is reported twice with the right figures, and finds a wrong bill', () => {
		assert.equal(findUsageDifferences(createHistoryOf(1)), []);
		assert.equal(findUsageDifferences(createHistoryOf(2)), ['planning: 2 serviceCalls reported, 1 answered']);
	});

	it('allows a killed entry to lose one flush interval, and finds more lost, more billed and flushed usage that is not counted', () => {
		const flushed = {figures: createFigures(1)};
		const history = (killedAtMs: number, reportedCalls: number): HistoryRecord[] => [
			...createHistoryOf(reportedCalls),
			createRecord(5, {kind: 'object', key: 'usage/1/x/i/1', value: flushed}, 'platform'),
			createRecord(killedAtMs, {kind: 'fault', fault: 'kill', target: 'entry-1'}),
		];
		assert.equal(findWrongBills(history(12, 0), 11), []);
		assert.equal(findWrongBills(history(13, 0), 11), ['planning: 0 serviceCalls reported, at least 1 and at most 1 used']);
		assert.equal(findWrongBills(history(12, 2), 11), ['planning: 2 serviceCalls reported, at least 0 and at most 1 used']);
		assert.equal(findUncountedUsage(history(12, 1)), []);
		assert.equal(findUncountedUsage(history(12, 0)), ['planning: 0 serviceCalls reported, 1 flushed']);
	});

	for (const seed of killSeeds) {
		it(`with entries killed, seed ${seed}; guards against more lost than a flush interval and against usage billed twice`, async () => runWithKills(seed));
	}

	for (const seed of seeds) {
		it(`with a failing table, seed ${seed}; guards against usage that is lost or billed twice`, async () => run(seed));
	}
});
