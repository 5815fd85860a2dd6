import {setTimeout as delay} from 'node:timers/promises';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	actionsRunOnce, createServiceOptions, expectNoViolations, injectFaults, refusalsAreTrue, runLoad, sendAllAgain, summarize, withFleet, type FaultOptions, type FleetOptions,
} from '../index.js';

const seeds = [101, 102, 103];
const durationMs = 5000;
// Longer than any delay of a service, so that the last effects are in the history.
const settleMs = 500;

const createFleet = (seed: number): FleetOptions => ({
	seed,
	entries: 3,
	services: [1, 2].map(number => ({name: `service-${number}`, dataCentre: 'dc-1', options: createServiceOptions(seed + number)})),
});

const run = async (seed: number, faults: Omit<FaultOptions, 'durationMs' | 'targets'>): Promise<void> => withFleet(createFleet(seed), async (fleet, signal) => {
	const [keys] = await Promise.all([
		runLoad(fleet, {
			callers: 9, durationMs, mix: {action: 1}, repeated: 0.3,
		}, signal),
		injectFaults(fleet, {durationMs, targets: [...fleet.entryNames, ...fleet.agentNames], ...faults}, signal),
	]);
	await sendAllAgain(fleet, keys, signal);
	await delay(settleMs);
	const history = fleet.joinedHistory();
	const summary = summarize(history);
	console.log(`seed ${seed}: ${JSON.stringify(summary)}`);
	expectNoViolations(history, [actionsRunOnce, refusalsAreTrue]);
	assert.ok(summary.orders > 0 && summary.faults > 0, 'the run was idle');
});

describe('actions run at most once', () => {
	for (const seed of seeds) {
		it(`under kills, pauses and a failing table, seed ${seed}; guards against a second execution when callers send again`, async () => run(seed, {
			processFaults: ['kill-and-restart', 'replace', 'short-pause', 'long-pause'],
			tableFaults: ['lost-answers', 'down', 'slow'],
		}));
	}
});
