import type {RequestFrame, RequestStartParams} from '@hawthorncleat/schema';
import {createTracer} from '@hawthorncleat/telemetry';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {orphanLimitMs, replayMs} from '../index.js';
import {RequestScheduler} from '../request-scheduler.js';
import {StreamStore} from '../stream-store.js';
import {Stream, type FrameTarget} from '../stream.js';
import {traceparent} from './fakes.js';

const params: RequestStartParams = {
	requestId: 'r1',
	attempt: 1,
	incarnation: 'i',
	clientAccount: 'a',
	weight: 1,
	priority: 0,
	model: 'm',
	prompt: 'p',
	maxTokens: 9,
	delivered: ['x'],
	firstTokenInMs: 100,
	fingerprint: 'f',
	traceparent,
};
const end = {
	reason: 'stop', promptTokens: 1, cachedTokens: 0, outputTokens: 3,
} as const;

const createStream = (): Stream =>
	new Stream(params, {prefillTokens: 1, decodeTokens: 1}, false, createTracer('test').startSpan('test'));

const createTarget = (): FrameTarget & {frames: RequestFrame[]; bufferedBytes: number; isOpen: boolean} => {
	const frames: RequestFrame[] = [];
	return {
		frames,
		bufferedBytes: 0,
		isOpen: true,
		notify(_name, message) {
			frames.push(message as RequestFrame);
		},
	};
};

describe('stream', () => {
	// Guards against a message for each token, which doubles the load.
	it('puts tokens that arrive together into one frame with the end', () => {
		const stream = createStream();
		const target = createTarget();
		stream.attach(target);
		stream.append(['a', 'b']);
		stream.finish({end}, 0);
		stream.flush();
		assert.equal(target.frames, [{
			requestId: 'r1', attempt: 1, position: 1, tokens: ['a', 'b'], end,
		}]);
		assert.ok(stream.isDelivered);
	});

	// Guards against a slow caller whose answer makes the engine look too slow for more requests.
	it('leaves an answer that waited for its connection out of the pace', async () => {
		const measure = async (text: string): Promise<number | undefined> => {
			const scheduler = new RequestScheduler({maxRunning: 4, maxWaitingTokens: 1000}, () => 'mixed');
			const stream = createStream();
			scheduler.add(stream);
			scheduler.takeNext(0);
			stream.startedMs = 0;
			for (const nowMs of [10, 60, 110]) {
				scheduler.noteTokens(stream, 1, nowMs);
				stream.append([text]);
			}

			void stream.waitForRoom();
			// The end comes late, which must not count as time for tokens either.
			stream.finish({end}, 500);
			scheduler.finish(stream, 500);
			return scheduler.measuredRates.stepMs;
		};

		assert.is(await measure('a'), 50);
		assert.is(await measure('a'.repeat(1024 * 1024)), undefined);
	});

	// Guards against memory that grows while an entry reads slowly.
	it('pauses on a slow connection and holds back the engine', async () => {
		const stream = createStream();
		const target = createTarget();
		target.bufferedBytes = 1_000_000;
		stream.attach(target);
		stream.append(Array.from({length: 20}, () => 'x'.repeat(60_000)));
		stream.flush();
		assert.equal(target.frames, []);
		let hasRoom = false;
		const room = stream.waitForRoom().then(() => {
			hasRoom = true;
		});
		await Promise.resolve();
		assert.not(hasRoom);
		target.bufferedBytes = 0;
		stream.flush();
		await room;
		assert.ok(target.frames.length > 1);
		assert.is(target.frames.flatMap(frame => frame.tokens).length, 20);
	});

	// Guards against a resume that skips tokens or invents positions.
	it('resumes only from positions that it has', () => {
		const stream = createStream();
		stream.append(['a']);
		assert.not(stream.rewind(0));
		assert.not(stream.rewind(3));
		assert.ok(stream.rewind(2));
	});

	describe('store', () => {
		// Guards against streams that keep their places at the engine after their entry died.
		it('returns a stream without listener after the orphan limit', () => {
			const clock = createManualClock();
			const store = new StreamStore();
			const stream = createStream();
			const target = createTarget();
			stream.attach(target);
			store.add(stream);
			store.detach(target, clock.nowMs());
			clock.advance(orphanLimitMs - 1);
			assert.equal(store.sweep(clock.nowMs()), []);
			clock.advance(1);
			assert.equal(store.sweep(clock.nowMs()), [stream]);
		});

		// Guards against a resume that comes too late for an answer forgotten too early, and against answers kept for ever.
		it('keeps an ended stream for the replay time', () => {
			const clock = createManualClock();
			const store = new StreamStore();
			const stream = createStream();
			stream.attach(createTarget());
			store.add(stream);
			stream.finish({end}, clock.nowMs());
			clock.advance(replayMs - 1);
			store.sweep(clock.nowMs());
			assert.is(store.get('r1'), stream);
			clock.advance(1);
			store.sweep(clock.nowMs());
			assert.is(store.get('r1'), undefined);
		});
	});
});
