import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {balanceRoles, type RoleBalance, type RoleBalanceState} from '../balance-roles.js';
import {OutlierEjection} from '../outlier-ejection.js';
import {PrefillLatencyModel, type PrefillSize} from '../prefill-latency-model.js';
import {SegmentCache} from '../segment-cache.js';
import {PrefillBacklog} from '../prefill-backlog.js';
import {RetryWindow} from '../retry-window.js';
import {TokenWindow} from '../token-window.js';

describe('prefill backlog of an engine', () => {
	it('shrinks with time, the most urgent work first', () => {
		const backlog = new PrefillBacklog(0);
		backlog.add('e2', {level: 0, ms: 100}, 0);
		backlog.add('e2', {level: 5, ms: 200}, 0);
		assert.is(backlog.waitMs(0, 50), 50);
		assert.is(backlog.waitMs(9, 150), 150);
		assert.is(backlog.waitMs(9, 1000), 0);
	});

	it('drops all work that must have completed before a completed prefill; guards against a backlog that grows because the latency is overestimated', () => {
		const backlog = new PrefillBacklog(0);
		backlog.add('e2', {level: 1, ms: 500}, 0);
		const tracked = backlog.track(2, 500, 0);
		backlog.add('e2', {level: 2, ms: 70}, 0);
		backlog.complete(tracked, 100);
		assert.is(backlog.waitMs(9, 100), 70);
	});

	it('keeps an uncompleted prefill of this entry and all behind it; guards against short prompts sent to an engine that is busier than anyone has told', () => {
		const backlog = new PrefillBacklog(0);
		const first = backlog.track(2, 100, 0);
		backlog.track(2, 300, 0);
		assert.is(backlog.waitMs(2, 5000), 25 + 300);
		backlog.complete(first, 5000);
		assert.is(backlog.waitMs(2, 5000), 300);
		assert.is(backlog.waitMs(2, 5100), 200);
	});

	it('counts the prompt that the engine has begun as ahead of a more urgent one; guards against short prompts queued behind a long one', () => {
		const backlog = new PrefillBacklog(0);
		backlog.track(5, 600, 0);
		backlog.track(5, 600, 0);
		assert.is(backlog.waitMs(0, 100), 500);
	});

	it('follows what the other entries report; guards against work that stays counted after its prefill has ended or its entry was lost', () => {
		const backlog = new PrefillBacklog(0);
		backlog.setPending('e2', [{level: 1, ms: 400}], 0);
		backlog.setPending('e3', [{level: 1, ms: 100}, {level: 4, ms: 50}], 0);
		assert.is(backlog.waitMs(1, 0), 500);
		backlog.setPending('e2', [{level: 1, ms: 10}], 0);
		assert.is(backlog.waitMs(9, 0), 160);
		backlog.setPending('e2', [], 0);
		backlog.setPending('e3', [], 0);
		assert.is(backlog.waitMs(9, 0), 0);
	});

	it('keeps the work of others when a prefill fails; guards against an engine that seems idle after one caller has left', () => {
		const backlog = new PrefillBacklog(0);
		backlog.setPending('e2', [{level: 1, ms: 400}], 0);
		backlog.remove(backlog.track(2, 100, 0), 10);
		assert.is(backlog.waitMs(9, 10), 390);
	});
});

