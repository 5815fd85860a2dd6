import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	expectNoViolations, injectFaults, runLoad, usageWindowsOnce, withFleet,
} from '../index.js';

const seeds = [501];
// The reporter waits 15 s after the end of a window, and a takeover takes 9 s.
const durationMs = 42_000;

const run = async (seed: number): Promise<void> => withFleet({
	seed, entries: 3, services: 1, settings: {entry: {usageWindowMs: 1000, usageFlushMs: 200}},
}, async (fleet, signal) => {
	await Promise.all([
		runLoad(fleet, {
			callers: 6, durationMs, mix: {lookup: 1}, repeated: 0,
		}, signal),
		injectFaults(fleet, {
			durationMs, targets: fleet.entryNames, processFaults: ['kill-and-restart', 'short-pause', 'long-pause'], tableFaults: ['lost-answers', 'down', 'slow'],
		}, signal),
	]);
	const history = fleet.joinedHistory();
	const reports = history.filter(({event}) => event.kind === 'usage-report');
	console.log(`seed ${seed}: ${reports.length} reports, ${reports.filter(({event}) => event.kind === 'usage-report' && event.repeated).length} repeated`);
	expectNoViolations(history, [usageWindowsOnce]);
	assert.ok(reports.length > 0, 'no window was reported');
});

describe('usage windows are reported once', () => {
	for (const seed of seeds) {
		it(`with entries killed and paused and a failing table, seed ${seed}; guards against two figures for one window`, async () => run(seed));
	}
});
