import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {sendIntervalMs} from '../gossip.js';

describe('gossip between entries', () => {
	it('sends about as many datagrams a second to a hundred peers as to ten; guards against the smallest hosts kept busy by reading datagrams', () => {
		const perSecond = (peers: number): number => peers * 1000 / sendIntervalMs(peers);
		assert.ok(perSecond(10) <= 130 && perSecond(100) <= 130, `${perSecond(10)} and ${perSecond(100)} a second`);
	});

	it('sends often among few entries, and at least once a second among many', () => {
		assert.is(sendIntervalMs(3), 60);
		assert.is(sendIntervalMs(2300), 1000);
	});
});
