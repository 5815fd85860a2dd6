import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {balanceRoles, type RoleBalance, type RoleBalanceState} from '../balance-roles.js';
import {expectedWaitMs, findBestDivision, type ServiceDemand} from '../role-waits.js';

/** Demand of long prompts with short answers, or the reverse, in engines that it would keep busy. */
const createDemand = (prefill: number, decode: number): ServiceDemand => ({
	prefill: {neededEngines: prefill, serviceMs: 60, squaredVariation: 3},
	decode: {neededEngines: decode, serviceMs: 30, squaredVariation: 1},
});

describe('expected waits by the division of roles', () => {
	for (const engines of [4, 6, 30, 82]) {
		const half = Math.floor(engines / 2);

		it(`give the prompts more of ${engines} engines when they are long, and the streams when they are; guards against queues at one role beside idle engines of the other`, () => {
			const start = {prefill: half, decode: engines - half};
			const long = findBestDivision([createDemand(engines * 0.45, engines * 0.1)], start);
			const short = findBestDivision([createDemand(engines * 0.1, engines * 0.45)], start);
			assert.ok(long.prefill >= start.prefill && short.decode >= start.decode);
			assert.ok(long.prefill > short.prefill);
			assert.is(long.prefill + long.decode, engines);
		});
	}

	it('keep two decode engines of four or more; guards against the loss of the only one', () => {
		assert.equal(findBestDivision([createDemand(5.5, 0.1)], {prefill: 3, decode: 3}), {prefill: 4, decode: 2});
	});

	it('grow with the variation of the prompts at the same utilisation', () => {
		const even = {...createDemand(2, 0), prefill: {neededEngines: 2, serviceMs: 60, squaredVariation: 0}};
		assert.ok(expectedWaitMs([createDemand(2, 0)], {prefill: 3, decode: 3}) > 2 * expectedWaitMs([even], {prefill: 3, decode: 3}));
	});

	it('stay finite in an overload, and a larger role is better there too', () => {
		const overload = [createDemand(20, 20)];
		assert.ok(expectedWaitMs(overload, {prefill: 5, decode: 1}) < Number.POSITIVE_INFINITY);
		assert.ok(expectedWaitMs([createDemand(8, 0)], {prefill: 5, decode: 1}) < expectedWaitMs([createDemand(8, 0)], {prefill: 4, decode: 2}));
	});
});

type Swing = {readonly engines: number; readonly periodMs: number; readonly forMs: number; readonly demandAt: (phase: 0 | 1) => {readonly prefillNeeded: number; readonly decodeNeeded: number}};

/** Plays a demand that alternates between two phases and carries out each change; returns the number of changes, and the division at the end. */
const play = ({engines, periodMs, forMs, demandAt}: Swing): {readonly changes: number; readonly prefill: number} => {
	let state: RoleBalanceState = {};
	let prefill = Math.floor(engines / 2);
	let changes = 0;
	for (let nowMs = 0; nowMs <= forMs; nowMs += 400) {
		const phase = Math.floor(nowMs / periodMs) % 2 === 0 ? 0 : 1;
		const balance: RoleBalance = {
			nowMs, prefill, decode: engines - prefill, isIdle: false, ...demandAt(phase),
		};
		const decision = balanceRoles(balance, state);
		state = decision.state;
		if (decision.change) {
			changes += 1;
			prefill += decision.change === 'prefill' ? decision.count : -decision.count;
		}
	}

	return {changes, prefill};
};

describe('role changes under a swinging mix', () => {
	for (const engines of [6, 30, 82]) {
		it(`follow a lasting shift to long prompts with several of ${engines} engines at once; guards against one change in 15 s`, () => {
			const {changes, prefill} = play({
				engines, periodMs: 60_000, forMs: 6000, demandAt: () => ({prefillNeeded: engines * 0.5, decodeNeeded: engines * 0.08}),
			});
			assert.is(changes, 1);
			assert.ok(prefill >= Math.floor(engines / 2) + Math.max(1, Math.floor(engines * 0.1)), `${prefill} prefill engines`);
		});

		it(`are at most four in a minute with ${engines} engines while the mix swings every 3 s; guards against engines that are always away`, () => {
			const {changes} = play({
				engines, periodMs: 3000, forMs: 60_000,
				demandAt: phase => phase === 0 ? {prefillNeeded: engines * 0.5, decodeNeeded: engines * 0.1} : {prefillNeeded: engines * 0.1, decodeNeeded: engines * 0.35},
			});
			assert.ok(changes <= 4, `${changes} changes`);
		});
	}

	it('come soon after an idle time, since idle engines are divided without knowing the mix', () => {
		const idle = balanceRoles({
			nowMs: 0, prefill: 3, decode: 3, prefillNeeded: 0, decodeNeeded: 0, isIdle: true,
		}, {});
		let {state} = idle;
		let changedMs: number | undefined;
		for (let nowMs = 400; nowMs <= 8000 && changedMs === undefined; nowMs += 400) {
			const decision = balanceRoles({
				nowMs, prefill: 3, decode: 3, prefillNeeded: 3, decodeNeeded: 0.3, isIdle: false,
			}, state);
			state = decision.state;
			changedMs = decision.change && nowMs;
		}

		assert.ok(changedMs !== undefined && changedMs <= 3200, `${changedMs}`);
	});

	it('follow a loss that leaves one role far beyond its capacity, although the other one is overloaded too; guards against one decode engine beside three for prefill', () => {
		let state: RoleBalanceState = {};
		const decide = (nowMs: number, prefill: number, decode: number, decodeNeeded: number): string | undefined => {
			const decision = balanceRoles({
				nowMs, prefill, decode, prefillNeeded: 3.4, decodeNeeded, isIdle: false,
			}, state);
			state = decision.state;
			return decision.change;
		};

		for (let nowMs = 0; nowMs < 12_000; nowMs += 400) {
			decide(nowMs, 3, 3, 1.4);
		}

		const changes = [12_000, 12_400, 12_800, 13_200].map(nowMs => decide(nowMs, 3, 1, 2.5)).filter(change => change !== undefined);
		assert.equal(changes, ['decode']);
	});

	it('do not follow a forecast that one second has shown; guards against a change for a single long prompt', () => {
		let state: RoleBalanceState = {};
		for (let nowMs = 0; nowMs <= 20_000; nowMs += 400) {
			const isPeak = nowMs >= 12_000 && nowMs < 13_000;
			const decision = balanceRoles({
				nowMs, prefill: 3, decode: 3, prefillNeeded: isPeak ? 6 : 1, decodeNeeded: 1, isIdle: false,
			}, state);
			assert.is(decision.change, undefined, `at ${nowMs}`);
			state = decision.state;
		}
	});
});
