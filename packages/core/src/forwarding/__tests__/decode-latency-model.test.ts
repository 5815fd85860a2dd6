import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {DecodeLatencyModel} from '../decode-latency-model.js';
import {LongAnswerLoadLimit} from '../long-answer-load-limit.js';
import {lowestPriorityLevel} from '../priority-level.js';

/** Observes streams of an engine whose decode step takes `stepMs` when it is empty and `fullMs` when it is full. */
const observe = (model: DecodeLatencyModel, {stepMs, fullMs}: {stepMs: number; fullMs: number}, loads: readonly number[]): void => {
	for (let stream = 0; stream < 200; stream += 1) {
		const load = loads[stream % loads.length]!;
		const tokens = 100 + ((stream % 5) * 100);
		model.observe({tookMs: tokens * (stepMs + ((fullMs - stepMs) * load)), tokens, load});
	}
};

describe('latency model of a decode engine', () => {
	it('extrapolates to an empty and a full engine from streams at loads in between', () => {
		const model = new DecodeLatencyModel();
		observe(model, {stepMs: 6, fullMs: 20}, [0.1, 0.3, 0.6, 0.8]);
		assert.ok(Math.abs(model.msPerToken(0) - 6) < 1, `${model.msPerToken(0)} ms`);
		assert.ok(Math.abs(model.msPerToken(1) - 20) < 2, `${model.msPerToken(1)} ms`);
	});

	it('predicts a slower full engine although all streams ran at one load; guards against the latency of a partly loaded engine used for a full one', () => {
		const model = new DecodeLatencyModel();
		observe(model, {stepMs: 3, fullMs: 12}, [0.3]);
		assert.ok(model.msPerToken(1) > 9, `${model.msPerToken(1)} ms`);
		assert.ok(Math.abs(model.msPerToken(0.3) - 5.7) < 0.7, `${model.msPerToken(0.3)} ms`);
	});

	it('never predicts a lower latency at a higher load; guards against streams that happened to be faster on a full engine', () => {
		const model = new DecodeLatencyModel();
		for (let stream = 0; stream < 300; stream += 1) {
			model.observe({tookMs: stream % 2 === 0 ? 4000 : 100, tokens: 200, load: stream % 2 === 0 ? 0.1 : 0.9});
		}

		assert.ok(model.msPerToken(1) >= model.msPerToken(0));
	});
});

describe('load limit for long answers among short ones with too few decode engines', () => {
	const createModel = (): DecodeLatencyModel => {
		const model = new DecodeLatencyModel();
		observe(model, {stepMs: 3, fullMs: 12}, [0.2, 0.5, 0.8]);
		return model;
	};

	/** One answer in `longEvery` has `longTokens` tokens, the others have 300. */
	const recordAnswers = (limit: LongAnswerLoadLimit, longTokens: number, longEvery = 7): void => {
		for (let answer = 0; answer < 600; answer += 1) {
			limit.recordRequested({kind: 'note', guessedTokens: answer % longEvery === 0 ? longTokens : 300, limitMs: 8000}, 0);
		}
	};

	it('keeps an engine at a load at which long answers complete; guards against long answers cut off at their deadline', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 900);
		const model = createModel();
		const load = limit.maxLoad(model, {
			kind: 'note', level: 3, guessedTokens: 300, nowMs: 0,
		});
		assert.ok(load < 0.85, `${load}`);
		assert.ok(model.msPerToken(load) * 900 < 8000, `${model.msPerToken(load) * 900} ms`);
	});

	it('applies also when only one answer in fourteen is long; guards against cutting off the longest 10 %, half of which must complete', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 900, 14);
		const model = createModel();
		const load = limit.maxLoad(model, {
			kind: 'note', level: 3, guessedTokens: 300, nowMs: 0,
		});
		assert.ok(model.msPerToken(load) * 900 < 8000, `${model.msPerToken(load) * 900} ms`);
	});

	it('is infinite when all answers are short', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 350);
		assert.is(limit.maxLoad(createModel(), {
			kind: 'note', level: 3, guessedTokens: 300, nowMs: 0,
		}), Number.POSITIVE_INFINITY);
	});

	it('does not apply to very short answers and is higher for more urgent ones', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 900);
		const model = createModel();
		assert.is(limit.maxLoad(model, {
			kind: 'note', level: 3, guessedTokens: 10, nowMs: 0,
		}), Number.POSITIVE_INFINITY);
		const loads = [0, 3, 6, lowestPriorityLevel].map(level => limit.maxLoad(model, {
			kind: 'note', level, guessedTokens: 300, nowMs: 0,
		}));
		assert.equal(loads, loads.toSorted((a, b) => b - a));
		assert.ok(loads[0]! > loads[2]!);
	});

	it('is at least 0.5, however long the answers are', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 100_000);
		assert.ok(limit.maxLoad(createModel(), {
			kind: 'note', level: 3, guessedTokens: 300, nowMs: 0,
		}) >= 0.5);
	});
});
