import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {StreamProgress} from '../stream-progress.js';

describe('the course of a stream', () => {
	it('counts the time of the events that came after the first ones; guards against an engine taken for fast because events had waited', () => {
		const course = new StreamProgress();
		course.record({events: 5, load: 0.2, atMs: 100});
		course.record({events: 0, load: 1, atMs: 150});
		course.record({events: 1, load: 0.4, atMs: 200});
		course.record({events: 1, load: 0.6, atMs: 300});
		assert.is(course.laterEventCount, 2);
		assert.is(course.laterEventsMs, 200);
		assert.is(course.eventCount, 7);
		assert.ok(Math.abs(course.meanLoad - 0.4) < 0.001);
		assert.is(course.view.maxLoad, 0.6);
	});

	it('has no pace without events', () => {
		const course = new StreamProgress();
		assert.is(course.laterEventCount, 0);
		assert.is(course.laterEventsMs, 0);
		assert.is(course.meanLoad, 0);
	});
});
