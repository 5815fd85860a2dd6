import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {chooseService, ServiceLoadEstimator, type ServiceReading} from '../index.js';

const idle: ServiceReading = {running: 0, leaving: false};

const createView = (readings: Record<string, Partial<ServiceReading>>, entries = 1): ServiceLoadEstimator => {
	const view = new ServiceLoadEstimator({reportLagMs: 0, entries});
	for (const [id, reading] of Object.entries(readings)) {
		view.add({id, distanceMs: 1});
		view.applyReport(id, {...idle, ...reading}, 0);
	}

	return view;
};

const runningAt = (view: ServiceLoadEstimator, nowMs: number): number[] => view.estimateAll(nowMs).map(({running}) => running);

describe('chooseService', () => {
	it('guards against own calls that are not counted, or are counted after their end', () => {
		const view = createView({a: {}, b: {running: 1}}, 3);
		view.recordCallStart('a', 0);
		assert.equal(runningAt(view, 0), [3, 1]);
		assert.is(chooseService(view.estimateAll(0), view.meanCallMs, () => 0)?.id, 'b');
		view.recordCallEnd('a', 5, 5);
		assert.equal(runningAt(view, 5)[0], 0);
	});

	it('guards against counting the calls of an old report as still running', () => {
		const view = createView({a: {running: 8}});
		assert.equal(runningAt(view, 0), [8]);
		assert.equal(runningAt(view, view.meanCallMs / 2), [4]);
		assert.equal(runningAt(view, view.meanCallMs * 2), [0]);
	});

	it('guards against counting own calls twice that a report includes', () => {
		const view = createView({a: {}});
		view.recordCallStart('a', 1);
		view.applyReport('a', {...idle, running: 3}, 2);
		assert.equal(runningAt(view, 2), [3]);
		view.recordCallEnd('a', 2);
		assert.equal(runningAt(view, 2), [2]);
	});

	it('guards against choosing an endpoint that is full or leaving', () => {
		const view = createView({full: {running: 2, maxRunning: 2}, leaving: {leaving: true}, busy: {running: 20}});
		assert.is(chooseService(view.estimateAll(0), view.meanCallMs, () => 0)?.id, 'busy');
		assert.is(chooseService(createView({a: {leaving: true}}).estimateAll(0), 10, () => 0), undefined);
	});
});
