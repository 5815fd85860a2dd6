import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	engine, fault, note, order, plant, plantAt, platform, refused, sent,
} from '../../__fixtures__/planted.js';
import type {HistoryEvent} from '../../history.js';
import {actionsRunOnce} from '../actions-run-once.js';
import {endpointOrdersOnce} from '../endpoint-orders-once.js';
import {engineOrdersRise} from '../engine-orders-rise.js';
import {inChargeNote, leasesExclude} from '../leases-exclude.js';
import {refusalsAreTrue} from '../refusals-are-true.js';
import type {Rule} from '../rule.js';

const problems = (rule: Rule, ...events: readonly HistoryEvent[]): string[] => rule(plant(...events)).map(({problem}) => problem);

const start = (orderNumber: number, overlapping = false): HistoryEvent => engine({
	kind: 'order-start', order: {orderNumber, role: 'decode'}, overlapping, cutOff: 0,
});
const end = (orderNumber: number): HistoryEvent => engine({kind: 'order-end', order: {orderNumber, role: 'decode'}});

describe('rules of the checker', () => {
	describe('actions-run-once', () => {
		it('refuses one action id at two services; guards against a check of each service alone', () => {
			assert.equal(
				problems(actionsRunOnce, order('c.1'), order('c.2', {service: 'service-2', body: 'other'})),
				['the action id id-1 ran again'],
			);
		});
		it('refuses one content under two action ids; guards against trusting the product\'s ids', () => {
			assert.equal(
				problems(actionsRunOnce, order('c.1'), order('c.2', {actionId: 'id-2'})),
				['the action content planning order-1 ran again'],
			);
		});
		it('accepts different actions, and one key of two accounts; guards against false alarms', () => {
			assert.equal(problems(
				actionsRunOnce,
				order('c.1'),
				order('c.2', {actionId: 'id-2', body: 'order-2'}),
				order('c.3', {actionId: 'id-3', account: 'warehouse'}),
			), []);
		});
	});

	describe('refusals-are-true', () => {
		it('refuses an action that runs after "not run" was answered; guards against checks that stop at the answer', () => {
			assert.equal(
				problems(refusalsAreTrue, sent('c.1'), refused('c.1', 'claims-unavailable', 'not-run'), order('c.1')),
				['c.1: a request that is said not to have run was executed'],
			);
		});
		it('refuses a completion that generated tokens; guards against checks of services alone', () => {
			assert.equal(problems(
				refusalsAreTrue,
				sent('c.1', {request: 'completion'}),
				engine({
					kind: 'request', path: '/generate', headers: {}, body: '{"requestId":"e7","prompt":"[request c.1] count"}',
				}),
				engine({
					kind: 'generate-end', requestId: 'e7', reason: 'cancelled', outputTokens: 1,
				}),
				refused('c.1', 'no-endpoint', 'not-run'),
			), ['c.1: a request that is said not to have run was executed']);
		});
		it('refuses "unknown" and "ran" without a reason; guards against answers that are never wrong', () => {
			assert.equal(problems(
				refusalsAreTrue,
				sent('c.1'),
				refused('c.1', 'action-in-doubt', 'unknown'),
				sent('c.2', {actionKey: 'order-2'}),
				refused('c.2', 'endpoint-failed', 'unknown'),
				sent('c.3', {actionKey: 'order-3'}),
				refused('c.3', 'action-already-ran', 'ran'),
				sent('c.4', {request: 'lookup', actionKey: undefined}),
				refused('c.4', 'endpoint-failed', 'unknown'),
				fault('kill'),
				refused('c.4', 'no-endpoint', 'unknown'),
				refused('c.4', 'action-in-doubt', 'unknown'),
			), [
				'c.1: the action is in doubt without another call',
				'c.2: the outcome is unknown although nothing failed',
				'c.3: the action is said to have run and did not',
				'c.4: the outcome is unknown although nothing failed',
				'c.4: the code no-endpoint never means "unknown"',
				'c.4: the action is in doubt without another call',
			]);
		});
		it('accepts a refusal followed by another call that runs; guards against false alarms', () => {
			assert.equal(problems(
				refusalsAreTrue,
				sent('c.1'),
				refused('c.1', 'no-endpoint', 'not-run'),
				sent('c.2'),
				fault('pause'),
				order('c.2'),
				refused('c.2', 'endpoint-failed', 'unknown'),
				sent('c.3'),
				refused('c.3', 'action-in-doubt', 'unknown'),
				sent('c.4'),
				refused('c.4', 'action-already-ran', 'ran'),
			), []);
		});
	});

	describe('causes of "unknown"', () => {
		const problemsAt = (...events: ReadonlyArray<readonly [number, HistoryEvent]>): string[] =>
			refusalsAreTrue(plantAt(...events)).map(({problem}) => problem);
		const unknownCall = (request: 'action' | 'completion', ...others: ReadonlyArray<readonly [number, HistoryEvent]>): string[] => problemsAt(
			[0, engine({kind: 'restart'})],
			[0, order('c.0')],
			...others,
			[20_000, sent('c.1', {request})],
			[20_020, refused('c.1', 'endpoint-failed', 'unknown')],
		);
		const unexplained = ['c.1: the outcome is unknown although nothing failed'];

		it('takes a fault of a process that can have had the request, until a heartbeat after its end; guards against faults that explain everything', () => {
			assert.equal(unknownCall('action', [1, fault('kill', 'entry-1')]), []);
			assert.equal(unknownCall('action', [1, fault('kill', 'entry-2')]), unexplained);
			assert.equal(unknownCall('action', [1, fault('stop')], [19_001, fault('restart')]), []);
			assert.equal(unknownCall('action', [1, fault('stop')], [18_999, fault('restart')]), unexplained);
			assert.equal(unknownCall('action', [1, fault('pause')], [2, fault('resume', 'entry-1')]), []);
			assert.equal(unknownCall('action', [1, fault('pause')], [2, fault('resume')]), unexplained);
			assert.equal(unknownCall('action', [1, fault('kill', 'agent-engine-1')]), unexplained);
			assert.equal(unknownCall('completion', [1, fault('kill', 'agent-engine-1')]), []);
			assert.equal(unknownCall('completion', [1, fault('kill')]), unexplained);
		});
		it('takes no fault of the table for a lost answer of an endpoint; guards against a table that explains everything', () => {
			assert.equal(unknownCall('action', [1, fault('platform-faults', '{"tableDown":true}')]), unexplained);
		});

		const doubt = (...others: ReadonlyArray<readonly [number, HistoryEvent]>): string[] => problemsAt(
			[0, sent('c.1')],
			...others,
			[20_000, sent('c.2')],
			[20_010, refused('c.2', 'action-in-doubt', 'unknown')],
		);
		const undue = ['c.2: the action is in doubt without another call'];
		const notRun = refused('c.1', 'overloaded', 'not-run');

		it('takes a call whose claim may be unsettled; guards against an action that stays in doubt for no reason', () => {
			const down = fault('platform-faults', '{"tableDown":true}');
			assert.equal(doubt(), []);
			assert.equal(doubt([10, notRun]), undue);
			assert.equal(doubt([5, down], [10, notRun]), []);
			assert.equal(doubt([10, notRun], [5000, down]), undue);
			assert.equal(doubt([10, notRun], [1500, fault('kill', 'entry-1')]), []);
			assert.equal(doubt([10, notRun], [1500, fault('kill', 'entry-2')]), undue);
			assert.equal(doubt([18_500, notRun]), []);
		});
		it('takes no call that was itself told that the action is in doubt; guards against doubts that explain one another', () => {
			const earlier = 'c.1: the action is in doubt without another call';
			assert.equal(doubt([10, refused('c.1', 'action-in-doubt', 'unknown')]), [earlier, ...undue]);
		});
	});

	describe('engine-orders-rise', () => {
		it('refuses a number that falls or is repeated; guards against an order of a former planner', () => {
			assert.equal(problems(engineOrdersRise, start(2), end(2), start(1), end(1), start(2), end(2)), [
				'engine-1: order 1 came after order 2',
				'engine-1: order 2 came after order 2',
			]);
		});
		it('refuses overlapping orders; guards against two agents of one engine', () => {
			assert.equal(problems(engineOrdersRise, start(1), start(2), end(1), end(2), start(3, true)), [
				'engine-1: order 2 began while order 1 was running',
				'engine-1: order 3 began while order unknown was running',
			]);
		});
		it('refuses an order that the engine refused; guards against reliance on engines that check', () => {
			assert.equal(problems(engineOrdersRise, engine({
				kind: 'order-refused', order: {orderNumber: 1, role: 'decode'}, lastOrder: 1,
			})), ['engine-1: the engine had to refuse order 1']);
		});
		it('accepts rising orders of two engines and one cut short by a crash; guards against false alarms', () => {
			assert.equal(problems(
				engineOrdersRise,
				start(1),
				engine({kind: 'crash', cutOff: 0}),
				start(2),
				engine({
					kind: 'order-start', order: {orderNumber: 1, role: 'prefill'}, overlapping: false, cutOff: 0,
				}, 'engine-2'),
				end(2),
			), []);
		});
	});

	describe('leases-exclude', () => {
		const inCharge = (holder: string, epoch: number, atMs: number): HistoryEvent =>
			note(inChargeNote, {
				duty: 'roles', holder, epoch, atMs,
			});

		it('refuses a holder that acts after the next one has begun; guards against a paused holder', () => {
			assert.equal(
				problems(leasesExclude, inCharge('a', 1, 10), inCharge('b', 2, 20), inCharge('b', 2, 40), inCharge('a', 1, 30)),
				['roles: a and b were in charge together for 10.0 ms'],
			);
		});
		it('refuses an epoch that does not rise; guards against fencing tokens that fence nothing', () => {
			assert.equal(
				problems(leasesExclude, inCharge('a', 1, 10), inCharge('b', 1, 20)),
				['roles: b took over with epoch 1 after a with epoch 1'],
			);
		});
		it('accepts one holder after the other; guards against false alarms', () => {
			assert.equal(problems(leasesExclude, inCharge('a', 1, 10), inCharge('a', 1, 20), inCharge('b', 2, 21), inCharge('a', 3, 30)), []);
		});
	});

	describe('endpoint-orders-once', () => {
		const ordered = (orderId: string, repeated = false): HistoryEvent => platform({
			kind: 'endpoint-order',
			order: {
				orderId, dataCentre: 'dc-1', serves: 'restock', kind: 'add',
			},
			repeated,
		});

		it('refuses one step ordered by two holders, and one order sent twice; guards against a second endpoint', () => {
			assert.equal(problems(endpointOrdersOnce, ordered('1/a/1'), ordered('1/b/2'), ordered('1/a/1', true)), [
				'dc-1 step 1 was ordered again',
				'dc-1 step 1 was ordered again',
			]);
		});
		it('accepts one order for each step; guards against false alarms', () => {
			assert.equal(problems(endpointOrdersOnce, ordered('1/a/1'), ordered('2/b/2')), []);
		});
	});
});
