import {setTimeout as sleep} from 'node:timers/promises';
import {StallDetector} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {StreamWatch} from '../stream-watch.js';

const stallMs = 50;
const maxGapMs = 300;

const watchStream = (detector = new StallDetector()): {readonly watch: StreamWatch; readonly reports: () => number} => {
	let count = 0;
	const watch = new StreamWatch(detector, maxGapMs, {
		stallMs,
		onStall() {
			count += 1;
		},
	});
	return {watch, reports: () => count};
};

describe('the watch over a stream', () => {
	it('reports a stall again and again until there are bytes; guards against a stall that is forgotten when no retry was possible at first', async () => {
		const {watch, reports} = watchStream();
		await sleep(stallMs * 7);
		const before = reports();
		assert.ok(before >= 2, `${before} reports`);
		watch.recordProgress();
		await sleep(stallMs / 2);
		assert.is(reports(), before);
		watch.end();
		await sleep(stallMs * 3);
		assert.is(reports(), before);
	});

	it('does not report a stream that waits for its caller; guards against a second attempt because a caller reads slowly', async () => {
		const detector = new StallDetector();
		const {watch, reports} = watchStream(detector);
		const other = new StreamWatch(detector, maxGapMs);
		other.start();
		watch.start();
		watch.pause();
		await sleep(stallMs * 4);
		assert.is(reports(), 0);
		// With the paused stream only one is left, so the endpoint has not stalled either.
		assert.not(detector.advance(10_000));
		watch.resume();
		await sleep(stallMs * 4);
		assert.ok(reports() > 0);
		watch.end();
		other.end();
	});

	it('reports a stall of the endpoint before that of the stream, and none without a listener', () => {
		const detector = new StallDetector();
		const {watch, reports} = watchStream(detector);
		const unlistened = new StreamWatch(detector, maxGapMs);
		watch.start();
		unlistened.start();
		assert.ok(detector.advance(2 * maxGapMs));
		assert.is(reports(), 1);
		watch.end();
		unlistened.end();
		assert.not(detector.advance(10_000));
	});
});
