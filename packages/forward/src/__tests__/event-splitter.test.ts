import {Buffer} from 'node:buffer';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EventSplitter} from '../event-splitter.js';

describe('the splitter of events', () => {
	it('passes on whole events only, however the bytes are cut; guards against half events before a resumed stream', () => {
		const stream = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: thr';
		for (let size = 1; size < stream.length; size += 1) {
			const splitter = new EventSplitter();
			let passed = '';
			for (let from = 0; from < stream.length; from += size) {
				passed += String(splitter.push(Buffer.from(stream.slice(from, from + size))));
			}

			assert.is(passed, 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
			assert.is(splitter.lastEventId, '2');
			assert.is(splitter.eventCount, 2);
		}
	});

	it('is not misled by data that looks like an id', () => {
		const splitter = new EventSplitter();
		splitter.push(Buffer.from('id:7\ndata: id: 9\n\n'));
		assert.is(splitter.lastEventId, '7');
	});

	it('drops the beginning of an event that broke off', () => {
		const splitter = new EventSplitter();
		splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
		splitter.discardPartialEvent();
		assert.is(String(splitter.push(Buffer.from('id: 2\ndata: b\n\n'))), 'id: 2\ndata: b\n\n');
	});
});
