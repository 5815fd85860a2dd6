import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {pickRoleChange, type RoleCandidate} from '../pick-role-change.js';

const create = (endpoint: string, msPerToken: number, changes: Partial<RoleCandidate> = {}): RoleCandidate => ({
	endpoint, msPerToken, dataCentre: 'a', running: 5, ...changes,
});

// Guards against too few completed long answers: the longest ones missed their deadline because the fastest engine no longer decoded.
describe('a role change among few engines of different speed', () => {
	it('keeps fast engines decoding although they have the fewest running requests; guards against a choice by running requests only', () => {
		const candidates = [create('i-1', 5, {running: 3}), create('i-2', 8, {running: 13}), create('i-3', 8.2, {running: 12})];
		assert.is(pickRoleChange(candidates, 'prefill')?.endpoint, 'i-3');
	});

	it('keeps fast engines decoding although their data centre has the most engines; guards against preferring location to speed', () => {
		const candidates = [create('i-1', 5), create('i-2', 5), create('i-3', 8, {dataCentre: 'b'})];
		assert.is(pickRoleChange(candidates, 'prefill')?.endpoint, 'i-3');
	});

	it('picks the fastest engine when decode needs one more', () => {
		const candidates = [create('i-1', 0.016), create('i-2', 0.012), create('i-3', 0.017)];
		assert.is(pickRoleChange(candidates, 'decode')?.endpoint, 'i-2');
	});
});

describe('a role change among engines of about the same speed', () => {
	it('picks by data centre, then by running requests; guards against a choice by small estimation errors of the latency', () => {
		const candidates = [create('i-1', 8.1), create('i-2', 8, {running: 2, dataCentre: 'b'}), create('i-3', 7.8, {running: 4})];
		assert.is(pickRoleChange(candidates, 'prefill')?.endpoint, 'i-3');
	});

	it('picks nothing when there is no candidate', () => {
		assert.is(pickRoleChange([], 'decode'), undefined);
	});
});
