import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {StallDetector} from '../stall-detector.js';

const gapMs = 300;

/** Starts streams; `called` is the number of calls of their listeners. */
const createStreams = (detector: StallDetector, count: number): {readonly called: () => number; readonly listeners: ReadonlyArray<() => void>} => {
	let called = 0;
	const listeners = Array.from({length: count}, () => () => {
		called += 1;
	});
	for (const listener of listeners) {
		detector.addWaiting(listener);
		detector.startStream(listener, gapMs);
	}

	return {called: () => called, listeners};
};

const advanceMs = (detector: StallDetector, ms: number): boolean => {
	let isStalled = false;
	for (let passed = 0; passed < ms; passed += 100) {
		isStalled = detector.advance(100);
	}

	return isStalled;
};

describe('a stall of an engine', () => {
	it('is detected while no stream receives bytes; guards against requests sent to a lost engine until its registration expires', () => {
		const detector = new StallDetector();
		const {called} = createStreams(detector, 3);
		assert.not(advanceMs(detector, 500));
		assert.ok(advanceMs(detector, 200));
		assert.ok(called() >= 3);
	});

	it('ends with the first byte of any stream', () => {
		const detector = new StallDetector();
		createStreams(detector, 3);
		advanceMs(detector, 700);
		detector.recordBytes();
		assert.not(detector.advance(100));
	});

	it('also calls the listeners of requests that wait for their first event', () => {
		const detector = new StallDetector();
		createStreams(detector, 2);
		let isCalled = false;
		detector.addWaiting(() => {
			isCalled = true;
		});
		advanceMs(detector, 700);
		assert.ok(isCalled);
	});

	it('is not detected from a single stream, which the engine may have preempted, nor from ended streams', () => {
		const detector = new StallDetector();
		const {listeners} = createStreams(detector, 3);
		for (const listener of listeners.slice(1)) {
			detector.remove(listener);
		}

		assert.not(advanceMs(detector, 3000));
	});

	it('is not detected because this process was stopped', () => {
		const detector = new StallDetector();
		createStreams(detector, 3);
		// The caller of `advance` limits the time of a single call, however long the process was stopped.
		assert.not(detector.advance(150));
	});
});
