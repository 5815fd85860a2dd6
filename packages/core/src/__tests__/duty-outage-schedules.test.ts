import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	DutyOutageWorld, entryCount, hostLists, type Faults,
} from './duty-outage-world.js';
import {findViolation, stepKind, type StepKind} from './schedules.js';

type StepKinds = ReadonlyArray<StepKind<DutyOutageWorld>>;

const maskCount = 2 ** entryCount;
const allEntriesMask = maskCount - 1;
// Entries 1 and 2 may take the lease over. With more entries, the steps of one takeover seldom occur in one schedule.
const takerCount = 2;

/** Steps in which messages may be lost or late. The masks select among the three witnesses of the first host list. */
const messageSteps: StepKinds = [
	stepKind('advance', [4], (world, size) => {
		world.advance([100, 300, 1000, 1900][size]!);
	}),
	stepKind('renew', [entryCount, 2], (world, index, isAnswered) => {
		world.renew(index, isAnswered === 1);
	}),
	stepKind('ask', [8], (world, mask) => {
		world.askAll(mask);
	}),
	stepKind('answers', [], world => {
		world.receiveAllAnswers();
	}),
	// Holders ask for attestations twice a second meanwhile; otherwise few would keep authority through the wait of a takeover.
	stepKind('attest rounds', [5, maskCount, 3], (world, size, mask, chance) => {
		world.runAttestRounds([1000, 2000, 4000, 7000, 10_000][size]!, chance === 0 ? mask : allEntriesMask);
	}),
	stepKind('attest rounds that all answer', [2], (world, size) => {
		world.runAttestRounds([3000, 7000][size]!, allEntriesMask);
	}),
	stepKind('observe row at all', [], world => {
		world.observeRowAtAll();
	}),
	stepKind('announce to one', [takerCount, 3], (world, index, member) => {
		world.announce(index + 1, 2 ** member);
	}),
	stepKind('announce to all', [takerCount], (world, index) => {
		world.announce(index + 1, allEntriesMask);
		world.receiveAnnouncementReplies(index + 1);
	}),
	stepKind('receive announcement replies', [takerCount], (world, index) => {
		world.receiveAnnouncementReplies(index + 1);
	}),
	stepKind('write', [takerCount, 2], (world, index, isAnswered) => {
		world.writeTakeover(index + 1, isAnswered === 1);
	}),
];

/** The steps above, and restarts of witnesses, changes of the host list and a table that some entries can reach. */
const messageAndChangeSteps: StepKinds = [
	...messageSteps,
	stepKind('long attest rounds', [2], (world, size) => {
		world.runAttestRounds([20_000, 60_000][size]!, allEntriesMask);
	}),
	stepKind('change list', [hostLists.length], (world, index) => {
		world.changeHostList(index);
	}),
	stepKind('adopt list', [maskCount], (world, mask) => {
		world.adoptHostList(mask);
	}),
	stepKind('all adopt list', [], world => {
		world.adoptHostList(allEntriesMask);
	}),
	stepKind('list changes for one', [hostLists.length, takerCount], (world, list, index) => {
		world.changeHostList(list);
		world.adoptHostList(2 ** (index + 1));
	}),
	stepKind('restart', [entryCount], (world, index) => {
		world.restart(index);
	}),
	stepKind('unreachable', [maskCount, 5], (world, mask, chance) => {
		world.setUnreachable(chance === 0 ? mask : allEntriesMask);
	}),
];

const search = (kinds: StepKinds, faults: Faults, runs = 6000): string | undefined => findViolation<DutyOutageWorld>({
	seed: 20_266,
	runs,
	steps: 100,
	createWorld: () => new DutyOutageWorld(faults),
	kinds,
	check(world) {
		world.assertInvariant();
	},
});

const removedRules: Array<readonly [keyof Faults, StepKinds, string]> = [
	['noAnnouncement', messageSteps, 'a takeover without an announcement'],
	['noWait', messageSteps, 'a takeover that does not wait for older attestations to expire'],
	['acceptsLateReplies', messageSteps, 'an announcement whose replies arrive too far apart'],
	['noSettling', messageAndChangeSteps, 'a witness that attests without a settling period'],
	['announcesToNewestListOnly', messageAndChangeSteps, 'a takeover that is announced only to the witnesses of the newest host list'],
	['acceptsMinority', messageSteps, 'an attestation by less than a majority'],
	['datesFromAnswer', messageSteps, 'an attestation whose validity counts from its answers'],
	['extendsAfterExpiry', messageSteps, 'authority that becomes valid again after it has expired'],
];

describe('authority during a table outage under random schedules', () => {
	it('ends before the next epoch is taken, whichever messages are lost or late', () => {
		assert.is(search(messageSteps, {}), undefined);
	});

	it('ends before the next epoch is taken, whichever witnesses restart and however the host list changes', () => {
		assert.is(search(messageAndChangeSteps, {}), undefined);
	});

	for (const [fault, kinds, what] of removedRules) {
		it(`would detect ${what}`, () => {
			assert.match(search(kinds, {[fault]: true}, 12_000) ?? '', 'authority after a takeover');
		});
	}
});
