import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {selectEngines, type SelectionRequest} from '../engine-selection.js';
import {selectEndpoint, type EndpointView} from '../endpoint-selection.js';
import {choosePriorityLevel, lowestPriorityLevel, maxQueueMs} from '../priority-level.js';
import {createView} from './fixtures.js';

const context = {nowMs: 0, kvTokens: 500_000};
const random = (): number => 0.5;

const createRequest = (changes: Partial<SelectionRequest> = {}): SelectionRequest => ({
	segments: [], promptTokens: 8000, outputTokens: 300, level: 1, remainingMs: 10_000, maxGapMs: 400, dataCentre: 'a', excluded: new Set(), ...changes,
});

describe('endpoint selection for a plain service', () => {
	it('picks the least loaded endpoint, at equal load in the same data centre', () => {
		const near = createView('near');
		const far = createView('far', undefined, {dataCentre: 'b'});
		assert.is(selectEndpoint([far, near], {dataCentre: 'a', excluded: new Set()}, {nowMs: 0, random}), near);
		near.running = 5;
		assert.is(selectEndpoint([far, near], {dataCentre: 'a', excluded: new Set()}, {nowMs: 0, random}), far);
	});

	it('never picks a leaving endpoint, and an ejected one only if there is no other', () => {
		const leaving = createView('leaving', undefined, {isLeaving: true});
		const failing = createView('failing');
		failing.ejection.recordFailure(0);
		assert.is(selectEndpoint([leaving, failing], {dataCentre: 'a', excluded: new Set()}, {nowMs: 1, random}), failing);
		assert.is(selectEndpoint([leaving], {dataCentre: 'a', excluded: new Set()}, {nowMs: 1, random}), undefined);
	});
});

