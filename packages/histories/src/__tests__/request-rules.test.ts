import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	findLateVersions, findOperatorFaults, findUnprovenEntries, findVersionFalls,
} from '../rules/config-rules.js';
import {
	findForeignAccounts, findKeyLeaks, findLateAdmissions, findUnservedCalls,
} from '../rules/key-rules.js';
import type {CallObservation, EndpointRequest} from '../rules/observations.js';
import {
	findCutCalls, findPoisonCost, findSilentEnds, findSlowCalls, findWorkAtLeaving, findWrongAnswers,
} from '../rules/request-rules.js';

const call = (fields: Partial<CallObservation> = {}): CallObservation => ({
	id: 'c1', entry: 'entry-1', keyName: 'k1', sentMs: 1000, endedMs: 1100, status: 200, isWhole: true, text: ' a b', expected: ' a b', ...fields,
});

const received = (fields: Partial<EndpointRequest> = {}): EndpointRequest => ({
	endpoint: 'engine-1', atMs: 1000, text: '{"prompt":"hello"}', account: 'planning', callId: 'c1', ...fields,
});

const key = 'hck_0123456789abcdefghij';

describe('rules, each against a planted violation and a correct history', () => {
	describe('keys', () => {
		it('findLateAdmissions guards against a withdrawn key that works after 5 s', () => {
			const withdrawals = [{keyName: 'k1', acceptedMs: 1000}];
			assert.is(findLateAdmissions([call({sentMs: 6001})], withdrawals).length, 1);
			const correct = [call({sentMs: 5999}), call({sentMs: 6001, status: 401}), call({sentMs: 9000, keyName: 'k2'})];
			assert.equal(findLateAdmissions(correct, withdrawals), []);
		});

		it('findUnservedCalls guards against a refused caller during an outage', () => {
			const span = {fromMs: 1000, untilMs: 9000};
			const names = new Set(['k1']);
			assert.is(findUnservedCalls([call({status: 503, isWhole: false})], names, span).length, 1);
			assert.is(findUnservedCalls([call({isWhole: false})], names, span).length, 1);
			const correct = [call(), call({status: 401, keyName: 'k2'}), call({status: 503, sentMs: 9001})];
			assert.equal(findUnservedCalls(correct, names, span), []);
		});

		it('findForeignAccounts guards against a request that runs for another account', () => {
			const owners = new Map([['c1', 'planning']]);
			assert.is(findForeignAccounts([received({account: 'warehouse'})], owners).length, 1);
			assert.is(findForeignAccounts([received({account: undefined})], owners).length, 1);
			assert.is(findForeignAccounts([received({callId: 'c9'})], owners).length, 1);
			assert.equal(findForeignAccounts([received()], owners), []);
		});

		it('findKeyLeaks guards against a whole key and an 8-character part of it at an endpoint', () => {
			assert.is(findKeyLeaks([received({text: `authorization: Bearer ${key}`})], [key]).length, 1);
			assert.is(findKeyLeaks([received({text: `x-trace: ${key.slice(9, 17)}`})], [key]).length, 1);
			assert.equal(findKeyLeaks([received({text: `x-trace: ${key.slice(9, 16)}`})], [key]), []);
		});
	});

	describe('configuration', () => {
		const sample = (atMs: number, version: number, entry = 'entry-1') => ({entry, atMs, version});
		const connected = [{entry: 'entry-1', fromMs: 0, untilMs: 90_000}];
		const publications = [{version: 3, acceptedMs: 1000}];

		it('findVersionFalls guards against a reverted version, also across a restart', () => {
			assert.is(findVersionFalls([sample(1, 3), sample(2, 2)]).length, 1);
			assert.equal(findVersionFalls([sample(2, 3), sample(1, 2), sample(3, 2, 'entry-2')]), []);
		});

		it('findLateVersions guards against a version that is not in force after 18 s', () => {
			assert.is(findLateVersions([sample(19_001, 2)], publications, connected).length, 1);
			assert.equal(findLateVersions([sample(18_999, 2), sample(19_001, 3)], publications, connected), []);
			const cutOff = [{entry: 'entry-1', fromMs: 15_000, untilMs: 90_000}];
			assert.equal(findLateVersions([sample(32_000, 2)], publications, cutOff), []);
			assert.is(findLateVersions([sample(33_001, 2)], publications, cutOff).length, 1);
		});

		it('findUnprovenEntries guards against an entry that was never looked at', () => {
			assert.is(findUnprovenEntries(['entry-1', 'entry-2'], [sample(1, 3)], publications).length, 1);
			assert.equal(findUnprovenEntries(['entry-1'], [sample(1, 3)], publications), []);
		});

		it('findOperatorFaults guards against a lost change and a conflict without names', () => {
			const won = {
				operator: 'a', status: 200, version: 4, names: ['x'], conflicts: [],
			};
			assert.is(findOperatorFaults([won, {...won, operator: 'b'}]).length, 1);
			assert.is(findOperatorFaults([won, {...won, operator: 'b', status: 409}]).length, 1);
			assert.is(findOperatorFaults([{...won, status: 503}]).length, 1);
			const named = {
				...won, operator: 'b', status: 409, conflicts: ['x'],
			};
			assert.equal(findOperatorFaults([won, {...won, operator: 'b', version: 5}, named]), []);
		});
	});

	describe('requests', () => {
		it('findWrongAnswers guards against a short, doubled or foreign answer', () => {
			assert.is(findWrongAnswers([call({text: ' a'})]).length, 1);
			assert.is(findWrongAnswers([call({text: ' a a b'})]).length, 1);
			assert.is(findWrongAnswers([call({text: ' b', isWhole: false})]).length, 1);
			assert.equal(findWrongAnswers([call(), call({text: ' a', isWhole: false})]), []);
		});

		it('findSilentEnds guards against a part of an answer that passes for a whole one', () => {
			assert.is(findSilentEnds([call({isWhole: false})]).length, 1);
			assert.is(findSilentEnds([call({isWhole: false, status: 0, code: 'UND_ERR_SOCKET'})]).length, 1);
			assert.equal(findSilentEnds([call(), call({isWhole: false, code: 'endpoint-failed', ran: 'ran'})]), []);
		});

		it('findCutCalls guards against a request that a planned change cut off', () => {
			assert.is(findCutCalls([call({isWhole: false})]).length, 1);
			assert.is(findCutCalls([call({status: 502, ran: 'ran'})]).length, 1);
			assert.is(findCutCalls([call({status: 0, isWhole: false})]).length, 1);
			const refused = call({status: 503, ran: 'not-run', isWhole: false});
			assert.equal(findCutCalls([call(), refused]), []);
			assert.is(findCutCalls([refused], false).length, 1);
		});

		it('findSlowCalls guards against a stream that hangs on a silent connection', () => {
			assert.is(findSlowCalls([call({endedMs: 6001})], 5000).length, 1);
			assert.equal(findSlowCalls([call({endedMs: 6000})], 5000), []);
		});

		it('findWorkAtLeaving guards against new work at an endpoint that has been leaving for 5 s', () => {
			const leaves = [{endpoint: 'engine-1', atMs: 1000}];
			assert.is(findWorkAtLeaving([received({atMs: 6001})], leaves).length, 1);
			assert.equal(findWorkAtLeaving([received({atMs: 5999}), received({atMs: 9000, endpoint: 'engine-2'})], leaves), []);
		});

		it('findPoisonCost guards against a request that crashes a fourth endpoint', () => {
			const crashes = ['engine-1', 'engine-2', 'engine-3'].map(endpoint => ({endpoint, atMs: 1, text: 'poison'}));
			assert.is(findPoisonCost([...crashes, crashes[0]!]).length, 1);
			assert.equal(findPoisonCost(crashes), []);
		});
	});
});
