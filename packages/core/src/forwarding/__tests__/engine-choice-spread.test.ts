import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {selectEngines, type SelectionContext} from '../engine-selection.js';
import {createView} from './fixtures.js';

const createPrefillers = (count: number) => Array.from({length: count}, (_, index) => createView(`p${index}`, 'prefill'));

describe('prefill engine of a request beside unseen ones', () => {
	const request = {
		segments: [], outputTokens: 300, level: 1, remainingMs: 10_000, maxGapMs: 400, dataCentre: 'a', excluded: new Set<string>(),
	};
	const select = (views: ReturnType<typeof createPrefillers>, promptTokens: number, context: Partial<SelectionContext> = {}) => selectEngines(
		[...views, createView('d', 'decode')],
		{...request, promptTokens},
		{nowMs: 0, kvTokens: 500_000, ...context},
	)?.prefillEngine?.endpoint.id;

	it('spreads prompts within the work that other entries have placed unseen; guards against herding on shared news', () => {
		const views = createPrefillers(2);
		for (const [index, view] of views.entries()) {
			view.prefillBacklog.recordArrival({level: 1, ms: 800}, 0);
			view.prefillBacklog.add('e2', {level: 1, ms: 10 * (index + 1)}, 0);
		}

		const selectWith = (values: number[]) => select(views, 8000, {random: () => values.shift() ?? 0});
		assert.is(selectWith([0, 0]), 'p0');
		assert.is(selectWith([0.9, 0.1]), 'p1');
	});
});

describe('decode engine of a request', () => {
	it('gives a long answer to an engine that is known to be fast before a slower one that is less loaded', () => {
		const [slow, fast] = [createView('d0', 'decode'), createView('d1', 'decode')];
		for (let count = 0; count < 30; count += 1) {
			slow.decodeLatency.observe({tookMs: 3000, tokens: 250, load: 0.1});
			fast.decodeLatency.observe({tookMs: 1000, tokens: 250, load: 0.1});
		}

		fast.running = 2;
		const selected = selectEngines([slow, fast], {
			segments: [], promptTokens: 1000, outputTokens: 500, level: 1, remainingMs: 10_000, maxGapMs: 400, dataCentre: 'a', excluded: new Set(),
		}, {nowMs: 0, kvTokens: 500_000});
		assert.is(selected?.decodeEngine, fast);
	});
});
