import {brandAs, type RequestId, type SoftwareVersion} from '@hawthorncleat/core';
import {
	createManualClock, createSeededRandom, describe, it,
} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {decodeMessage, encodeMessage} from '../../peers/gossip-message.js';
import {StreamOrigins, type StreamNews} from '../stream-origins.js';

const requestId = (text: string): RequestId => brandAs<RequestId>(text);
const origin = {service: 'models', softwareVersion: brandAs<SoftwareVersion>('v1')};

const idsIn = (news: readonly StreamNews[]): string[] => news.flatMap(({ids}) => ids);

const transfer = (streams: readonly StreamNews[]): readonly StreamNews[] => decodeMessage(encodeMessage({
	from: 'e1', configVersion: 1, phase: {phase: 'ready', stoppingMs: 0}, roleChanges: [], load: {running: [], sent: []}, crashes: [], departures: [], streams,
}))!.streams ?? [];

describe('origins of streams', () => {
	it('reach a peer although every second datagram is lost; guards against streams that only their entry can go on with', () => {
		const clock = createManualClock(0);
		const [own, peer] = [new StreamOrigins({clock, isTold: () => true, isAnyTold: () => true}), new StreamOrigins({clock, isTold: () => true, isAnyTold: () => true})];
		const random = createSeededRandom(59);
		let begun = 0;
		for (let message = 0; message < 200; message += 1) {
			const added = Math.floor(random() * 4);
			for (let count = 0; count < added; count += 1) {
				begun += 1;
				own.recordBegun(requestId(`s${begun}`), origin);
			}

			const news = transfer(own.newsToSend('local'));
			if (message % 2 === 0) {
				peer.applyNews(news);
			}

			clock.advance(60);
		}

		const missing = Array.from({length: begun - 8}, (_, index) => requestId(`s${index + 1}`)).filter(id => peer.originOf(id) === undefined);
		assert.equal(missing, []);
	});

	it('are told to each group of peers, a few in a message, and only twice; guards against datagrams that do not fit and never end', () => {
		const clock = createManualClock(0);
		const own = new StreamOrigins({clock, isTold: () => true, isAnyTold: () => true});
		for (let number = 0; number < 30; number += 1) {
			own.recordBegun(requestId(`s${number}`), origin);
		}

		for (const group of ['local', 'remote']) {
			const messages = Array.from({length: 6}, () => idsIn(own.newsToSend(group)));
			assert.ok(messages.every(ids => ids.length <= 24));
			assert.is(messages.flat().length, 60);
			assert.is(new Set(messages.flat()).size, 30);
		}
	});

	it('are told from before the second version came into use, and not without one; guards against streams that nobody knows when a release begins', () => {
		const clock = createManualClock(0);
		let isMixed = false;
		const own = new StreamOrigins({clock, isTold: () => isMixed, isAnyTold: () => isMixed});
		own.recordBegun(requestId('s1'), origin);
		assert.equal(own.newsToSend('local'), []);
		assert.equal(own.unsaved(), []);
		isMixed = true;
		clock.advance(2000);
		assert.equal(own.newsToSend('local'), [{...origin, ids: ['s1']}]);
		assert.equal(own.unsaved(), [{...origin, ids: ['s1']}]);
		own.recordSaved(own.unsaved());
		assert.equal(own.unsaved(), []);
	});

	it('end the wait of a request that asks for one, whose wait ends with the caller and the limit as well; guards against resumed streams that hang', async () => {
		const clock = createManualClock(0);
		const origins = new StreamOrigins({clock, isTold: () => true, isAnyTold: () => true});
		const leaving = new AbortController();
		const told = origins.waitForOrigin(requestId('s1'), 10_000, new AbortController().signal);
		const left = origins.waitForOrigin(requestId('s2'), 10_000, leaving.signal);
		const limited = origins.waitForOrigin(requestId('s3'), 10, new AbortController().signal);
		origins.applyNews([{...origin, ids: [requestId('s1')]}]);
		leaving.abort();
		assert.equal(await told, origin);
		assert.is(await left, undefined);
		assert.is(await limited, undefined);
	});

	it('are written again after a return of the store from a copy; guards against streams that only the lost rows had', () => {
		const own = new StreamOrigins({clock: createManualClock(0), isTold: () => true, isAnyTold: () => true});
		own.recordBegun(requestId('s1'), origin);
		own.recordSaved(own.unsaved());
		own.recordStoreReturn();
		assert.equal(idsIn(own.unsaved()), ['s1']);
	});

	it('have ids of a limited length; guards against memory filled by ids that callers choose', () => {
		const own = new StreamOrigins({clock: createManualClock(0), isTold: () => true, isAnyTold: () => true});
		own.recordBegun(requestId('x'.repeat(10_000)), origin);
		assert.is(own.size, 0);
	});

	it('are forgotten after a minute; guards against memory that grows with each stream', () => {
		const clock = createManualClock(0);
		const origins = new StreamOrigins({clock, isTold: () => true, isAnyTold: () => true});
		for (let number = 0; number < 1000; number += 1) {
			origins.recordBegun(requestId(`s${number}`), origin);
			clock.advance(1000);
		}

		assert.ok(origins.size <= 61, `${origins.size} streams`);
	});
});
