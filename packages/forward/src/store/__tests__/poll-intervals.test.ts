import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	configWaitMs, endpointBatchMs, endpointPauseMs, isToldByPeers, maxEndpointPauseMs, type PollSituation,
} from '../poll-intervals.js';

const bounds = {drainMs: 3000, heartbeatMs: 1200};
const steady: PollSituation = {
	entries: 24, registeredPeers: 23, heardPeers: 23, steadyMs: 20_000,
};
/** Time for the call and for a request that is on its way. */
const marginMs = 500;

describe('intervals of calls to the store', () => {
	it('leave an entry time to learn of a leaving endpoint by itself; guards against requests after the drain time when all messages are lost', () => {
		for (const drainMs of [1000, 2000, 3000, 10_000]) {
			const pauseMs = endpointPauseMs(steady, {...bounds, drainMs}, () => 0);
			assert.ok(pauseMs <= Math.max(endpointBatchMs(24), drainMs - marginMs), `${pauseMs} of ${drainMs} ms`);
		}
	});

	it('are shorter than the time without answers that counts as an outage; guards against endpoints that are kept although they have left', () => {
		for (const heartbeatMs of [600, 1200, 5000]) {
			assert.ok(maxEndpointPauseMs({drainMs: 60_000, heartbeatMs}) < 2 * heartbeatMs);
		}
	});

	it('make at most 0.8 calls a second and entry together with the others; guards against calls that cost more than machines', () => {
		const endpointCalls = 1000 / endpointPauseMs(steady, bounds, () => 0.5);
		const configCalls = 1000 / configWaitMs(steady, 1600, 0.5);
		assert.ok(endpointCalls + configCalls < 0.65, String(endpointCalls + configCalls));
	});

	it('let the fleet see a change sooner than one entry by itself; guards against news that gets older with fewer calls', () => {
		assert.ok(endpointPauseMs(steady, bounds, () => 0) / steady.entries < endpointBatchMs(1));
	});

	const alone: ReadonlyArray<readonly [name: string, situation: Partial<PollSituation>]> = [
		['hears no peer', {heardPeers: 0}],
		['hears a minority, as behind a cut', {heardPeers: 9, registeredPeers: 23}],
		['is one of a few', {entries: 5, registeredPeers: 4, heardPeers: 4}],
		['has just started, or the store has failed', {steadyMs: 1000}],
	];
	for (const [name, change] of alone) {
		it(`are those of an entry by itself when it ${name}; guards against trust in messages that do not come`, () => {
			const situation = {...steady, ...change};
			assert.not(isToldByPeers(situation));
			assert.is(endpointPauseMs(situation, bounds, () => 0.5), endpointBatchMs(situation.entries));
			assert.is(configWaitMs(situation, 1600, 0.9), 1600);
		});
	}
});
