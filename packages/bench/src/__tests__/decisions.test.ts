import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {deployments} from '../deployments.js';
import {runOnce, type RunResult} from '../run.js';
import {findWorkload} from '../run-task.js';
import {findStrategy, testedKey} from '../strategies/index.js';
import {worstEntitled} from '../summary.js';
import type {Workload} from '../workloads.js';

// Two seeds and two phases keep this file under 20 s. The limits lie below the figures of docs/bench by more than the
// spread of single seeds.
const runs = [0, 1];
const deployment = deployments[0]!;
const minute = 60_000;
const swinging = findWorkload('swinging mix');
const swing: Workload = {
	...swinging, phases: swinging.phases.slice(0, 2).map(phase => ({...phase, durationMs: 2 * minute})),
};
const burst: Workload = {
	...findWorkload('burst of one account'),
	phases: [{...findWorkload('burst of one account').phases[0]!, durationMs: 3 * minute}],
	burst: {
		account: 0, factor: 4, fromMs: minute, toMs: 3 * minute,
	},
};

const runAll = (strategy: string, workload: Workload): RunResult[] =>
	runs.map(run => runOnce(findStrategy(strategy), workload, deployment, run));

const goodput = (results: readonly RunResult[]): number =>
	results.reduce((sum, {onTime}) => sum + onTime.requests, 0);

describe('decisions on the simulated fleet', () => {
	const tested = runAll(testedKey, swing);

	it('guards against goodput lost to fixed roles under the swinging mix', () => {
		assert.ok(goodput(tested) >= 1.3 * goodput(runAll('round-robin', swing)));
		assert.ok(goodput(tested) >= 1.15 * goodput(runAll('split 3p 3d', swing)));
	});

	it('guards against roles that flap', () => {
		for (const {roleChangesMs} of tested) {
			assert.ok(roleChangesMs.length <= 7, String(roleChangesMs));
		}
	});

	it('guards against admitting requests that end late', () => {
		for (const {late, offered} of tested) {
			assert.ok(late <= 0.02 * offered.requests, String(late));
		}
	});

	it('guards against a refusal that waits for the deadline', () => {
		for (const {refusalMs} of tested) {
			assert.ok(refusalMs.median <= 20, String(refusalMs.median));
		}
	});

	it('guards against a burst of one account that takes the share of another', () => {
		for (const {accounts} of runAll(testedKey, burst)) {
			assert.ok(worstEntitled(accounts) >= 0.8, String(worstEntitled(accounts)));
		}
	});

	it('guards against a run that depends on anything but its seed', () => {
		const short = {...swing, phases: swing.phases.slice(0, 1).map(phase => ({...phase, durationMs: minute / 2}))};
		const [first, second] = [0, 0].map(run => runOnce(findStrategy(testedKey), short, deployment, run));
		assert.equal(first, second);
	});
});
