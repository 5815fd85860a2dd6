import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import {brandAs, type Random, type SegmentKey} from '@hawthorncleat/core';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {SegmentQuarantines} from '../segment-quarantines.js';
import {SegmentWorld, type WorldOptions, type WorldResult} from './segment-world.js';

const seeds = Array.from({length: 20}, (_, index) => index + 1);
/** For the longer plays. */
const fewSeeds = seeds.slice(0, 10);
const randomValues = 40_000;
const randomScale = 1_000_000;

/** Repeats its values once they are used up. */
const createRandom = (seed: number): Random => {
	const values = fc.sample(fc.noBias(fc.nat({max: randomScale - 1})), {seed, numRuns: randomValues});
	let index = 0;
	return () => {
		index += 1;
		return values[index % values.length]! / randomScale;
	};
};

/** The users' larger sites: 27 entries, 34 engines; and their smaller ones, with fewer decode engines than requests that crash them in a quarantine's delay. */
const sites: ReadonlyArray<Pick<WorldOptions, 'engines' | 'entries' | 'requestsPerSecond'>> = [
	{entries: 27, engines: 26, requestsPerSecond: 90},
	{entries: 4, engines: 5, requestsPerSecond: 20},
];

const play = (seed: number, site: typeof sites[number], changes: Partial<WorldOptions> = {}): WorldResult => new SegmentWorld({
	random: createRandom(seed), ...site, deadlyFraction: 0.05, deadlyFromMs: 4000, endMs: 30_000, ...changes,
}).play();

/** The users' rule: time from the fifth crash within which all entries must know, and requests that may reach engines after it. */
const contactMs = 3000;
const maxLateRequests = 3;

const assertRule = ({deadlyCrashesMs, deadlySentMs}: WorldResult, what: string): void => {
	const fifthMs = deadlyCrashesMs[4] ?? Number.POSITIVE_INFINITY;
	const late = deadlySentMs.filter(atMs => atMs > fifthMs + contactMs).length;
	assert.ok(late <= maxLateRequests, `${what}: ${late} requests reached engines later than ${contactMs} ms after the fifth crash`);
};

/** A quarantine that began with the crashes after 4 s has ended, and a request has come to an entry in its turn. */
const servedAgainMs = 60_000;

/** A datagram has 1400 bytes; the load of the engines needs the other half. */
const maxNewsBytes = 700;
/** Stricter than the users' rule, which allows half: a wrong quarantine may reject the requests of about one rare segment. */
const maxRejectedFraction = 0.02;

const assertSoundServed = ({soundRejectedMs, soundRequests}: WorldResult, what: string): void => {
	assert.ok(soundRejectedMs.length <= soundRequests * maxRejectedFraction, `${what}: ${soundRejectedMs.length} of ${soundRequests} sound requests were rejected`);
};

