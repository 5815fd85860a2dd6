import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {entryCount, FreshnessWorld, type Faults} from './freshness-world.js';
import {findViolation, stepKind} from './schedules.js';

const maskCount = 2 ** entryCount;
// Short durations are the most frequent, because proofs are valid for a few seconds only.
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
		stepKind('read', [entryCount, 2], (world, index, isInstalled) => {
			world.startRead(index);
			world.finishRead(index, isInstalled === 1);
		}),
		stepKind('start read', [entryCount], (world, index) => {
			world.startRead(index);
		}),
		stepKind('finish read', [entryCount, 2], (world, index, isInstalled) => {
			world.finishRead(index, isInstalled === 1);
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
		stepKind('publish', [maskCount, maskCount], (world, announceMask, confirmMask) => {
			world.announce(announceMask);
			world.writeHead();
			world.confirm(confirmMask);
		}),
		stepKind('cut store', [], world => {
			world.cutStore();
		}),
		stepKind('relay proof', [entryCount, entryCount], (world, index, peer) => {
			world.relayProof(index, peer);
		}),
		stepKind('start round', [entryCount, maskCount], (world, index, mask) => {
			world.startRound(index, mask);
		}),
		stepKind('round', [entryCount, maskCount], (world, index, mask) => {
			world.startRound(index, mask);
			world.finishRound(index, maskCount - 1);
		}),
		stepKind('finish round', [entryCount, maskCount], (world, index, mask) => {
			world.finishRound(index, mask);
		}),
		stepKind('announce', [maskCount], (world, mask) => {
			world.announce(mask);
		}),
		stepKind('write head', [], world => {
			world.writeHead();
		}),
		stepKind('confirm', [maskCount], (world, mask) => {
			world.confirm(mask);
		}),
		// Only one in four of these steps restarts an entry, because a restarted witness attests nothing for a minute.
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
	it('admits no request with a withdrawn key more than 5 s after the withdrawal was accepted', () => {
		assert.is(search({}), undefined);
	});

	it('would detect that a minority of the witnesses is enough', () => {
		assert.match(search({acceptsMinority: true}) ?? '', 'admits with version');
	});

	it('would detect a read of an older version that ends an announcement', () => {
		assert.match(search({readEndsAnnouncement: true}) ?? '', 'admits with version');
	});

	it('would detect a witness that drops the announcement of a written version', () => {
		assert.match(search({forgetsWrittenVersion: true}) ?? '', 'admits with version');
	});

	it('would detect a witness that attests directly after a restart', () => {
		assert.match(search({noSettling: true}) ?? '', 'admits with version');
	});
});
