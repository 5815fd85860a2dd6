import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {entryCount, FreshnessWorld, type Faults} from './freshness-world.js';
import {findViolation, stepKind} from './schedules.js';

const masks = 2 ** entryCount;
// Short waits are the most frequent, because evidence lasts for a few seconds.
const durationsMs = [100, 100, 500, 500, 1500, 4000, 31_000, 61_000];

const search = (faults: Faults): string | undefined => findViolation<FreshnessWorld>({
	seed: 20_264,
	runs: 4000,
	steps: 200,
	createWorld: () => new FreshnessWorld(faults),
	kinds: [
		stepKind('advance', [durationsMs.length], (world, index) => {
			world.advance(durationsMs[index]!);
		}),
		stepKind('read', [entryCount, 2], (world, index, installs) => {
			world.startRead(index);
			world.finishRead(index, installs === 1);
		}),
		stepKind('start read', [entryCount], (world, index) => {
			world.startRead(index);
		}),
		stepKind('finish read', [entryCount, 2], (world, index, installs) => {
			world.finishRead(index, installs === 1);
		}),
		stepKind('start reads', [], world => {
			for (let index = 0; index < entryCount; index += 1) {
				world.startRead(index);
			}
		}),
		stepKind('finish reads and cut store', [], world => {
			for (let index = 0; index < entryCount; index += 1) {
				world.finishRead(index, false);
			}

			world.cutStore();
		}),
		stepKind('publish', [masks, masks], (world, announceMask, confirmMask) => {
			world.announce(announceMask);
			world.writeHead();
			world.confirm(confirmMask);
		}),
		stepKind('cut store', [], world => {
			world.cutStore();
		}),
		stepKind('relay', [entryCount, entryCount], (world, index, peer) => {
			world.relayProof(index, peer);
		}),
		stepKind('start round', [entryCount, masks], (world, index, mask) => {
			world.startRound(index, mask);
		}),
		stepKind('round', [entryCount, masks], (world, index, mask) => {
			world.startRound(index, mask);
			world.finishRound(index, masks - 1);
		}),
		stepKind('finish round', [entryCount, masks], (world, index, mask) => {
			world.finishRound(index, mask);
		}),
		stepKind('announce', [masks], (world, mask) => {
			world.announce(mask);
		}),
		stepKind('write head', [], world => {
			world.writeHead();
		}),
		stepKind('confirm', [masks], (world, mask) => {
			world.confirm(mask);
		}),
		// Seldom, because a restarted witness is out of the game for a minute.
		stepKind('restart', [entryCount, entryCount, 4], (world, index, peer, chance) => {
			if (chance === 0) {
				world.restart(index, peer);
			}
		}),
		stepKind('change list', [4], (world, chance) => {
			if (chance === 0) {
				world.changeHostList();
			}
		}),
		stepKind('adopt list', [entryCount], (world, index) => {
			world.adoptHostList(index);
		}),
	],
	check(world) {
		world.assertInvariant();
	},
});

describe('freshness under random schedules', () => {
	it('admits no keyed request more than 5 s after an accepted withdrawal', () => {
		assert.is(search({}), undefined);
	});

	it('would notice that a minority of the witnesses is enough', () => {
		assert.match(search({acceptsMinority: true}) ?? '', 'admits with version');
	});

	it('would notice a read that ends an announcement', () => {
		assert.match(search({readEndsAnnouncement: true}) ?? '', 'admits with version');
	});

	it('would notice a witness that forgets a version that was written', () => {
		assert.match(search({forgetsWrittenVersion: true}) ?? '', 'admits with version');
	});

	it('would notice a witness that attests at once after a restart', () => {
		assert.match(search({noSettling: true}) ?? '', 'admits with version');
	});
});
