import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {DecodeLatencyModel} from '../decode-latency-model.js';
import {LongAnswerLoadLimit} from '../long-answer-load-limit.js';

const level = 3;
const noteLimitMs = 8000;
const sortLimitMs = 2500;
/** Lengths of ten notes in the order of their requests. */
const noteTokens = [300, 100, 480, 60, 250, 620, 150, 900, 200, 380];
const longestTokens = Math.max(...noteTokens);
const sortTokens = 20;

/** An engine that takes 3 ms per token when it is empty and 12 ms when it is full, both multiplied by `factor`. */
const createModel = (factor = 1): DecodeLatencyModel => {
	const model = new DecodeLatencyModel();
	for (let stream = 0; stream < 200; stream += 1) {
		const load = [0.2, 0.5, 0.8][stream % 3]!;
		model.observe({tookMs: 300 * factor * (3 + (9 * load)), tokens: 300, load});
	}

	return model;
};

/** Records requests for notes, with `sortsPerNote` short answers of another kind for each. */
const recordAnswers = (limit: LongAnswerLoadLimit, notes: number, sortsPerNote: number): void => {
	for (let note = 0; note < notes; note += 1) {
		limit.recordRequested({kind: 'note', guessedTokens: noteTokens[note % noteTokens.length]!, limitMs: noteLimitMs}, 0);
		for (let sort = 0; sort < sortsPerNote; sort += 1) {
			limit.recordRequested({kind: 'sort', guessedTokens: sortTokens, limitMs: sortLimitMs}, 0);
		}
	}
};

/** Time of the longest note on an engine that is filled up to the limit. */
const longestNoteMs = (limit: LongAnswerLoadLimit, model = createModel()): number => model.msPerToken(Math.min(1, limit.maxLoad(model, {
	kind: 'note', level, guessedTokens: 300, nowMs: 0,
}))) * longestTokens;

// Guards against too few completed long answers: engines were filled until hardly any of the longest answers of one kind could complete.
describe('the longest answers of one kind', () => {
	it('meet their deadline at an entry that has just started; guards against a limit that is wrong until it has seen hundreds of answers', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 20, 1);
		assert.ok(longestNoteMs(limit) <= noteLimitMs, `${Math.round(longestNoteMs(limit))} ms`);
	});

	it('meet their deadline among many short answers of another kind; guards against one limit for the mix of all kinds', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 200, 4);
		assert.ok(longestNoteMs(limit) <= noteLimitMs, `${Math.round(longestNoteMs(limit))} ms`);
	});

	it('meet their deadline when the mix shifts to them; guards against a limit that follows only after the engines are full', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 40, 12);
		recordAnswers(limit, 20, 1);
		assert.ok(longestNoteMs(limit) <= noteLimitMs, `${Math.round(longestNoteMs(limit))} ms`);
	});

	it('meet their deadline on a slower engine; guards against one fixed load limit for all engines', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 40, 1);
		const tookMs = longestNoteMs(limit, createModel(1.3));
		assert.ok(tookMs <= noteLimitMs, `${Math.round(tookMs)} ms`);
	});

	it('may use the capacity reserved for them; guards against long answers rejected as often as others although the limit exists for them', () => {
		const limit = new LongAnswerLoadLimit();
		recordAnswers(limit, 40, 1);
		const model = createModel();
		const [small, large] = [300, longestTokens].map(guessedTokens => limit.maxLoad(model, {
			kind: 'note', level, guessedTokens, nowMs: 0,
		}));
		assert.ok(large! >= small! + 0.1, `${small} and ${large}`);
	});
});
