import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {StreamCourse} from '../stream-course.js';

describe('the course of a stream', () => {
	it('counts the time of the events that came after the first ones; guards against an engine taken for fast because events had waited', () => {
		const course = new StreamCourse();
		course.note({events: 5, load: 0.2, atMs: 100});
		course.note({events: 0, load: 1, atMs: 150});
		course.note({events: 1, load: 0.4, atMs: 200});
		course.note({events: 1, load: 0.6, atMs: 300});
		assert.is(course.laterEvents, 2);
		assert.is(course.tookMs, 200);
		assert.is(course.events, 7);
		assert.ok(Math.abs(course.meanLoad - 0.4) < 0.001);
		assert.is(course.view.maxLoad, 0.6);
	});

	it('has no pace without events', () => {
		const course = new StreamCourse();
		assert.is(course.laterEvents, 0);
		assert.is(course.tookMs, 0);
		assert.is(course.meanLoad, 0);
	});
});
