import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {AttemptRace, type AttemptControl} from '../attempt-race.js';
import type {AttemptResult} from '../attempt-result.js';
import type {Placement} from '../placement.js';

const placement = {} as unknown as Placement;
const answered: AttemptResult = {kind: 'answered', status: 200};

/** An attempt that ends when the test says so, or when it is aborted. */
type ManualAttempt = {readonly control: AttemptControl; readonly end: (result: AttemptResult) => void};

const startManual = (race: AttemptRace): ManualAttempt => {
	let control: AttemptControl | undefined;
	let end: ((result: AttemptResult) => void) | undefined;
	race.start(placement, async started => new Promise(resolve => {
		control = started;
		end = resolve;
		started.signal.addEventListener('abort', () => {
			resolve({kind: 'superseded', wasSent: true, mayHaveRun: true});
		});
	}));
	return {control: control!, end: end!};
};

describe('attempts of one request', () => {
	it('are ended by the first that delivers, and cannot deliver afterwards; guards against a stream joined from two runs', async () => {
		const race = new AttemptRace(new AbortController().signal, {isRepeatable: true, maxEndpoints: 2});
		const [first, second] = [startManual(race), startManual(race)];
		assert.ok(second.control.claim());
		assert.ok(first.control.isSuperseded);
		assert.not(first.control.claim());
		assert.not(second.control.isSuperseded, 'a late claim of the ended attempt has no effect');
		const event = await race.next();
		assert.is(event.kind === 'ended' && event.result.kind, 'superseded');
		assert.is(race.running.length, 1);
		await race.close();
	});

	it('go on while one of them is only reported as stalled; guards against an attempt given up before another one may start', async () => {
		const race = new AttemptRace(new AbortController().signal, {isRepeatable: true, maxEndpoints: 2});
		const {control, end} = startManual(race);
		control.reportStall('run');
		const stalled = await race.next();
		assert.is(stalled.kind, 'stalled');
		assert.not(control.signal.aborted);
		end(answered);
		const ended = await race.next();
		assert.is(ended.kind === 'ended' && ended.result, answered);
	});

	it('count as running until their end has been taken; guards against a further attempt while the answer of another one is about to be reported', async () => {
		const race = new AttemptRace(new AbortController().signal, {isRepeatable: true, maxEndpoints: 2});
		const [first, second] = [startManual(race), startManual(race)];
		second.control.claim();
		second.end(answered);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		assert.ok(first.control.isSuperseded);
		const superseded = await race.next();
		assert.is(superseded.kind === 'ended' && superseded.result.kind, 'superseded');
		assert.is(race.running.length, 1);
		const ended = await race.next();
		assert.is(ended.kind === 'ended' && ended.result, answered);
		assert.is(race.running.length, 0);
	});

	it('report no stall after their end; guards against an attempt beside one that has been answered', async () => {
		const race = new AttemptRace(new AbortController().signal, {isRepeatable: true, maxEndpoints: 2});
		const {control, end} = startManual(race);
		control.reportStall('run');
		end(answered);
		await Promise.resolve();
		await race.close();
		const event = await race.next();
		assert.is(event.kind, 'ended');
	});

	it('are all aborted together with their request', async () => {
		const request = new AbortController();
		const race = new AttemptRace(request.signal, {isRepeatable: true, maxEndpoints: 2});
		const attempts = [startManual(race), startManual(race)];
		request.abort(new Error('caller-left'));
		assert.equal(attempts.map(({control}) => (control.signal.reason as Error).message), ['caller-left', 'caller-left']);
		await race.close();
		assert.is(race.running.length, 0);
	});

	it('pass on an unexpected error; guards against a request that waits for ever', async () => {
		const race = new AttemptRace(new AbortController().signal, {isRepeatable: true, maxEndpoints: 2});
		race.start(placement, async () => {
			throw new Error('unexpected');
		});
		try {
			await race.next();
			assert.unreachable();
		} catch (error) {
			assert.is((error as Error).message, 'unexpected');
		}
	});

	describe('that ask whether they may send the request to run', () => {
		const at = (name: string): Placement => ({target: {name}} as unknown as Placement);
		const [first, second, third] = [at('e1'), at('e2'), at('e3')];
		const startAt = (race: AttemptRace, started: Placement): AttemptControl => {
			let control: AttemptControl | undefined;
			race.start(started, async given => new Promise(resolve => {
				control = given;
				given.signal.addEventListener('abort', () => {
					resolve({kind: 'superseded', wasSent: true, mayHaveRun: false});
				});
			}));
			return control!;
		};

		it('get one run of a request that may run only once, also at one endpoint; guards against an action that is carried out twice', () => {
			const race = new AttemptRace(new AbortController().signal, {isRepeatable: false, maxEndpoints: 3});
			const [one, same, other] = [startAt(race, first), startAt(race, first), startAt(race, second)];
			assert.ok(one.startRun());
			assert.not(same.startRun());
			assert.not(other.startRun());
			assert.equal([one.isSuperseded, same.isSuperseded, other.isSuperseded], [false, true, true]);
		});

		it('get no more endpoints than the route allows, and no second run beside one at the same endpoint', () => {
			const race = new AttemptRace(new AbortController().signal, {isRepeatable: true, maxEndpoints: 2});
			race.recordRun(first.target);
			const [again, beside, next, excess] = [startAt(race, first), startAt(race, first), startAt(race, second), startAt(race, third)];
			assert.ok(again.startRun());
			assert.not(beside.startRun());
			assert.ok(next.startRun());
			assert.not(excess.startRun());
		});
	});
});
