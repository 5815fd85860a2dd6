import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {pickRoleChange, type RoleCandidate} from '../pick-role-change.js';

const create = (endpoint: string, msPerToken: number, changes: Partial<RoleCandidate> = {}): RoleCandidate => ({
	endpoint, msPerToken, dataCentre: 'a', running: 5, ...changes,
});

// Guards against SHORT: the largest answers could not end because the quickest engine had been taken from decoding.
describe('long answers at few engines of different speed', () => {
	it('keep the quick engines although those have the least to finish; guards against a choice by running requests, which falls on the quickest', () => {
		const candidates = [create('i-1', 5, {running: 3}), create('i-2', 8, {running: 13}), create('i-3', 8.2, {running: 12})];
		assert.is(pickRoleChange(candidates, 'prefill')?.endpoint, 'i-3');
	});

	it('keep the quick engines although their data centre has the most; guards against speed given away for short ways', () => {
		const candidates = [create('i-1', 5), create('i-2', 5), create('i-3', 8, {dataCentre: 'b'})];
		assert.is(pickRoleChange(candidates, 'prefill')?.endpoint, 'i-3');
	});

	it('get the quickest engine when one more is to decode', () => {
		const candidates = [create('i-1', 0.016), create('i-2', 0.012), create('i-3', 0.017)];
		assert.is(pickRoleChange(candidates, 'decode')?.endpoint, 'i-2');
	});
});

describe('engines that are about as fast', () => {
	it('are chosen by data centre, then by what they have to finish; guards against small errors of the pace that decide', () => {
		const candidates = [create('i-1', 8.1), create('i-2', 8, {running: 2, dataCentre: 'b'}), create('i-3', 7.8, {running: 4})];
		assert.is(pickRoleChange(candidates, 'prefill')?.endpoint, 'i-3');
	});

	it('are none when there is no candidate', () => {
		assert.is(pickRoleChange([], 'decode'), undefined);
	});
});
