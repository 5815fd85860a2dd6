import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {chooseModelPlace, type PlaceRequest} from '../choose-model-place.js';
import {choosePlainPlace, type EndpointView} from '../choose-place.js';
import {chooseLevel, lateLevel, patienceMs} from '../queue-level.js';
import {createView} from './fixtures.js';

const context = {nowMs: 0, kvTokens: 500_000};
const random = (): number => 0.5;

const createRequest = (changes: Partial<PlaceRequest> = {}): PlaceRequest => ({
	parts: [], promptTokens: 8000, outputTokens: 300, level: 1, leftMs: 10_000, dataCentre: 'a', excluded: new Set(), ...changes,
});

describe('places of plain requests', () => {
	it('are the least used endpoint, and the own data centre at equal use', () => {
		const near = createView('near');
		const far = createView('far', undefined, {dataCentre: 'b'});
		assert.is(choosePlainPlace([far, near], {dataCentre: 'a', excluded: new Set()}, {nowMs: 0, random}), near);
		near.running = 5;
		assert.is(choosePlainPlace([far, near], {dataCentre: 'a', excluded: new Set()}, {nowMs: 0, random}), far);
	});

	it('are never a leaving endpoint, and an avoided one only if there is no other', () => {
		const leaving = createView('leaving', undefined, {isLeaving: true});
		const failing = createView('failing');
		failing.trust.failed(0);
		assert.is(choosePlainPlace([leaving, failing], {dataCentre: 'a', excluded: new Set()}, {nowMs: 1, random}), failing);
		assert.is(choosePlainPlace([leaving], {dataCentre: 'a', excluded: new Set()}, {nowMs: 1, random}), undefined);
	});
});

