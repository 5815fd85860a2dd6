import {OutlierEjection, SplitRejections} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import type {KnownEndpoint} from '../endpoint-pool.js';
import type {FailedAttempt} from '../forward-types.js';
import {judgeAttempt} from '../judge-attempt.js';

const createKnown = (id: string, role?: 'decode' | 'prefill'): KnownEndpoint =>
	({endpoint: {id, role}, ejection: new OutlierEjection(), refusals: new SplitRejections()} as unknown as KnownEndpoint);

const refusedAt = (at: KnownEndpoint, isMisdirected = false): FailedAttempt => ({
	kind: 'failed', failure: 'refused', detail: 'status 503', at, isMisdirected,
});

const isAvoided = ({ejection: trust}: KnownEndpoint): boolean => trust.isEjected(1);

describe('the judgement of attempts', () => {
	it('avoids an engine that refuses a whole request, and no full plain service', () => {
		const [engine, desk] = [createKnown('d1', 'decode'), createKnown('s1')];
		judgeAttempt({known: engine}, refusedAt(engine), 0);
		judgeAttempt({known: desk}, refusedAt(desk), 0);
		assert.ok(isAvoided(engine));
		assert.not(isAvoided(desk));
	});

	it('avoids the prefill engine whose handles lapse, not the decode engines; guards against good engines shunned in turn', () => {
		const lapsing = createKnown('p1', 'prefill');
		const decoders = [createKnown('d1', 'decode'), createKnown('d2', 'decode')];
		for (const known of decoders) {
			judgeAttempt({known, prefill: lapsing}, refusedAt(known), 0);
		}

		assert.ok(isAvoided(lapsing));
		assert.equal(decoders.map(known => isAvoided(known)), [false, false]);
	});

	it('avoids the decode engine that refuses KV caches of several engines', () => {
		const changing = createKnown('d1', 'decode');
		const prefillers = [createKnown('p1', 'prefill'), createKnown('p2', 'prefill')];
		for (const prefill of prefillers) {
			judgeAttempt({known: changing, prefill}, refusedAt(changing), 0);
		}

		assert.ok(isAvoided(changing));
		assert.equal(prefillers.map(known => isAvoided(known)), [false, false]);
	});

	it('avoids whatever has another endpoint at its address', () => {
		const desk = createKnown('s1');
		judgeAttempt({known: desk}, refusedAt(desk, true), 0);
		assert.ok(isAvoided(desk));
	});

	it('avoids it until its registration has had time to change; guards against a restarted engine asked under its old id by each entry again and again', () => {
		const restarted = createKnown('d1', 'decode');
		judgeAttempt({known: restarted}, refusedAt(restarted, true), 0);
		assert.ok(restarted.ejection.isEjected(3600));
		assert.not(restarted.ejection.isEjected(4100));
	});
});