describe('engine selection for a model request', () => {
	it('prefills a long prompt at a prefill engine and a short one at the decode engine', () => {
		const views = [createView('p', 'prefill'), createView('d', 'decode')];
		assert.is(selectEngines(views, createRequest(), context)?.prefillEngine?.endpoint.id, 'p');
		assert.is(selectEngines(views, createRequest({promptTokens: 200}), context)?.prefillEngine, undefined);
	});

	it('does not prefill at a decode engine with a backlog; guards against streams slowed down by prefills', () => {
		const views = [createView('p', 'prefill'), createView('d', 'decode')];
		views[0]!.prefillBacklog.add('e2', {level: 0, ms: 2000}, 0);
		views[1]!.prefillBacklog.add('e2', {level: 0, ms: 150}, 0);
		assert.is(selectEngines(views, createRequest({promptTokens: 500}), context)?.prefillEngine?.endpoint.id, 'p');
	});

	it('uses the decode engine alone when there is no prefill engine', () => {
		const decode = createView('d', 'decode');
		decode.prefillBacklog.add('e2', {level: 0, ms: 5000}, 0);
		const selection = selectEngines([decode], createRequest(), context);
		assert.is(selection?.decodeEngine, decode);
		assert.is(selection?.prefillEngine, undefined);
	});

	it('uses an ejected decode engine rather than none while a prefill engine is usable; guards against "no endpoint" with free engines', () => {
		const decode = createView('d', 'decode');
		decode.ejection.recordFailure(0);
		assert.is(selectEngines([createView('p', 'prefill'), decode], createRequest(), {...context, nowMs: 1})?.decodeEngine, decode);
	});

	it('skips an engine while its role changes', () => {
		const changing = createView('d1', 'decode');
		changing.roleChangeUntilMs = 100;
		const other = createView('d2', 'decode');
		other.running = 9;
		assert.is(selectEngines([changing, other], createRequest({promptTokens: 10}), context)?.decodeEngine, other);
	});

	it('prefers the engine that has cached the shared segments, unless its queue costs more than prefilling them again', () => {
		const holder = createView('p1', 'prefill');
		const views = [createView('p0', 'prefill'), holder, createView('d', 'decode')];
		const parts = [{id: 'shared', tokens: 5000}, {id: 'own', tokens: 3000}];
		holder.segmentCache.add([parts[0]!]);
		holder.prefillBacklog.add('e2', {level: 0, ms: 80}, 0);
		const selection = selectEngines(views, createRequest({segments: parts}), context);
		assert.is(selection?.prefillEngine, holder);
		assert.is(selection?.uncachedTokens, 3000);
		holder.prefillBacklog.add('e2', {level: 0, ms: 2000}, 0);
		assert.is(selectEngines(views, createRequest({segments: parts}), context)?.prefillEngine?.endpoint.id, 'p0');
	});

	describe('with a few long answers among many short ones', () => {
		const createOverloadedEngines = (): EndpointView[] => ['d1', 'd2', 'd3'].map(id => {
			const view = createView(id, 'decode');
			view.running = id === 'd1' ? 6 : 9;
			for (let stream = 0; stream < 100; stream += 1) {
				view.decodeLatency.observe({tookMs: id === 'd1' ? 3000 : 6000, tokens: 500, load: id === 'd1' ? 0.3 : 0.45});
			}

			return view;
		});

		it('keeps one decode engine at a lower load, where long answers meet their deadline; guards against long answers that never complete', () => {
			const views = createOverloadedEngines();
			const short = createRequest({promptTokens: 10, outputTokens: 50, remainingMs: 8000});
			assert.is.not(selectEngines(views, short, context)?.decodeEngine.endpoint.id, 'd1');
			assert.is(selectEngines(views, {...short, outputTokens: 900}, context)?.decodeEngine.endpoint.id, 'd1');
		});

		it('reserves the fastest engine; guards against long answers sent to an engine that is too slow for them', () => {
			const views = ['d1', 'd2', 'd3'].map(id => {
				const view = createView(id, 'decode');
				view.running = id === 'd3' ? 6 : 7;
				for (let stream = 0; stream < 300; stream += 1) {
					const load = [0.2, 0.5, 0.8][stream % 3]!;
					view.decodeLatency.observe({tookMs: 500 * (id === 'd3' ? 1 : 1.4) * (3 + (9 * load)), tokens: 500, load});
				}

				return view;
			});
			const short = createRequest({promptTokens: 10, outputTokens: 50, remainingMs: 8000});
			assert.is.not(selectEngines(views, short, context)?.decodeEngine.endpoint.id, 'd3');
			assert.is(selectEngines(views, {...short, outputTokens: 700}, context)?.decodeEngine.endpoint.id, 'd3');
		});

		it('reserves none of two engines', () => {
			const views = createOverloadedEngines().slice(0, 2);
			assert.is(selectEngines(views, createRequest({promptTokens: 10, outputTokens: 50}), context)?.decodeEngine.endpoint.id, 'd1');
		});
	});

	describe('in a burst beyond the slots of the decode engines', () => {
		it('expects no wait behind late requests, which the engine serves last', () => {
			const decode = createView('d', 'decode');
			decode.running = 30;
			decode.lateRequests = 25;
			const inTime = selectEngines([decode], createRequest({promptTokens: 100}), context)!;
			const late = selectEngines([decode], createRequest({promptTokens: 100, level: lowestPriorityLevel}), context)!;
			assert.ok(inTime.firstTokenMs < 400, `${inTime.firstTokenMs} ms`);
			assert.ok(late.firstTokenMs > 3000, `${late.firstTokenMs} ms`);
		});

		it('expects a wait for memory as for slots', () => {
			const decode = createView('d', 'decode');
			decode.running = 5;
			decode.runningTokens = 499_000;
			const selection = selectEngines([decode], createRequest({promptTokens: 5000, level: lowestPriorityLevel}), context)!;
			assert.ok(selection.firstTokenMs > 200);
		});
	});
});

describe('priority levels and queueing limit', () => {
	it('order requests by priority, and by prompt size within a priority', () => {
		const levels = [choosePriorityLevel(0, 100), choosePriorityLevel(0, 10_000), choosePriorityLevel(0, 50_000), choosePriorityLevel(1, 100), choosePriorityLevel(2, 50_000)];
		assert.equal(levels, levels.toSorted((a, b) => a - b));
		assert.is(new Set(levels).size, levels.length);
	});

	it('reserve the lowest level for late requests, whatever the priority', () => {
		assert.ok(choosePriorityLevel(9, 100_000) < lowestPriorityLevel);
	});

	it('derive the queueing limit from the latency target and the gap limit, with a minimum', () => {
		assert.is(maxQueueMs({latencyTargetMs: 300, maxGapMs: 300}), 2400);
		assert.is(maxQueueMs({latencyTargetMs: 100, maxGapMs: 100}), 2000);
	});
});
