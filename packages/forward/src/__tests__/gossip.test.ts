import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {sendIntervalMs} from '../gossip.js';

describe('messages between entries', () => {
	it('cost an entry the same with ten and with a hundred peers; guards against the smallest hosts that only read datagrams', () => {
		const perSecond = (peers: number): number => peers * 1000 / sendIntervalMs(peers);
		assert.ok(perSecond(10) <= 130 && perSecond(100) <= 130, `${perSecond(10)} and ${perSecond(100)} a second`);
	});

	it('are frequent among few entries, and come at least once a second among many', () => {
		assert.is(sendIntervalMs(3), 60);
		assert.is(sendIntervalMs(2300), 1000);
	});
});
