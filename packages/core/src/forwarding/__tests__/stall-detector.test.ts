import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {StallDetector} from '../stall-detector.js';

const gapMs = 300;

/** Streams that have begun, and what was called for each. */
const createStreams = (silence: StallDetector, count: number): {readonly called: () => number; readonly watchers: ReadonlyArray<() => void>} => {
	let called = 0;
	const watchers = Array.from({length: count}, () => () => {
		called += 1;
	});
	for (const watcher of watchers) {
		silence.addWaiting(watcher);
		silence.startStream(watcher, gapMs);
	}

	return {called: () => called, watchers};
};

const passMs = (silence: StallDetector, ms: number): boolean => {
	let isSilent = false;
	for (let passed = 0; passed < ms; passed += 100) {
		isSilent = silence.advance(100);
	}

	return isSilent;
};

describe('the silence of an engine', () => {
	it('is noticed while its streams bring nothing; guards against requests sent to a lost engine until its registration lapses', () => {
		const silence = new StallDetector();
		const {called} = createStreams(silence, 3);
		assert.not(passMs(silence, 500));
		assert.ok(passMs(silence, 200));
		assert.ok(called() >= 3);
	});

	it('ends with the first byte of any stream', () => {
		const silence = new StallDetector();
		createStreams(silence, 3);
		passMs(silence, 700);
		silence.recordBytes();
		assert.not(silence.advance(100));
	});

	it('also calls requests that wait for their first event there', () => {
		const silence = new StallDetector();
		createStreams(silence, 2);
		let isCalled = false;
		silence.addWaiting(() => {
			isCalled = true;
		});
		passMs(silence, 700);
		assert.ok(isCalled);
	});

	it('is not judged by one stream, which the engine may have preempted, nor by streams that have ended', () => {
		const silence = new StallDetector();
		const {watchers} = createStreams(silence, 3);
		for (const watcher of watchers.slice(1)) {
			silence.remove(watcher);
		}

		assert.not(passMs(silence, 3000));
	});

	it('does not count a stop of this process as long silence', () => {
		const silence = new StallDetector();
		createStreams(silence, 3);
		// The caller limits a single step, however long the process stood still.
		assert.not(silence.advance(150));
	});
});
