import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	brandAs,
	chooseByRendezvous,
	SuspectRequests,
	decideRetry,
	countUsageParts,
	RetryBudget,
	TokenBucket,
	UsageMeter,
	type ClientAccountName,
	type FailureKind,
	type Fingerprint,
	type WindowId,
} from '../index.js';

const noLimit = {take: () => true};
const poison = brandAs<Fingerprint>('poison');

describe('rules for requests', () => {
	describe('decideRetry', () => {
		it('retries idempotent requests after any failure, and others only if they certainly did not run', () => {
			const retried = (idempotent: boolean): FailureKind[] => {
				const kinds: FailureKind[] = [
					'refused', 'not-connected', 'connection-lost', 'no-progress', 'engine-crashed', 'service-error', 'invalid-response',
				];
				return kinds.filter(kind => decideRetry(kind, {attempts: 1, idempotent, earlier: []}, noLimit).retry);
			};

			assert.is(retried(true).length, 7);
			assert.equal(retried(false), ['refused', 'not-connected']);
		});

		it('retries a server error once and makes no more than three attempts', () => {
			assert.not(decideRetry('service-error', {attempts: 2, idempotent: true, earlier: ['service-error']}, noLimit).retry);
			assert.ok(decideRetry('refused', {attempts: 2, idempotent: true, earlier: ['refused']}, noLimit).retry);
			assert.not(decideRetry('refused', {attempts: 3, idempotent: true, earlier: []}, noLimit).retry);
		});

		it('limits retries to a tenth of the first attempts', () => {
			const budget = new RetryBudget();
			const takeAll = (): number => {
				let taken = 0;
				while (budget.take()) {
					taken += 1;
				}

				return taken;
			};

			assert.is(takeAll(), 10);
			for (let count = 0; count < 30; count++) {
				budget.countFirstAttempt();
			}

			assert.is(takeAll(), 3);
		});
	});

	describe('SuspectRequests', () => {
		it('counts several reports of one crash once, and quarantines for ten minutes at the second crash', () => {
			const clock = createManualClock();
			const suspects = new SuspectRequests(clock);
			assert.ok(suspects.recordCrash(poison, 'e1'));
			assert.not(suspects.recordCrash(poison, 'e1'));
			suspects.adoptCount(poison, 1);
			assert.is(suspects.classify(poison), 'suspect');
			suspects.recordCrash(poison, 'e2');
			assert.equal([suspects.classify(poison), suspects.retryAfterMs(poison)], ['quarantined', 600_000]);
			clock.advance(600_000);
			assert.is(suspects.classify(poison), 'none');
		});

		it('quarantines a request because of the count of another entry', () => {
			const suspects = new SuspectRequests(createManualClock());
			suspects.adoptCount(poison, 2);
			assert.is(suspects.classify(poison), 'quarantined');
		});
	});

	describe('TokenBucket', () => {
		it('rejects requests beyond a burst of two seconds and returns the time until a retry can succeed', () => {
			const clock = createManualClock();
			const bucket = new TokenBucket(100, clock);
			assert.equal([bucket.takeOrWaitMs(150), bucket.takeOrWaitMs(100)], [0, 500]);
			clock.advance(500);
			assert.is(bucket.takeOrWaitMs(100), 0);
		});

		it('accepts a request that is larger than the burst and delays later ones accordingly', () => {
			const bucket = new TokenBucket(100, createManualClock());
			assert.equal([bucket.takeOrWaitMs(1000), bucket.takeOrWaitMs(1)], [0, 8010]);
		});
	});

	describe('chooseByRendezvous', () => {
		it('changes only the choices that included a member that leaves', () => {
			const members = Array.from({length: 40}, (_, index) => `host-${index}`);
			const chosen = chooseByRendezvous('key', members, 5, id => id);
			const after = chooseByRendezvous('key', members.filter(id => id !== chosen[0]).toReversed(), 5, id => id);
			assert.equal(after.slice(0, 4), chosen.slice(1));
		});
	});

	describe('usage', () => {
		const window = brandAs<WindowId>('w');
		const account = brandAs<ClientAccountName>('haugland');
		const usage = {promptTokens: 3, outputTokens: 2, serviceCalls: 1};

		it('retains usage until it is written, and counts a part once even if it was written several times', () => {
			const meter = new UsageMeter(() => ({entryId: 'e', incarnation: 'i'}));
			meter.record(window, account, usage);
			const [first] = meter.unflushedParts();
			meter.record(window, account, usage);
			meter.markFlushed(first!);
			const [second] = meter.unflushedParts();
			const expected = [{
				clientAccount: 'haugland', promptTokens: 6, outputTokens: 4, serviceCalls: 2,
			}];
			const newest = countUsageParts({}, [{key: 'part', ...second!}], 0, 1);
			assert.equal(newest.added, expected);
			assert.equal(countUsageParts(newest.counted, [{key: 'part', ...first!}], 0, 1).added, []);
			meter.dropFlushed(brandAs<WindowId>('next'));
			assert.is(meter.windowCount, 1);
			meter.markFlushed(second!);
			meter.dropFlushed(brandAs<WindowId>('next'));
			assert.is(meter.windowCount, 0);
		});

		it('adds up the same figures for any order of the parts', () => {
			const figures = [{clientAccount: 'b', ...usage}, {clientAccount: 'a', ...usage}];
			const parts = ['i1', 'i2'].map(key => ({key, sequence: 1, figures}));
			const {added} = countUsageParts({}, parts, 0, 1);
			assert.equal(added, countUsageParts({}, parts.toReversed(), 0, 1).added);
			assert.equal(added.map(figure => figure.promptTokens), [6, 6]);
		});
	});
});
