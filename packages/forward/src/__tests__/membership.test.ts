import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {Membership} from '../membership.js';

const entries = 27;
/** The users' retry window: what silent peers spent shortly before they fell silent still counts for this time. */
const windowMs = 10_000;

type Fixture = {readonly members: Membership; readonly clock: ReturnType<typeof createManualClock>; hearAll(): void};

/** An entry that has read the rows of all entries and has received no message yet. */
const createMembers = (): Fixture => {
	const clock = createManualClock(100_000);
	const lastSeenMs = new Map<string, number>();
	const members = new Membership(clock, 'e0', name => lastSeenMs.get(name));
	const names = Array.from({length: entries}, (_, index) => `e${index}`);
	members.apply({
		rows: names.map(key => ({
			key,
			value: JSON.stringify({
				address: '127.0.0.1', gossipPort: 1, peerPort: 2, wallOffsetMs: 0,
			}),
			version: 1,
		})),
	} as unknown as Parameters<Membership['apply']>[0], true);
	return {
		members,
		clock,
		hearAll() {
			for (const name of names) {
				lastSeenMs.set(name, clock.nowMs());
			}
		},
	};
};

describe('the number of entries that share the limits', () => {
	it('includes peers that fell silent within the retry window; guards against entries behind a cut that each use the shares of all others', () => {
		const {members, clock, hearAll} = createMembers();
		hearAll();
		assert.is(members.sharingCount(), entries);
		for (let passedMs = 0; passedMs < windowMs; passedMs += 1000) {
			clock.advance(1000);
			assert.is(members.sharingCount(), entries);
		}

		assert.is(members.liveCount(), 1);
	});

	it('includes the registered peers right after the start; guards against an entry that has started and uses the shares of all others until it hears them', () => {
		const {members} = createMembers();
		assert.is(members.liveCount(), 1);
		assert.is(members.sharingCount(), entries);
	});

	it('follows the live entries after a minute; guards against an entry that keeps the shares of peers that are gone', () => {
		const {members, clock, hearAll} = createMembers();
		hearAll();
		members.sharingCount();
		clock.advance(61_000);
		assert.is(members.sharingCount(), 1);
	});
});
