import {
	brandAs, type EndpointId, type EndpointRole, type RoleBalance, type TokenRate,
} from '@hawthorncleat/core';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EndpointPool, type PooledEndpoint} from '../../endpoints/endpoint-pool.js';
import {measureRoleBalance, type DecodeUsage} from '../role-demand.js';

const kvTokens = 100_000;
const slots = 10;

const createEngines = (roles: readonly EndpointRole[]): readonly PooledEndpoint[] => {
	const pool = new EndpointPool({clock: createManualClock(0), entries: () => 1, serviceOf: () => ({maxConnections: 10, engine: {kvTokens}})});
	for (const [index, role] of roles.entries()) {
		pool.put({
			id: brandAs<EndpointId>(`i-${index}`), service: 'models', address: '127.0.0.1', port: 1, dataCentre: 'a', slots, isLeaving: false, role, startedAt: 1, heartbeat: 1,
		});
	}

	return pool.ofService('models');
};

/** Far more output tokens are requested than the running streams show. */
const overstated: TokenRate = {
	requestsPerSecond: 10, promptTokensPerSecond: 20_000, millionPairsPerSecond: 20, outputTokensPerSecond: 5000, promptVariation: 2, rejectedFraction: 0,
};
const noDemand: TokenRate = {
	requestsPerSecond: 0, promptTokensPerSecond: 0, millionPairsPerSecond: 0, outputTokensPerSecond: 0, promptVariation: 0, rejectedFraction: 0,
};

const measureFor = (engines: readonly PooledEndpoint[], usage: DecodeUsage, {fromMs, toMs, demand = overstated}: {fromMs: number; toMs: number; demand?: TokenRate}): RoleBalance => {
	let balance: RoleBalance | undefined;
	for (let nowMs = fromMs; nowMs <= toMs; nowMs += 400) {
		balance = measureRoleBalance({
			nowMs, engines, newRoleOf: () => undefined, demand, kvTokens,
		}, usage);
	}

	return balance!;
};

describe('the demand on the roles', () => {
	it('for decode follows the running streams when callers request more; guards against engines taken from prefill for streams that do not exist', () => {
		const engines = createEngines(['prefill', 'decode', 'decode']);
		const usage: DecodeUsage = {lastIdleMs: 0};
		for (const engine of engines.filter(({endpoint}) => endpoint.role === 'decode')) {
			engine.running = 1;
		}

		const early = measureFor(engines, usage, {fromMs: 400, toMs: 4000});
		const late = measureFor(engines, usage, {fromMs: 4400, toMs: 30_000});
		assert.ok(early.isFilling && early.decodeNeeded > 2);
		assert.ok(!late.isFilling && late.decodeNeeded < 0.6, `${late.decodeNeeded}`);
	});

	it('for decode is what callers request once streams are rejected; guards against a lost decode engine that is not replaced because what is rejected does not run', () => {
		const engines = createEngines(['prefill', 'prefill', 'prefill', 'decode']);
		engines[3]!.running = 7;
		const half = measureFor(engines, {lastIdleMs: 0}, {fromMs: 400, toMs: 30_000, demand: {...overstated, rejectedFraction: 0.5}});
		const none = measureFor(engines, {lastIdleMs: 0}, {fromMs: 400, toMs: 30_000});
		assert.ok(half.decodeNeeded > 2 && none.decodeNeeded <= 1, `${half.decodeNeeded} and ${none.decodeNeeded}`);
	});

	it('counts an engine that is changing with its new role', () => {
		const engines = createEngines(['decode', 'decode']);
		const balance = measureRoleBalance({
			nowMs: 0, engines, newRoleOf: engine => engine.endpoint.id === 'i-0' ? 'prefill' : undefined, demand: noDemand, kvTokens,
		}, {lastIdleMs: 0});
		assert.equal([balance.prefill, balance.decode, balance.isIdle], [1, 1, true]);
	});

	it('has an engine that names a limit do only a part of the work; guards against a role that is short of engines because one of them is in need', () => {
		const engines = createEngines(['prefill', 'prefill', 'decode', 'decode']);
		const measure = (): RoleBalance => measureRoleBalance({
			nowMs: 0, engines, newRoleOf: () => undefined, demand: {...overstated, rejectedFraction: 0.5}, kvTokens,
		}, {lastIdleMs: 0});
		const state = (index: number, perSecond: number | undefined): void => {
			engines[index]!.rateLimit.recordAnswer({perSecond, statedMs: 0, askedMs: 0});
		};

		const free = measure();
		const capacity = (role: 'prompts' | 'streams'): number => 1000 / free[role]!.serviceMs;
		state(0, capacity('prompts') / 4);
		state(2, capacity('streams') * 2);
		const limited = measure();
		assert.ok(Math.abs(limited.prefillNeeded - free.prefillNeeded - 0.75) < 0.001, `${limited.prefillNeeded} and ${free.prefillNeeded}`);
		assert.is(limited.decodeNeeded, free.decodeNeeded);
		state(3, capacity('streams') / 2);
		assert.ok(Math.abs(measure().decodeNeeded - free.decodeNeeded - 0.5) < 0.001);
		assert.equal([limited.prefill, limited.decode], [2, 2]);
	});

	it('for prefill is known without prefill engines; guards against a service that never gets one under load', () => {
		const balance = measureRoleBalance({
			nowMs: 0, engines: createEngines(['decode', 'decode']), newRoleOf: () => undefined, demand: overstated, kvTokens,
		}, {lastIdleMs: 0});
		assert.ok(balance.prefillNeeded > 0.2);
	});
});
