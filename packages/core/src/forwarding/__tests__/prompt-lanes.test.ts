import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {selectEngines, type SelectionContext} from '../engine-selection.js';
import {findPromptLane, laneCostMs} from '../prompt-lanes.js';
import {TokenWindow} from '../token-window.js';
import {createView} from './fixtures.js';

const demand = {workFraction: 0.3, meanTokens: 30_000};
const createPrefillers = (count: number) => Array.from({length: count}, (_, index) => createView(`p${index}`, 'prefill'));
const idsOf = (views: Iterable<{endpoint: {id: string}}>) => [...views].map(({endpoint}) => endpoint.id);

describe('prompt lanes', () => {
	it('keeps as many engines for long prompts as their share of the work needs, the same in any order', () => {
		const views = createPrefillers(10);
		assert.equal(idsOf(findPromptLane(views, demand).engines), ['p0', 'p1', 'p2']);
		assert.equal(idsOf(findPromptLane(views.toReversed(), demand).engines), ['p0', 'p1', 'p2']);
	});

	it('leaves few engines, and a demand without long prompts, undivided; guards against idle engines', () => {
		assert.is(findPromptLane(createPrefillers(5), demand).engines.size, 0);
		assert.is(findPromptLane(createPrefillers(10), {workFraction: 0.01, meanTokens: 20_000}).engines.size, 0);
		assert.is(findPromptLane(createPrefillers(10), undefined).engines.size, 0);
	});

	it('gives no long prompts to a slow engine', () => {
		const views = createPrefillers(10);
		for (let count = 0; count < 40; count += 1) {
			views[0]!.prefillLatency.observe({
				expectedMs: 100, ownMs: 100, tookMs: 5000, size: {uncachedTokens: 6000, cachedTokens: 0},
			});
		}

		assert.not(idsOf(findPromptLane(views, demand).engines).includes('p0'));
	});

	it('charges each prompt for the engines of the other lane only', () => {
		const views = createPrefillers(10);
		const lane = findPromptLane(views, demand);
		const long = {uncachedTokens: 40_000, ownMs: 500};
		const short = {uncachedTokens: 5000, ownMs: 60};
		assert.is(laneCostMs(views[0]!, long, lane), 0);
		assert.is(laneCostMs(views[9]!, long, lane), 250);
		assert.is(laneCostMs(views[9]!, short, lane), 0);
		assert.ok(laneCostMs(views[0]!, short, lane) > 100);
	});

	it('measures the share of the long prompts in the prefill work', () => {
		const window = new TokenWindow();
		window.add({uncachedTokens: 30_000, cachedTokens: 0}, 10, {nowMs: 0});
		window.add({uncachedTokens: 10_000, cachedTokens: 0}, 10, {nowMs: 0});
		assert.equal(window.longPrompts(10, ({tokens}) => tokens), {workFraction: 0.75, meanTokens: 30_000});
	});
});

describe('prefill engine of a request beside long prompts', () => {
	const request = {
		segments: [], outputTokens: 300, level: 1, remainingMs: 10_000, maxGapMs: 400, dataCentre: 'a', excluded: new Set<string>(),
	};
	const select = (views: ReturnType<typeof createPrefillers>, promptTokens: number, context: Partial<SelectionContext> = {}) => selectEngines([...views, createView('d', 'decode')], {...request, promptTokens}, {
		nowMs: 0, kvTokens: 500_000, longPrompts: demand, ...context,
	})?.prefillEngine?.endpoint.id;

	it('keeps a short prompt off the engines of long ones unless its wait is much shorter there; guards against head-of-line blocking', () => {
		const views = createPrefillers(10);
		assert.is(select(views, 8000), 'p3');
		assert.is(select(views, 40_000), 'p0');
		for (const view of views.slice(3)) {
			view.prefillBacklog.add('e2', {level: 0, ms: 1000}, 0);
		}

		assert.is(select(views, 8000), 'p0');
	});

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
