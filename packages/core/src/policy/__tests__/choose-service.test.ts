import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {chooseService, ServiceView, type ServiceReading} from '../index.js';

const idle: ServiceReading = {running: 0, leaving: false};

const createView = (readings: Record<string, Partial<ServiceReading>>, entries = 1): ServiceView => {
	const view = new ServiceView({reportLagMs: 0, entries});
	for (const [id, reading] of Object.entries(readings)) {
		view.add({id, distanceMs: 1});
		view.report(id, {...idle, ...reading}, 0);
	}

	return view;
};

const runningAt = (view: ServiceView, nowMs: number): number[] => view.states(nowMs).map(({running}) => running);

describe('chooseService', () => {
	it('guards against own calls that are not counted or counted after their end', () => {
		const view = createView({a: {}, b: {running: 1}}, 3);
		view.started('a', 0);
		assert.equal(runningAt(view, 0), [3, 1]);
		assert.is(chooseService(view.states(0), view.callMs, () => 0)?.id, 'b');
		view.ended('a', 5, 5);
		assert.equal(runningAt(view, 5)[0], 0);
	});

	it('guards against calls of an old report that are taken to run on', () => {
		const view = createView({a: {running: 8}});
		assert.equal(runningAt(view, 0), [8]);
		assert.equal(runningAt(view, view.callMs / 2), [4]);
		assert.equal(runningAt(view, view.callMs * 2), [0]);
	});

	it('guards against own calls in a report that count twice', () => {
		const view = createView({a: {}});
		view.started('a', 1);
		view.report('a', {...idle, running: 3}, 2);
		assert.equal(runningAt(view, 2), [3]);
		view.ended('a', 2);
		assert.equal(runningAt(view, 2), [2]);
	});

	it('guards against calls for an endpoint that is full or leaving', () => {
		const view = createView({full: {running: 2, maxRunning: 2}, leaving: {leaving: true}, busy: {running: 20}});
		assert.is(chooseService(view.states(0), view.callMs, () => 0)?.id, 'busy');
		assert.is(chooseService(createView({a: {leaving: true}}).states(0), 10, () => 0), undefined);
	});
});
