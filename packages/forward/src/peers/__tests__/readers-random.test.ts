/** Rows of the store that are spoiled: arbitrary texts, arbitrary JSON, and sound rows with one part changed. Each costs itself alone. */
import {brandAs, type Fingerprint, type StoreGeneration} from '@hawthorncleat/core';
import {
	createManualClock, describe, it, spoiledTexts,
} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {Membership} from '../membership.js';
import type {StoreAnswer} from '../../ports.js';
import {RequestQuarantines} from '../../quarantines/request-quarantines.js';
import {decodeRows} from '../../quarantines/quarantine-row-format.js';
import {usageRowKey} from '../../usage/usage-counter.js';
import {sumWindow} from '../../usage/usage-sums.js';

const runs = {seed: 52, numRuns: 2000};

const soundQuarantine = {
	segment: 'models/s1', companions: ['models/s0'], refutedAfterMs: 10, untilMs: 90_000,
};
const soundRequest = {
	request: 'r1', count: 1, sinceMs: 0, untilMs: 60_000,
};
/** The longest quarantine of a request. */
const maxQuarantineMs = 3_600_000;
const soundMember = {
	address: '127.0.0.1', gossipPort: 7946, peerPort: 7947, dataCentre: 'a', wallOffsetMs: 5,
};

const answerWith = (values: Readonly<Record<string, string>>): StoreAnswer => ({
	rows: Object.entries(values).map(([key, value]) => ({key, value, version: 1})),
	version: 1,
	storeNowMs: 100,
	bytes: 0,
	transferMs: 0,
	generation: brandAs<StoreGeneration>(0),
});

describe('rows of the store that are spoiled', () => {
	it('are no usage, and a window has the counts of the others; guards against windows that are never reported, or with figures that are none', () => {
		fc.assert(fc.property(spoiledTexts({acme: 4, other: 2}), text => {
			const damaged: string[] = [];
			const rows = [[usageRowKey(7, 'e1'), text], [usageRowKey(7, 'e2'), '{"acme":3}']] as const;
			const counts = sumWindow(new Map(), rows.map(([key, value]) => ({key, value, version: 1})), key => {
				damaged.push(key);
			});
			assert.ok(Object.values(counts).every(count => Number.isFinite(count) && count >= 0), JSON.stringify(counts));
			assert.ok(counts.acme! >= 3);
			assert.ok(damaged.length === 0 || counts.acme === 3);
		}), runs);
	});

	it('are no quarantine, and the others hold; guards against an entry that knows none of them after a start', () => {
		fc.assert(fc.property(spoiledTexts(soundQuarantine), text => {
			const {segments: quarantines} = decodeRows(answerWith({damaged: text, sound: JSON.stringify(soundQuarantine)}));
			assert.ok(quarantines.some(({remainingMs}) => remainingMs === 89_900));
			assert.ok(quarantines.every(({segment, companions, refutedAgeMs}) => [segment, ...companions].every(name => typeof name === 'string') && Number.isFinite(refutedAgeMs)));
		}), runs);
	});

	it('are no quarantine of a request, and the others hold; guards against a request that is refused for ever, or let through', () => {
		fc.assert(fc.property(spoiledTexts(soundRequest), text => {
			const clock = createManualClock(100);
			const requests = new RequestQuarantines({clock, position: () => ({index: 0, count: 1}), onChange: () => undefined});
			requests.restore(decodeRows(answerWith({damaged: text, sound: JSON.stringify({...soundRequest, request: 'sound'})})).requests);
			assert.is(requests.remainingMs(brandAs<Fingerprint>('sound')), 59_900);
			assert.ok(requests.remembered.every(({fingerprint}) => (requests.remainingMs(fingerprint) ?? 0) <= maxQuarantineMs));
		}), runs);
	});

	it('are no entry, and the others are peers; guards against datagrams to nowhere and shares of entries that are none', () => {
		fc.assert(fc.property(spoiledTexts(soundMember), text => {
			const members = new Membership(createManualClock(0), 'e1', () => undefined);
			members.apply(answerWith({e3: text, e2: JSON.stringify(soundMember)}), true);
			assert.ok(members.peers().some(({name}) => name === 'e2'));
			assert.ok(members.peers().every(({port, dataCentre}) => port > 0 && port < 65_536 && (dataCentre === undefined || typeof dataCentre === 'string')));
			assert.ok(members.wallOffsets().every(offsetMs => Number.isFinite(offsetMs)));
		}), runs);
	});
});