describe('prefill latency of an engine', () => {
	const size: PrefillSize = {uncachedTokens: 5000, cachedTokens: 0};

	it('follows prefills that take longer than expected', () => {
		const model = new PrefillLatencyModel('prefill');
		const before = model.msPerToken;
		const beforeMs = model.prefillMs(size);
		for (let round = 0; round < 30; round += 1) {
			const ownMs = model.prefillMs(size);
			model.observe({
				expectedMs: ownMs, ownMs, tookMs: (2 * beforeMs) + model.firstTokenDelayMs, size,
			});
		}

		assert.ok(Math.abs(model.msPerToken - (2 * before)) < before * 0.2);
	});

	it('hardly changes when a third of the prefills have unexplained delays; guards against an estimate that rises under load until every request is rejected', () => {
		const model = new PrefillLatencyModel('prefill');
		const before = model.msPerToken;
		const ownMs = model.prefillMs(size);
		for (let round = 0; round < 300; round += 1) {
			const expectedMs = model.prefillMs(size);
			model.observe({
				expectedMs, ownMs: expectedMs, tookMs: model.firstTokenDelayMs + (round % 3 === 0 ? ownMs * 8 : ownMs * (0.95 + ((round % 5) * 0.02))), size,
			});
		}

		assert.ok(Math.abs(model.msPerToken - before) < before * 0.2, `${model.msPerToken / before}`);
	});

	it('ignores a prefill with much work ahead of it; guards against a planner that adds prefill engines because prompts were overtaken', () => {
		const model = new PrefillLatencyModel('prefill');
		const before = model.msPerToken;
		model.observe({
			expectedMs: 1000, ownMs: 100, tookMs: 9000, size,
		});
		assert.is(model.msPerToken, before);
	});

	it('tells the time per token from that of attention, which grows with the square of the prompt; guards against long prompts expected too early', () => {
		const model = new PrefillLatencyModel('prefill');
		const trueMs = ({uncachedTokens, cachedTokens}: PrefillSize): number => (uncachedTokens * 0.011) + (uncachedTokens * (cachedTokens + (uncachedTokens / 2)) * 0.7e-6);
		const sizes = [2000, 4000, 12_000, 40_000].map(uncachedTokens => ({uncachedTokens, cachedTokens: 3000}));
		for (let round = 0; round < 800; round += 1) {
			const observed = sizes[round % sizes.length]!;
			const expectedMs = model.prefillMs(observed);
			model.observe({
				expectedMs, ownMs: expectedMs, tookMs: trueMs(observed) + model.firstTokenDelayMs, size: observed,
			});
		}

		for (const observed of sizes) {
			const ratio = model.prefillMs(observed) / trueMs(observed);
			assert.ok(ratio > 0.85 && ratio < 1.15, `${observed.uncachedTokens} tokens: ${ratio}`);
		}
	});

	it('starts with what other engines of the role have shown; guards against a new engine that nobody selects because its delay is unknown', () => {
		const known = new PrefillLatencyModel('prefill');
		for (let round = 0; round < 200; round += 1) {
			known.observe({
				expectedMs: 10, ownMs: 10, tookMs: 14, size: {uncachedTokens: 600, cachedTokens: 0},
			});
		}

		assert.ok(known.firstTokenDelayMs < 8);
		assert.is(new PrefillLatencyModel('prefill', [known, new PrefillLatencyModel('prefill')]).firstTokenDelayMs, known.firstTokenDelayMs);
	});
});

describe('segments in a cache', () => {
	it('count only with all segments before them, and the least recently used are evicted', () => {
		const cache = new SegmentCache(100);
		const [a, b, c] = [{id: 'a', tokens: 40}, {id: 'b', tokens: 40}, {id: 'c', tokens: 40}];
		cache.add([a, b]);
		assert.is(cache.cachedTokens([a, b]), 80);
		assert.is(cache.cachedTokens([c, b]), 0);
		cache.add([c]);
		assert.is(cache.cachedTokens([a]), 0);
		assert.is(cache.cachedTokens([b]), 40);
	});
});

/** Reserves every retry that the window still allows. */
const reserveAll = (window: RetryWindow): number => {
	let taken = 0;
	while (window.reserve(1)) {
		taken += 1;
	}

	return taken;
};

describe('retry window', () => {
	const create = (clock: {nowMs(): number}, entries = 4): RetryWindow =>
		new RetryWindow(clock, {
			windowMs: 10_000, limits: () => ({ratio: 0.2, allowance: 40}), entries: () => entries,
		});

	it('keeps the sum over all entries within the limit of the fleet', () => {
		const clock = createManualClock(100_000);
		const windows = Array.from({length: 4}, () => create(clock));
		let taken = 0;
		for (const window of windows) {
			for (let request = 0; request < 100; request += 1) {
				window.recordFirstCall();
			}

			while (window.reserve(1)) {
				taken += 1;
			}
		}

		assert.ok(taken <= (400 * 0.2) + 40 && taken > 40, `${taken} retries`);
	});

	it('keeps the fleet within the limit when all entries are killed and restarted; guards against the full allowance used twice in one window', () => {
		const clock = createManualClock(100_000);
		const before = Array.from({length: 4}, () => create(clock));
		clock.advance(30_000);
		const takenBefore = before.reduce((sum, window) => sum + reserveAll(window), 0);
		clock.advance(2000);
		const takenAfter = Array.from({length: 4}, () => create(clock)).reduce((sum, window) => sum + reserveAll(window), 0);
		assert.ok(takenBefore + takenAfter <= 40, `${takenBefore} and ${takenAfter} retries`);
		assert.ok(takenAfter > 0, 'no retry after the start');
	});

	it('allows retries again when earlier ones leave the window', () => {
		const clock = createManualClock(100_000);
		const window = create(clock, 1);
		while (window.reserve(1)) {/* Uses up the allowance. */}
		clock.advance(9000);
		assert.not(window.reserve(1));
		clock.advance(1600);
		assert.ok(window.reserve(1));
	});
});

