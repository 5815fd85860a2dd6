import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {DecodeLatencyModel} from '../decode-latency-model.js';
import {LongAnswerLoadLimit} from '../long-answer-load-limit.js';
import {lowestPriorityLevel} from '../priority-level.js';

/** An engine whose step takes `stepMs` empty and `fullMs` full. */
const observe = (pace: DecodeLatencyModel, {stepMs, fullMs}: {stepMs: number; fullMs: number}, loads: readonly number[]): void => {
	for (let stream = 0; stream < 200; stream += 1) {
		const load = loads[stream % loads.length]!;
		const tokens = 100 + ((stream % 5) * 100);
		pace.observe({tookMs: tokens * (stepMs + ((fullMs - stepMs) * load)), tokens, load});
	}
};

describe('the pace of a decode engine', () => {
	it('is learned for an empty and for a full engine from streams in between', () => {
		const pace = new DecodeLatencyModel();
		observe(pace, {stepMs: 6, fullMs: 20}, [0.1, 0.3, 0.6, 0.8]);
		assert.ok(Math.abs(pace.msPerToken(0) - 6) < 1, `${pace.msPerToken(0)} ms`);
		assert.ok(Math.abs(pace.msPerToken(1) - 20) < 2, `${pace.msPerToken(1)} ms`);
	});

	it('is expected to be slower when full although all streams ran at one load; guards against a full engine taken for a calm one', () => {
		const pace = new DecodeLatencyModel();
		observe(pace, {stepMs: 3, fullMs: 12}, [0.3]);
		assert.ok(pace.msPerToken(1) > 9, `${pace.msPerToken(1)} ms`);
		assert.ok(Math.abs(pace.msPerToken(0.3) - 5.7) < 0.7, `${pace.msPerToken(0.3)} ms`);
	});

	it('never falls as the load rises; guards against streams that went faster on a full engine by chance', () => {
		const pace = new DecodeLatencyModel();
		for (let stream = 0; stream < 300; stream += 1) {
			pace.observe({tookMs: stream % 2 === 0 ? 4000 : 100, tokens: 200, load: stream % 2 === 0 ? 0.1 : 0.9});
		}

		assert.ok(pace.msPerToken(1) >= pace.msPerToken(0));
	});
});

describe('long answers among short ones with too few decode engines', () => {
	const createPace = (): DecodeLatencyModel => {
		const pace = new DecodeLatencyModel();
		observe(pace, {stepMs: 3, fullMs: 12}, [0.2, 0.5, 0.8]);
		return pace;
	};

	/** Nine answers of 300 tokens to one of `longTokens`. */
	const note = (answers: LongAnswerLoadLimit, longTokens: number, longEvery = 7): void => {
		for (let answer = 0; answer < 600; answer += 1) {
			answers.recordRequested({kind: 'note', guessedTokens: answer % longEvery === 0 ? longTokens : 300, limitMs: 8000}, 0);
		}
	};

	it('keep an engine from being filled beyond the load at which they end; guards against long answers broken off at their limit', () => {
		const answers = new LongAnswerLoadLimit();
		note(answers, 900);
		const pace = createPace();
		const load = answers.maxLoad(pace, {
			kind: 'note', level: 3, guessedTokens: 300, nowMs: 0,
		});
		assert.ok(load < 0.85, `${load}`);
		assert.ok(pace.msPerToken(load) * 900 < 8000, `${pace.msPerToken(load) * 900} ms`);
	});

	it('count also when only one answer in fourteen is long; guards against the largest tenth broken off, of which half must end', () => {
		const answers = new LongAnswerLoadLimit();
		note(answers, 900, 14);
		const pace = createPace();
		const load = answers.maxLoad(pace, {
			kind: 'note', level: 3, guessedTokens: 300, nowMs: 0,
		});
		assert.ok(pace.msPerToken(load) * 900 < 8000, `${pace.msPerToken(load) * 900} ms`);
	});

	it('leave engines free to be filled when answers are short', () => {
		const answers = new LongAnswerLoadLimit();
		note(answers, 350);
		assert.is(answers.maxLoad(createPace(), {
			kind: 'note', level: 3, guessedTokens: 300, nowMs: 0,
		}), Number.POSITIVE_INFINITY);
	});

	it('do not hold up very short answers, and hold up the urgent last', () => {
		const answers = new LongAnswerLoadLimit();
		note(answers, 900);
		const pace = createPace();
		assert.is(answers.maxLoad(pace, {
			kind: 'note', level: 3, guessedTokens: 10, nowMs: 0,
		}), Number.POSITIVE_INFINITY);
		const loads = [0, 3, 6, lowestPriorityLevel].map(level => answers.maxLoad(pace, {
			kind: 'note', level, guessedTokens: 300, nowMs: 0,
		}));
		assert.equal(loads, loads.toSorted((a, b) => b - a));
		assert.ok(loads[0]! > loads[2]!);
	});

	it('never close engines that are half empty, however long the answers are', () => {
		const answers = new LongAnswerLoadLimit();
		note(answers, 100_000);
		assert.ok(answers.maxLoad(createPace(), {
			kind: 'note', level: 3, guessedTokens: 300, nowMs: 0,
		}) >= 0.5);
	});
});
