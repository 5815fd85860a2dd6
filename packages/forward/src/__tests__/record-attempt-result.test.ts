import {EndpointTrust, Refusals} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {PooledEndpoint} from '../endpoint-pool.js';
import type {FailedAttempt} from '../forward-types.js';
import {recordAttemptResult} from '../record-attempt-result.js';

const createKnown = (id: string, role?: 'decode' | 'prefill'): PooledEndpoint =>
	({endpoint: {id, role}, trust: new EndpointTrust(), refusals: new Refusals()} as unknown as PooledEndpoint);

const refusedAt = (at: PooledEndpoint, isMisdirected = false): FailedAttempt => ({
	kind: 'failed', failure: 'refused', detail: 'status 503', failedAt: at, isMisdirected,
});

const isAvoided = ({trust}: PooledEndpoint): boolean => trust.isAvoided(1);

describe('the judgement of attempts', () => {
	it('avoids an engine that refuses a whole request, and no full plain service', () => {
		const [engine, desk] = [createKnown('d1', 'decode'), createKnown('s1')];
		recordAttemptResult({target: engine}, refusedAt(engine), 0);
		recordAttemptResult({target: desk}, refusedAt(desk), 0);
		assert.ok(isAvoided(engine));
		assert.not(isAvoided(desk));
	});

	it('avoids the prefill engine whose handles lapse, not the decode engines; guards against good engines shunned in turn', () => {
		const lapsing = createKnown('p1', 'prefill');
		const decoders = [createKnown('d1', 'decode'), createKnown('d2', 'decode')];
		for (const known of decoders) {
			recordAttemptResult({target: known, prefill: lapsing}, refusedAt(known), 0);
		}

		assert.ok(isAvoided(lapsing));
		assert.equal(decoders.map(known => isAvoided(known)), [false, false]);
	});

	it('avoids the decode engine that refuses KV caches of several engines', () => {
		const changing = createKnown('d1', 'decode');
		const prefillers = [createKnown('p1', 'prefill'), createKnown('p2', 'prefill')];
		for (const prefill of prefillers) {
			recordAttemptResult({target: changing, prefill}, refusedAt(changing), 0);
		}

		assert.ok(isAvoided(changing));
		assert.equal(prefillers.map(known => isAvoided(known)), [false, false]);
	});

	it('avoids whatever has another endpoint at its address', () => {
		const desk = createKnown('s1');
		recordAttemptResult({target: desk}, refusedAt(desk, true), 0);
		assert.ok(isAvoided(desk));
	});

	it('avoids it until its registration has had time to change; guards against a restarted engine asked under its old id by each entry again and again', () => {
		const restarted = createKnown('d1', 'decode');
		recordAttemptResult({target: restarted}, refusedAt(restarted, true), 0);
		assert.ok(restarted.trust.isAvoided(3600));
		assert.not(restarted.trust.isAvoided(4100));
	});
});
