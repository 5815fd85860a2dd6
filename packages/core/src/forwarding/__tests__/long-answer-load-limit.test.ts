import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {DecodeLatencyModel} from '../decode-latency-model.js';
import {LongAnswerLoadLimit} from '../long-answer-load-limit.js';

const level = 3;
const noteLimitMs = 8000;
const sortLimitMs = 2500;
/** Sizes of ten notes, in the order in which they come; half of the largest tenth must end. */
const noteTokens = [300, 100, 480, 60, 250, 620, 150, 900, 200, 380];
const largestTokens = Math.max(...noteTokens);
const sortTokens = 20;

/** An engine that takes 3 ms for a token when it is empty and 12 ms when it is full, or so many times as long. */
const createPace = (factor = 1): DecodeLatencyModel => {
	const pace = new DecodeLatencyModel();
	for (let stream = 0; stream < 200; stream += 1) {
		const load = [0.2, 0.5, 0.8][stream % 3]!;
		pace.observe({tookMs: 300 * factor * (3 + (9 * load)), tokens: 300, load});
	}

	return pace;
};

/** Asks for so many answers, with some short ones for each note. */
const ask = (answers: LongAnswerLoadLimit, notes: number, sortsPerNote: number): void => {
	for (let note = 0; note < notes; note += 1) {
		answers.recordRequested({kind: 'note', guessedTokens: noteTokens[note % noteTokens.length]!, limitMs: noteLimitMs}, 0);
		for (let sort = 0; sort < sortsPerNote; sort += 1) {
			answers.recordRequested({kind: 'sort', guessedTokens: sortTokens, limitMs: sortLimitMs}, 0);
		}
	}
};

/** Time of the largest note on an engine that is filled up to the limit. */
const largestMs = (answers: LongAnswerLoadLimit, pace = createPace()): number => pace.msPerToken(Math.min(1, answers.maxLoad(pace, {
	kind: 'note', level, guessedTokens: 300, nowMs: 0,
}))) * largestTokens;

// Guards against SHORT: engines were filled until hardly any of the largest answers of one kind could end.
describe('the largest tenth of one kind of answers', () => {
	it('can end at an entry that has just started; guards against a limit that is off until hundreds of answers have taught it', () => {
		const answers = new LongAnswerLoadLimit();
		ask(answers, 20, 1);
		assert.ok(largestMs(answers) <= noteLimitMs, `${Math.round(largestMs(answers))} ms`);
	});

	it('can end among many short answers of another kind; guards against a limit that follows the mix of kinds', () => {
		const answers = new LongAnswerLoadLimit();
		ask(answers, 200, 4);
		assert.ok(largestMs(answers) <= noteLimitMs, `${Math.round(largestMs(answers))} ms`);
	});

	it('can end once the mix turns to it; guards against a limit that follows the turn after the engines are full', () => {
		const answers = new LongAnswerLoadLimit();
		ask(answers, 40, 12);
		ask(answers, 20, 1);
		assert.ok(largestMs(answers) <= noteLimitMs, `${Math.round(largestMs(answers))} ms`);
	});

	it('can end on an engine that is slower than others; guards against a fixed load up to which every engine is filled', () => {
		const answers = new LongAnswerLoadLimit();
		ask(answers, 40, 1);
		const tookMs = largestMs(answers, createPace(1.3));
		assert.ok(tookMs <= noteLimitMs, `${Math.round(tookMs)} ms`);
	});

	it('has the room that is kept for it; guards against large answers refused as often as the others although engines are kept calm for them', () => {
		const answers = new LongAnswerLoadLimit();
		ask(answers, 40, 1);
		const pace = createPace();
		const [small, large] = [300, largestTokens].map(guessedTokens => answers.maxLoad(pace, {
			kind: 'note', level, guessedTokens, nowMs: 0,
		}));
		assert.ok(large! >= small! + 0.1, `${small} and ${large}`);
	});
});
