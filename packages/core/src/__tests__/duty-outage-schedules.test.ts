import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	DutyOutageWorld, entryCount, groups, type Faults,
} from './duty-outage-world.js';
import {findViolation, stepKind, type StepKind} from './schedules.js';

type Kinds = ReadonlyArray<StepKind<DutyOutageWorld>>;

const masks = 2 ** entryCount;
const all = masks - 1;
// Entries 1 and 2. With more of them, the steps of one takeover seldom meet.
const takers = 2;

/** Messages that are lost or late. The masks concern the three witnesses of the first list. */
const messages: Kinds = [
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
	// Time in which holders ask twice a second; without it few live through the wait of a taker.
	stepKind('time with rounds', [5, masks, 3], (world, size, mask, isPart) => {
		world.runAttestRounds([1000, 2000, 4000, 7000, 10_000][size]!, isPart === 0 ? mask : all);
	}),
	stepKind('time in which all answer', [2], (world, size) => {
		world.runAttestRounds([3000, 7000][size]!, all);
	}),
	stepKind('watch', [], world => {
		world.observeRowAtAll();
	}),
	stepKind('announce to one', [takers, 3], (world, index, member) => {
		world.announce(index + 1, 2 ** member);
	}),
	stepKind('announce to all', [takers], (world, index) => {
		world.announce(index + 1, all);
		world.receiveAnnouncementReplies(index + 1);
	}),
	stepKind('notes', [takers], (world, index) => {
		world.receiveAnnouncementReplies(index + 1);
	}),
	stepKind('write', [takers, 2], (world, index, isAnswered) => {
		world.writeTakeover(index + 1, isAnswered === 1);
	}),
];

/** As above, with witnesses that restart, lists that change and a table that comes back for some. */
const changes: Kinds = [
	...messages,
	stepKind('long time with rounds', [2], (world, size) => {
		world.runAttestRounds([20_000, 60_000][size]!, all);
	}),
	stepKind('change list', [groups.length], (world, index) => {
		world.changeHostList(index);
	}),
	stepKind('adopt list', [masks], (world, mask) => {
		world.adoptHostList(mask);
	}),
	stepKind('all adopt list', [], world => {
		world.adoptHostList(all);
	}),
	stepKind('list changes for one', [groups.length, takers], (world, list, index) => {
		world.changeHostList(list);
		world.adoptHostList(2 ** (index + 1));
	}),
	stepKind('restart', [entryCount], (world, index) => {
		world.restart(index);
	}),
	stepKind('unreachable', [masks, 5], (world, mask, chance) => {
		world.setUnreachable(chance === 0 ? mask : all);
	}),
];

const search = (kinds: Kinds, faults: Faults, runs = 6000): string | undefined => findViolation<DutyOutageWorld>({
	seed: 20_266,
	runs,
	steps: 100,
	createWorld: () => new DutyOutageWorld(faults),
	kinds,
	check(world) {
		world.assertInvariant();
	},
});

const removals: Array<readonly [keyof Faults, Kinds, string]> = [
	['noAnnouncement', messages, 'a taker that does not announce'],
	['noWait', messages, 'a taker that does not wait for older attestations to run out'],
	['acceptsLateReplies', messages, 'answers to an announcement that come too far apart'],
	['noSettling', changes, 'a witness that attests as soon as it has started or joined'],
	['announcesToNewestListOnly', changes, 'a taker that asks only the witnesses of its newest list'],
	['acceptsMinority', messages, 'an attestation by less than a majority'],
	['datesFromAnswer', messages, 'an attestation that counts from its answer'],
	['extendsAfterExpiry', messages, 'authority that comes back after it has lapsed'],
];

describe('authority during a table outage under random schedules', () => {
	it('ends before the next epoch is taken, whatever is lost or late', () => {
		assert.is(search(messages, {}), undefined);
	});

	it('ends before the next epoch is taken, whatever restarts or changes in the list', () => {
		assert.is(search(changes, {}), undefined);
	});

	for (const [fault, kinds, what] of removals) {
		it(`would notice ${what}`, () => {
			assert.match(search(kinds, {[fault]: true}, 12_000) ?? '', 'authority after a takeover');
		});
	}
});
