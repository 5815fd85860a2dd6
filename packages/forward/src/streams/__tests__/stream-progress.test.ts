import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {StreamProgress} from '../stream-progress.js';

describe('the progress of a stream', () => {
	it('measures the time of the events after the first ones; guards against an engine taken for fast because events were buffered', () => {
		const progress = new StreamProgress();
		progress.record({events: 5, load: 0.2, atMs: 100});
		progress.record({events: 0, load: 1, atMs: 150});
		progress.record({events: 1, load: 0.4, atMs: 200});
		progress.record({events: 1, load: 0.6, atMs: 300});
		assert.is(progress.laterEventCount, 2);
		assert.is(progress.laterEventsMs, 200);
		assert.is(progress.eventCount, 7);
		assert.ok(Math.abs(progress.meanLoad - 0.4) < 0.001);
		assert.is(progress.view.maxLoad, 0.6);
	});

	it('has no later events, time or load without events; guards against a division by zero', () => {
		const progress = new StreamProgress();
		assert.is(progress.laterEventCount, 0);
		assert.is(progress.laterEventsMs, 0);
		assert.is(progress.meanLoad, 0);
	});
});
