import {LeaseTaker} from '@hawthorncleat/core';
import {createSeededRandom, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {leaseDurations, leaseWatchPauseMs} from '../duties.js';

/** Usage of a window is due ten seconds after its end, and its counts are written two seconds after it. */
const maxTakeoverMs = 8000;
const runs = 200;

/** Time from the last renewal of a holder that is killed until one of the others may take the lease. All have started at the same moment. */
const takeoverMs = (entries: number, random: () => number): number => {
	const lastRenewalMs = 20_000 + (random() * leaseDurations.leaseRenewMs);
	const times = Array.from({length: entries}, () => {
		const taker = new LeaseTaker(leaseDurations);
		for (let nowMs = random() * 300; ;) {
			const version = nowMs < lastRenewalMs ? Math.floor(nowMs / leaseDurations.leaseRenewMs) : -1;
			if (taker.observe({version, released: false, generation: 0 as never}, nowMs)) {
				return nowMs;
			}

			nowMs += leaseWatchPauseMs(entries, random);
		}
	});
	return Math.min(...times) - lastRenewalMs;
};

describe('reads of a lease that another entry holds', () => {
	for (const entries of [1, 3, 8, 24, 68]) {
		it(`let one of ${entries} entries take it over in time; guards against usage that is reported too late after the holder was killed`, () => {
			const random = createSeededRandom(entries);
			const longestMs = Math.max(...Array.from({length: runs}, () => takeoverMs(entries, random)));
			assert.ok(longestMs < maxTakeoverMs, `${Math.round(longestMs)} ms`);
		});
	}

	it('grow less than the number of entries; guards against calls to the store that grow with every entry', () => {
		const perSecond = (entries: number): number => entries * 1000 / leaseWatchPauseMs(entries, () => 0.5);
		assert.ok(perSecond(4) < 3.1);
		assert.ok(perSecond(24) < 5, String(perSecond(24)));
		assert.ok(perSecond(68) < 14);
	});
});
