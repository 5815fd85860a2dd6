import {OutlierEjection, SplitRejections} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {PooledEndpoint} from '../../endpoints/endpoint-pool.js';
import type {FailedAttempt} from '../attempt-result.js';
import {recordAttemptResult} from '../record-attempt-result.js';

const createEndpoint = (id: string, role?: 'decode' | 'prefill'): PooledEndpoint =>
	({endpoint: {id, role}, ejection: new OutlierEjection(), splitRejections: new SplitRejections()} as unknown as PooledEndpoint);

const refusedAt = (failedAt: PooledEndpoint, isMisdirected = false): FailedAttempt => ({
	kind: 'failed', failure: 'refused', detail: 'status 503', failedAt, isMisdirected,
});

const isEjected = ({ejection}: PooledEndpoint): boolean => ejection.isEjected(1);

describe('outlier ejection by the results of attempts', () => {
	it('ejects an engine that refuses a request without a separate prefill, but not a full plain service', () => {
		const [engine, plainService] = [createEndpoint('d1', 'decode'), createEndpoint('s1')];
		recordAttemptResult({target: engine}, refusedAt(engine), 0);
		recordAttemptResult({target: plainService}, refusedAt(plainService), 0);
		assert.ok(isEjected(engine));
		assert.not(isEjected(plainService));
	});

	it('ejects the prefill engine whose KV cache handles expire, not the decode engines; guards against healthy engines ejected one after the other', () => {
		const expiring = createEndpoint('p1', 'prefill');
		const decoders = [createEndpoint('d1', 'decode'), createEndpoint('d2', 'decode')];
		for (const target of decoders) {
			recordAttemptResult({target, prefill: expiring}, refusedAt(target), 0);
		}

		assert.ok(isEjected(expiring));
		assert.equal(decoders.map(target => isEjected(target)), [false, false]);
	});

	it('ejects the decode engine that refuses the KV caches of several prefill engines', () => {
		const changing = createEndpoint('d1', 'decode');
		const prefillers = [createEndpoint('p1', 'prefill'), createEndpoint('p2', 'prefill')];
		for (const prefill of prefillers) {
			recordAttemptResult({target: changing, prefill}, refusedAt(changing), 0);
		}

		assert.ok(isEjected(changing));
		assert.equal(prefillers.map(target => isEjected(target)), [false, false]);
	});

	it('does not eject an endpoint for a request that was withdrawn before anything was written; guards against endpoints that come back and are avoided', () => {
		const endpoint = createEndpoint('s1');
		recordAttemptResult({target: endpoint}, {
			kind: 'failed', failure: 'not-connected', detail: 'withdrawn', failedAt: endpoint, isWithdrawn: true,
		}, 0);
		assert.not(isEjected(endpoint));
	});

	it('ejects an endpoint whose address now belongs to another endpoint', () => {
		const plainService = createEndpoint('s1');
		recordAttemptResult({target: plainService}, refusedAt(plainService, true), 0);
		assert.ok(isEjected(plainService));
	});

	it('ejects it until its registration has had time to change; guards against repeated requests to a restarted engine under its old id', () => {
		const restarted = createEndpoint('d1', 'decode');
		recordAttemptResult({target: restarted}, refusedAt(restarted, true), 0);
		assert.ok(restarted.ejection.isEjected(3600));
		assert.not(restarted.ejection.isEjected(4100));
	});
});
