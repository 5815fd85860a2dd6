/** Random histories of releases, kills, outages of the store and lost datagrams, searched for streams that go on at another version (issue 59, ORDER). */
import {createSeededRandom, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {StreamVersionsWorld, type Resumed} from './stream-versions-world.js';

const seeds = Array.from({length: 30}, (_, index) => 5900 + index);
const steps = 1200;

type Rates = {readonly release: number; readonly killOne: number; readonly killAll: number; readonly storeChange: number; readonly cut: number};

const runHistory = async (seed: number, entries: number, rates: Rates): Promise<readonly Resumed[]> => {
	const random = createSeededRandom(seed);
	const world = new StreamVersionsWorld(random, entries);
	for (let step = 0; step < steps; step += 1) {
		await world.step();
		if (random() < rates.release) {
			world.release();
		}

		if (random() < rates.killOne) {
			world.kill(1 / entries);
		}

		if (random() < rates.killAll) {
			world.kill(1);
		}

		if (random() < rates.storeChange) {
			world.isStoreDown = !world.isStoreDown;
		}

		if (random() < rates.cut) {
			world.cutOff(random());
		}

		if (random() < 0.3) {
			await world.resume();
		}
	}

	return world.resumed;
};

const findWrong = (resumed: readonly Resumed[]): Resumed[] => resumed.filter(({truth, found}) => found !== undefined && found !== truth);

const knownShare = (resumed: readonly Resumed[]): number => resumed.filter(({found}) => found !== undefined).length / resumed.length;

describe('streams that callers resume in random histories', () => {
	it('never go on at another version while the store answers, and mostly go on; guards against joined streams, and against lost ones', async () => {
		let share = 0;
		for (const seed of seeds) {
			const resumed = await runHistory(seed, 4, {
				release: 0.01, killOne: 0.01, killAll: 0.004, storeChange: 0, cut: 0,
			});
			assert.equal(findWrong(resumed), [], `seed ${seed}`);
			share += knownShare(resumed) / seeds.length;
		}

		assert.ok(share > 0.9, `${share}`);
	});

	it('never go on at another version while the store fails or turns entries away; guards against guesses', async () => {
		for (const seed of seeds) {
			const resumed = await runHistory(seed, 4, {
				release: 0.01, killOne: 0.01, killAll: 0.004, storeChange: 0.02, cut: 0.01,
			});
			assert.equal(findWrong(resumed), [], `seed ${seed}`);
		}
	});
});