describe('a change of the retry limits', () => {
	it('keeps the counts of the window; guards against a full allowance after each reload of the settings', () => {
		const clock = createManualClock(100_000);
		let allowance = 40;
		const window = new RetryWindow(clock, {windowMs: 10_000, limits: () => ({ratio: 0.2, allowance}), entries: () => 1});
		clock.advance(20_000);
		const before = reserveAll(window);
		assert.is(reserveAll(window), 0);
		allowance = 50;
		const afterwards = reserveAll(window);
		assert.ok(before + afterwards <= 50, `${before} and ${afterwards} retries`);
		assert.ok(afterwards > 0);
	});
});

describe('ejection of an endpoint', () => {
	it('lasts longer with each failure in a row and ends with one success', () => {
		const ejection = new OutlierEjection();
		ejection.recordFailure(0);
		assert.ok(ejection.isEjected(300));
		assert.not(ejection.isEjected(500));
		ejection.recordFailure(500);
		assert.ok(ejection.isEjected(1200));
		ejection.recordSuccess();
		assert.not(ejection.isEjected(1200));
	});

	it('counts simultaneous failures once; guards against a long ejection after one crash under load', () => {
		const ejection = new OutlierEjection();
		for (let failure = 0; failure < 50; failure += 1) {
			ejection.recordFailure(10);
		}

		assert.is(ejection.failures, 1);
	});
});

describe('token rate', () => {
	it('covers only the tokens within the window', () => {
		const window = new TokenWindow();
		window.add({uncachedTokens: 1000, cachedTokens: 500}, 100, {nowMs: 10_000, isRejected: true});
		window.add({uncachedTokens: 3000, cachedTokens: 0}, 300, {nowMs: 10_000});
		assert.equal(window.rate(10_100), {
			requestsPerSecond: 0.5, promptTokensPerSecond: 1000, millionPairsPerSecond: 5.5 / 4, outputTokensPerSecond: 100, promptVariation: 0.25, rejectedFraction: 0.25,
		});
		assert.is(window.rate(20_000).promptTokensPerSecond, 0);
	});
});

describe('balance of roles', () => {
	const calm: RoleBalance = {
		nowMs: 0, prefill: 2, decode: 4, prefillNeeded: 1, decodeNeeded: 1, isIdle: false,
	};

	/** Decides every 400 ms for the given time and returns the changes. */
	const decideFor = (balance: RoleBalance, forMs: number): string[] => {
		let memory: RoleBalanceState = {};
		const changes: string[] = [];
		for (let nowMs = 0; nowMs <= forMs; nowMs += 400) {
			const decision = balanceRoles({...balance, nowMs}, memory);
			memory = decision.state;
			if (decision.change) {
				changes.push(decision.change);
			}
		}

		return changes;
	};

	it('divides idle engines evenly', () => {
		assert.is(balanceRoles({...calm, isIdle: true}, {}).change, 'prefill');
		assert.is(balanceRoles({
			...calm, prefill: 3, decode: 3, isIdle: true,
		}, {}).change, undefined);
	});

	it('changes nothing while both roles have spare capacity', () => {
		assert.equal(decideFor(calm, 20_000), []);
	});

	it('adds a prefill engine for lasting long prompts but not for an imbalance of three seconds', () => {
		const prompts = {...calm, prefillNeeded: 2.6};
		assert.equal(decideFor(prompts, 3000), []);
		assert.equal(decideFor(prompts, 6000), ['prefill']);
	});

	it('adds a decode engine for long answers, even in a fleet so large that one engine makes little difference', () => {
		assert.equal(decideFor({
			...calm, prefill: 20, decode: 20, prefillNeeded: 5, decodeNeeded: 17,
		}, 6000), ['decode']);
	});

	it('divides the remaining engines soon after a loss; guards against seconds with one decode engine and three idle prefill engines', () => {
		let memory: RoleBalanceState = {};
		const decide = (nowMs: number, prefill: number, decode: number): string | undefined => {
			const decision = balanceRoles({
				...calm, nowMs, prefill, decode, prefillNeeded: 2, decodeNeeded: 1.8,
			}, memory);
			memory = decision.state;
			return decision.change;
		};

		assert.is(decide(0, 3, 3), undefined);
		const changes = [400, 800, 1200, 1600].map(nowMs => decide(nowMs, 3, 1)).filter(change => change !== undefined);
		assert.equal(changes, ['decode']);
	});

	it('adds the first decode engine at once', () => {
		assert.is(balanceRoles({...calm, prefill: 3, decode: 0}, {}).change, 'decode');
	});

	it('does not change back and forth when both roles are overloaded', () => {
		assert.equal(decideFor({
			...calm, prefill: 3, decode: 3, prefillNeeded: 6, decodeNeeded: 3.6,
		}, 60_000), []);
	});
});