describe('places of model requests', () => {
	it('split a long prompt and leave a short one to the decode engine', () => {
		const views = [createView('p', 'prefill'), createView('d', 'decode')];
		assert.is(chooseModelPlace(views, createRequest(), context)?.prefill?.endpoint.id, 'p');
		assert.is(chooseModelPlace(views, createRequest({promptTokens: 200}), context)?.prefill, undefined);
	});

	it('keep prompts off a decode engine with a backlog; guards against streams that slow down under long prompts', () => {
		const views = [createView('p', 'prefill'), createView('d', 'decode')];
		views[0]!.work.add(0, 2000, 0);
		views[1]!.work.add(0, 150, 0);
		assert.is(chooseModelPlace(views, createRequest({promptTokens: 500}), context)?.prefill?.endpoint.id, 'p');
	});

	it('use a decode engine alone when every prefill engine is gone', () => {
		const decode = createView('d', 'decode');
		decode.work.add(0, 5000, 0);
		const place = chooseModelPlace([decode], createRequest(), context);
		assert.is(place?.decode, decode);
		assert.is(place?.prefill, undefined);
	});

	it('use avoided decode engines rather than none while prefill engines are fine; guards against "no endpoint" with engines free', () => {
		const decode = createView('d', 'decode');
		decode.trust.failed(0);
		assert.is(chooseModelPlace([createView('p', 'prefill'), decode], createRequest(), {...context, nowMs: 1})?.decode, decode);
	});

	it('skip an engine while its role changes', () => {
		const changing = createView('d1', 'decode');
		changing.changesUntilMs = 100;
		const other = createView('d2', 'decode');
		other.running = 9;
		assert.is(chooseModelPlace([changing, other], createRequest({promptTokens: 10}), context)?.decode, other);
	});

	it('go to the engine that holds the shared parts, unless its queue costs more than reading them again', () => {
		const holder = createView('p1', 'prefill');
		const views = [createView('p0', 'prefill'), holder, createView('d', 'decode')];
		const parts = [{id: 'shared', tokens: 5000}, {id: 'own', tokens: 3000}];
		holder.parts.add([parts[0]!]);
		holder.work.add(0, 80, 0);
		const place = chooseModelPlace(views, createRequest({parts}), context);
		assert.is(place?.prefill, holder);
		assert.is(place?.uncachedTokens, 3000);
		holder.work.add(0, 2000, 0);
		assert.is(chooseModelPlace(views, createRequest({parts}), context)?.prefill?.endpoint.id, 'p0');
	});

	describe('with a few long answers among many short ones', () => {
		const createCrowd = (): EndpointView[] => ['d1', 'd2', 'd3'].map(id => {
			const view = createView(id, 'decode');
			view.running = id === 'd1' ? 6 : 9;
			for (let stream = 0; stream < 100; stream += 1) {
				view.decode.observe({tookMs: id === 'd1' ? 3000 : 6000, tokens: 500, load: id === 'd1' ? 0.3 : 0.45});
			}

			return view;
		});

		it('keep one decode engine less crowded, where long answers end in time; guards against long answers that never end', () => {
			const views = createCrowd();
			const short = createRequest({promptTokens: 10, outputTokens: 50, leftMs: 8000});
			assert.is.not(chooseModelPlace(views, short, context)?.decode.endpoint.id, 'd1');
			assert.is(chooseModelPlace(views, {...short, outputTokens: 900}, context)?.decode.endpoint.id, 'd1');
		});

		it('keep the quickest engine; guards against long answers kept for an engine that is too slow for them', () => {
			const views = ['d1', 'd2', 'd3'].map(id => {
				const view = createView(id, 'decode');
				view.running = id === 'd3' ? 6 : 7;
				for (let stream = 0; stream < 300; stream += 1) {
					const load = [0.2, 0.5, 0.8][stream % 3]!;
					view.decode.observe({tookMs: 500 * (id === 'd3' ? 1 : 1.4) * (3 + (9 * load)), tokens: 500, load});
				}

				return view;
			});
			const short = createRequest({promptTokens: 10, outputTokens: 50, leftMs: 8000});
			assert.is.not(chooseModelPlace(views, short, context)?.decode.endpoint.id, 'd3');
			assert.is(chooseModelPlace(views, {...short, outputTokens: 700}, context)?.decode.endpoint.id, 'd3');
		});

		it('keep none of two engines', () => {
			const views = createCrowd().slice(0, 2);
			assert.is(chooseModelPlace(views, createRequest({promptTokens: 10, outputTokens: 50}), context)?.decode.endpoint.id, 'd1');
		});
	});

	describe('in a burst beyond the places of the decode engines', () => {
		it('do not make requests wait for late ones that the engine serves after them', () => {
			const decode = createView('d', 'decode');
			decode.running = 30;
			decode.late = 25;
			const inTime = chooseModelPlace([decode], createRequest({promptTokens: 100}), context)!;
			const late = chooseModelPlace([decode], createRequest({promptTokens: 100, level: lateLevel}), context)!;
			assert.ok(inTime.firstTokenMs < 400, `${inTime.firstTokenMs} ms`);
			assert.ok(late.firstTokenMs > 3000, `${late.firstTokenMs} ms`);
		});

		it('wait for memory as for places', () => {
			const decode = createView('d', 'decode');
			decode.running = 5;
			decode.runningTokens = 499_000;
			const place = chooseModelPlace([decode], createRequest({promptTokens: 5000, level: lateLevel}), context)!;
			assert.ok(place.firstTokenMs > 200);
		});
	});
});

describe('levels of the queue of an engine', () => {
	it('put urgent before less urgent ones and small prompts before large ones of the same priority', () => {
		const levels = [chooseLevel(0, 100), chooseLevel(0, 10_000), chooseLevel(0, 50_000), chooseLevel(1, 100), chooseLevel(2, 50_000)];
		assert.equal(levels, levels.toSorted((a, b) => a - b));
		assert.is(new Set(levels).size, levels.length);
	});

	it('keep the last level for late requests, whatever the priority', () => {
		assert.ok(chooseLevel(9, 100_000) < lateLevel);
	});

	it('know how long callers wait for a first event', () => {
		assert.is(patienceMs({latencyTargetMs: 300, maxGapMs: 300}), 2400);
		assert.is(patienceMs({latencyTargetMs: 100, maxGapMs: 100}), 2000);
	});
});
