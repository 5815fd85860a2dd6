import {Buffer} from 'node:buffer';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EventSplitter} from '../event-splitter.js';

describe('the event splitter', () => {
	it('returns only complete events, however the bytes are split; guards against truncated events before a resumed stream', () => {
		const stream = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: thr';
		for (let size = 1; size < stream.length; size += 1) {
			const splitter = new EventSplitter();
			let relayed = '';
			for (let start = 0; start < stream.length; start += size) {
				relayed += String(splitter.push(Buffer.from(stream.slice(start, start + size))));
			}

			assert.is(relayed, 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
			assert.is(splitter.lastEventId, '2');
			assert.is(splitter.eventCount, 2);
		}
	});

	it('reads the id from its own field; guards against data that looks like an id', () => {
		const splitter = new EventSplitter();
		splitter.push(Buffer.from('id:7\ndata: id: 9\n\n'));
		assert.is(splitter.lastEventId, '7');
	});
});
