import {describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	chooseEndpoint, LoadEstimator, type EndpointChoiceRequest, type LoadReading,
} from '../index.js';

const rates = {
	prefillTokensPerSecond: 10_000, stepMs: 20, stepMsPerRequest: 0.4, chunkTokens: 256, maxRunning: 64,
};
const idle: LoadReading = {
	role: 'prefill', running: 0, waiting: 0, waitingTokens: 0, freeTokens: 100_000, prefixes: [], leaving: false,
};
const request: EndpointChoiceRequest = {
	stage: 'prefill', promptTokens: 1000, prefixes: [], excluded: new Set(), kvTokens: 1200,
};
const dispatch = {
	prefillTokens: 1000, decodeRequests: 0, kvTokens: 1000, prefixes: [],
};

const createView = (readings: Record<string, Partial<LoadReading>>, nowMs = 0): LoadEstimator => {
	const view = new LoadEstimator({reportLagMs: 2000, entries: 1});
	for (const [id, reading] of Object.entries(readings)) {
		view.add({
			id, dataCentre: 'a', distanceMs: 0.5, rates,
		});
		view.applyReport(id, {...idle, ...reading}, nowMs);
	}

	return view;
};

const seededRandom = (seed: number) => {
	let state = seed;
	return () => {
		state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;
		return state / 4_294_967_296;
	};
};

describe('chooseEndpoint', () => {
	it('guards against ignoring own dispatches that the last report does not include', () => {
		const view = createView({busy: {waitingTokens: 30_000}, idle: {}}, 0);
		for (let sent = 0; sent < 12; sent++) {
			view.recordDispatch('idle', dispatch, 100);
		}

		assert.is(chooseEndpoint(view.estimateAll(100), request, () => 0)?.endpoint.id, 'busy');
	});

	it('guards against all entries choosing the same one of several similar endpoints', () => {
		const chosen = new Set(Array.from({length: 20}, (_, seed) => {
			const view = createView({a: {waitingTokens: 21_000}, b: {waitingTokens: 20_500}, c: {waitingTokens: 20_000}});
			return chooseEndpoint(view.estimateAll(0), request, seededRandom(seed * 7919))?.endpoint.id;
		}));
		assert.is(chosen.size, 3);
	});

	it('guards against choosing a cached prefix whose queue costs more time than the cache saves', () => {
		const withPrefix = {...request, prefixes: [{prefix: 'p', tokens: 900}]};
		const choose = (waitingTokens: number) => {
			const view = createView({cached: {prefixes: ['p'], waitingTokens}, empty: {}}, 0);
			view.recordQueueLength('cached', waitingTokens, 0);
			view.recordQueueLength('empty', 0, 0);
			return chooseEndpoint(view.estimateAll(0), withPrefix, () => 0)?.endpoint.id;
		};

		assert.is(choose(300), 'cached');
		assert.is(choose(3000), 'empty');
	});

	it('guards against ignoring a dispatched prefix because its cache event was lost', () => {
		const view = createView({a: {}, b: {}}, 0);
		view.recordDispatch('b', {...dispatch, prefillTokens: 0, prefixes: ['p']}, 10);
		view.applyReport('b', idle, 3000);
		const withPrefix = {...request, prefixes: [{prefix: 'p', tokens: 900}]};
		assert.is(chooseEndpoint(view.estimateAll(3000), withPrefix, () => 0)?.endpoint.id, 'b');
	});

	it('guards against a dispatched prefix that is assumed to stay cached forever', () => {
		const view = createView({a: {}}, 0);
		view.recordDispatch('a', {...dispatch, prefixes: ['p']}, 0);
		assert.ok(view.estimateAll(1000)[0]!.holdsPrefix('p') > 0.7);
		view.applyReport('a', idle, 300_000);
		assert.is(view.estimateAll(300_000)[0]!.holdsPrefix('p'), 0);
	});

	it('guards against choosing a remote endpoint although a near one has the same load', () => {
		const view = createView({near: {}}, 0);
		view.add({
			id: 'far', dataCentre: 'b', distanceMs: 30, rates,
		});
		view.applyReport('far', idle, 0);
		view.recordQueueLength('near', 0, 0);
		view.recordQueueLength('far', 0, 0);
		assert.is(chooseEndpoint(view.estimateAll(0), request, () => 0.99)?.endpoint.id, 'near');
	});

	it('guards against choosing an endpoint that is leaving, serves another stage or has rejected the request', () => {
		const view = createView({leaving: {leaving: true}, decode: {role: 'decode'}, refused: {}});
		assert.is(chooseEndpoint(view.estimateAll(0), {...request, excluded: new Set(['refused'])}, () => 0), undefined);
	});

	it('guards against an estimated queue below zero or above the reported and dispatched tokens', () => {
		const steps = fc.array(fc.record({afterMs: fc.nat(500), tokens: fc.nat(4000)}), {maxLength: 20});
		fc.assert(fc.property(fc.nat(50_000), steps, (waitingTokens, dispatches) => {
			const view = createView({a: {waitingTokens}});
			let nowMs = 0;
			let total = waitingTokens;
			for (const {afterMs, tokens} of dispatches) {
				nowMs += afterMs;
				total += tokens;
				view.recordDispatch('a', {...dispatch, prefillTokens: tokens}, nowMs);
			}

			const estimate = view.estimateAll(nowMs)[0]!.waitingTokens;
			assert.ok(estimate >= 0 && estimate <= total);
		}), {seed: 11});
	});
});