describe('quarantine of prompt segments', () => {
	for (const site of sites) {
		describe(`in a fleet of ${site.entries} entries`, () => {
			it('stops requests with a deadly segment and no others, 20 seeds; guards against engines that crash one after the other (BUDGET, LOST)', () => {
				for (const seed of seeds) {
					const result = play(seed, site);
					assertRule(result, `seed ${seed}`);
					assertSoundServed(result, `seed ${seed}`);
				}
			});

			it('does so beside power failures and entries that start again, 20 seeds; guards against other crashes that hide or imitate the segment', () => {
				for (const seed of seeds) {
					const result = play(seed, site, {powerFailuresMs: [3000, 5000, 7000, 15_000], restartsMs: [6000, 12_000, 20_000]});
					assertRule(result, `seed ${seed}`);
					assertSoundServed(result, `seed ${seed}`);
				}
			});

			it('tries a segment once at a time after its quarantine, 10 seeds; guards against several engines that crash whenever a quarantine ends (BUDGET)', () => {
				for (const seed of fewSeeds) {
					assertRule(play(seed, site, {deadlyFraction: 0.08, endMs: 75_000}), `seed ${seed}`);
				}
			});

			it('lets a segment pass again once the engines are repaired, 10 seeds; guards against requests rejected for good', () => {
				for (const seed of fewSeeds) {
					const {soundRejectedMs} = play(seed, site, {deadlyFraction: 0.08, repairedMs: 15_000, endMs: 75_000});
					const lastMs = soundRejectedMs.at(-1) ?? 0;
					assert.ok(lastMs < servedAgainMs, `seed ${seed}: rejected after ${lastMs} ms`);
				}
			});

			it('rejects nothing when engines crash for other reasons only, 20 seeds; guards against quarantines of sound segments', () => {
				for (const seed of seeds) {
					const result = play(seed, site, {deadlyFraction: 0, powerFailuresMs: [3000, 4000, 5000, 6000, 7000, 9000, 12_000, 15_000]});
					assert.is(result.soundRejectedMs.length, 0, `seed ${seed}`);
				}
			});
		});
	}

	it('reaches an entry that has just started; guards against an entry that lets requests pass until it has lost engines itself', () => {
		const clock = createManualClock();
		const create = (): SegmentQuarantines => new SegmentQuarantines({
			clock, position: () => ({index: 0, count: 1}), onQuarantine: () => undefined, onTrial: () => undefined, onAdoption: () => undefined, onQuarantineEnd: () => undefined,
		});
		const [old, started] = [create(), create()];
		const segments = [brandAs<SegmentKey>('models/dead')];
		for (const endpoint of ['i-1', 'i-2', 'i-3']) {
			clock.advance(1000);
			old.recordCrash(endpoint, [{segments, startedMs: clock.nowMs() - 100}], clock.nowMs());
		}

		clock.advance(5000);
		started.applyPeerNews(old.newsToSend('remote'));
		assert.ok(started.remainingMs(segments)! > 0);
	});

	it('tells the others of the runs that began last; guards against engines that crash until the entry with the deadly run alone has learned it', () => {
		const clock = createManualClock(10_000);
		const guard = new SegmentQuarantines({
			clock, position: () => ({index: 0, count: 1}), onQuarantine: () => undefined, onTrial: () => undefined, onAdoption: () => undefined, onQuarantineEnd: () => undefined,
		});
		const runs = [900, 600, 300, 50].map(ageMs => ({segments: [brandAs<SegmentKey>(`models/${ageMs}`)], startedMs: clock.nowMs() - ageMs}));
		guard.recordCrash('i-1', runs, clock.nowMs());
		assert.equal(guard.newsToSend('remote').crashes[0]?.runs[0], ['models/50']);
	});

	it('reports the end of a quarantine whose crashes are put down to another segment; guards against a row in the store that starting entries adopt', () => {
		const clock = createManualClock();
		const ended: string[] = [];
		const guard = new SegmentQuarantines({
			clock,
			position: () => ({index: 0, count: 1}),
			onQuarantine: () => undefined,
			onTrial: () => undefined,
			onAdoption: () => undefined,
			onQuarantineEnd(segment) {
				ended.push(segment);
			},
		});
		const crashes = [['rare'], ['dead', 'rare'], ['dead', 'rare'], ['dead'], ['dead']];
		for (const [index, names] of crashes.entries()) {
			clock.advance(1000);
			guard.recordCrash(`i-${index}`, names.map(name => ({segments: [brandAs<SegmentKey>(name)], startedMs: clock.nowMs() - 100})), clock.nowMs());
		}

		assert.equal(ended, ['rare']);
		assert.is(guard.count, 1);
	});

	it('needs at most half of a datagram; guards against gossip that is split into packets and lost', () => {
		const clock = createManualClock(1_000_000);
		const guard = new SegmentQuarantines({
			clock, position: () => ({index: 0, count: 1}), onQuarantine: () => undefined, onTrial: () => undefined, onAdoption: () => undefined, onQuarantineEnd: () => undefined,
		});
		const createSegments = (run: number): SegmentKey[] => Array.from({length: 5}, (_, index) => brandAs<SegmentKey>(`prompt-hall/${(0xA0_00_00_00 + (run * 16) + index).toString(16)}`));
		for (let crash = 0; crash < 12; crash += 1) {
			clock.advance(600);
			const runs = [0, 1, 2].map(run => ({segments: createSegments(run + (crash % 6)), startedMs: clock.nowMs() - 100}));
			guard.recordCrash(`i-8dfb8398d2${crash}`, runs, clock.nowMs());
			guard.recordCompletedRun(createSegments(30 + crash), clock.nowMs());
			assert.ok(JSON.stringify(guard.newsToSend('remote')).length <= maxNewsBytes);
		}
	});
});
