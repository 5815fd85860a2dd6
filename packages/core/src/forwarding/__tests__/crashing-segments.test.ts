import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {brandAs, CrashingSegments, type SegmentKey} from '../../index.js';

const crashIntervalMs = 1000;
const runMs = 100;

const keys = (...names: string[]): SegmentKey[] => names.map(name => brandAs<SegmentKey>(name));

type World = {
	readonly segments: CrashingSegments;
	readonly clock: ReturnType<typeof createManualClock>;
	/** An engine crashes while these runs have just begun there; the time goes on afterwards. */
	crash(endpoint: string, ...runs: SegmentKey[][]): void;
	complete(...segments: string[]): void;
	isQuarantined(...segments: string[]): boolean;
};

const createWorld = (): World => {
	const clock = createManualClock();
	const segments = new CrashingSegments(clock, () => ({index: 0, count: 1}));
	return {
		segments,
		clock,
		crash(endpoint, ...runs) {
			const nowMs = clock.nowMs();
			segments.recordCrash({
				endpoint, atMs: nowMs, startedMs: nowMs - runMs, runs,
			});
			clock.advance(crashIntervalMs);
		},
		complete(...names) {
			segments.recordCompletedRun(keys(...names), clock.nowMs());
		},
		isQuarantined: (...names) => segments.quarantineRemainingMs(keys(...names)) !== undefined,
	};
};

describe('prompt segments that crash engines', () => {
	describe('suspicion', () => {
		it('falls on the segment with which no run completes; guards against sound requests rejected for a segment that they share', () => {
			const {crash, complete, isQuarantined} = createWorld();
			for (const endpoint of ['i-1', 'i-2', 'i-3']) {
				complete('shared', 'other');
				assert.not(isQuarantined('shared', 'dead'));
				crash(endpoint, keys('shared', 'dead'), keys('shared', 'other'));
			}

			assert.ok(isQuarantined('shared', 'dead'));
			assert.ok(isQuarantined('dead', 'new'));
			assert.not(isQuarantined('shared', 'other'));
		});

		it('counts engines that crash together once; guards against a route stopped by a power failure', () => {
			const {segments, isQuarantined} = createWorld();
			for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6']) {
				segments.recordCrash({
					endpoint, atMs: 100, startedMs: 0, runs: [keys('shared', 'rare')],
				});
			}

			assert.not(isQuarantined('shared', 'rare'));
		});

		it('counts crashes that follow one another at once, if each run began after the crash before; guards against a burst of crashes that counts as one', () => {
			const {segments, isQuarantined} = createWorld();
			for (const [index, endpoint] of ['i-1', 'i-2', 'i-3'].entries()) {
				segments.recordCrash({
					endpoint, atMs: (index * 110) + 100, startedMs: index * 110, runs: [keys('shared', 'dead')],
				});
			}

			assert.ok(isQuarantined('shared', 'dead'));
		});

		it('counts a crash once that several entries report', () => {
			const {segments, isQuarantined} = createWorld();
			for (const atMs of [0, 300, 600]) {
				segments.recordCrash({
					endpoint: 'i-1', atMs, startedMs: atMs - 1, runs: [keys('dead')],
				});
			}

			assert.not(isQuarantined('dead'));
		});

		it('does not grow against segments with which runs complete between the crashes; guards against engines that keep crashing by themselves', () => {
			const {crash, complete, isQuarantined} = createWorld();
			for (let index = 0; index < 20; index += 1) {
				crash(`i-${index}`, keys('shared', 'other'));
				complete('shared', 'other');
			}

			assert.not(isQuarantined('shared', 'other'));
		});

		it('needs more crashes against a segment with which runs have completed before', () => {
			const {crash, clock, complete, isQuarantined} = createWorld();
			complete('shared');
			clock.advance(1);
			for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) {
				crash(endpoint, keys('shared'));
			}

			assert.not(isQuarantined('shared'));
			crash('i-5', keys('shared'));
			assert.ok(isQuarantined('shared'));
		});

		it('does not fall on a segment that many requests have, even if none of them completes; guards against a route stopped by its first segment after a restart of all entries', () => {
			const {segments, crash, isQuarantined} = createWorld();
			for (const endpoint of ['i-1', 'i-2', 'i-3']) {
				for (let request = 0; request < 5; request += 1) {
					segments.recordRequest(keys('shared', `other-${request}`));
				}

				segments.recordRequest(keys('shared', 'dead'));
				crash(endpoint, keys('shared', 'dead'), keys('shared', `other-${endpoint}`));
			}

			assert.not(isQuarantined('shared', 'other-1'));
			assert.ok(isQuarantined('shared', 'dead'));
		});

		it('expires; guards against crashes of different causes that add up over hours', () => {
			const {crash, clock, isQuarantined} = createWorld();
			for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4']) {
				crash(endpoint, keys('dead'));
				clock.advance(40_000);
			}

			assert.not(isQuarantined('dead'));
		});
	});

	describe('segments that were present at the same crashes', () => {
		it('are quarantined together only, until a request with one of them completes; guards against an entry without history that stops a route', () => {
			const {crash, complete, isQuarantined} = createWorld();
			for (const endpoint of ['i-1', 'i-2', 'i-3']) {
				crash(endpoint, keys('shared', 'dead'));
			}

			assert.ok(isQuarantined('shared', 'dead'));
			assert.not(isQuarantined('shared', 'other'));
			complete('shared', 'other');
			assert.ok(isQuarantined('new', 'dead'));
			assert.not(isQuarantined('shared', 'other'));
		});

		it('are told apart by a crash with only one of them', () => {
			const {crash, isQuarantined} = createWorld();
			for (const endpoint of ['i-1', 'i-2', 'i-3']) {
				crash(endpoint, keys('shared', 'dead'));
			}

			assert.not(isQuarantined('new', 'dead'));
			crash('i-4', keys('new', 'dead'));
			assert.ok(isQuarantined('new', 'dead'));
		});
	});

	describe('a quarantine', () => {
		it('ends by itself, and returns at the first crash after that for twice the time; guards against engines lost at one trial after the other', () => {
			const {crash, clock, isQuarantined} = createWorld();
			for (const endpoint of ['i-1', 'i-2', 'i-3']) {
				crash(endpoint, keys('dead'));
			}

			clock.advance(20_000);
			assert.not(isQuarantined('dead'));
			crash('i-4', keys('dead'));
			clock.advance(38_000);
			assert.ok(isQuarantined('dead'));
			clock.advance(2000);
			assert.not(isQuarantined('dead'));
		});

		it('ends with a run that began after the crashes and completed, but not with an earlier one', () => {
			const {segments, crash, clock, complete, isQuarantined} = createWorld();
			for (const endpoint of ['i-1', 'i-2', 'i-3', 'i-4', 'i-5']) {
				crash(endpoint, keys('dead'));
			}

			segments.recordCompletedRun(keys('dead'), -1);
			assert.ok(isQuarantined('dead'));
			clock.advance(1);
			complete('dead');
			assert.not(isQuarantined('dead'));
		});

		describe('of a segment that was present by chance', () => {
			/** A power failure, and two engines that another segment crashes, hit runs with the segment. */
			const quarantineByChance = ({crash}: World): void => {
				crash('i-1', keys('rare'));
				crash('i-2', keys('dead'), keys('rare'));
				crash('i-3', keys('dead'), keys('rare'));
			};

			it('ends once a segment with more crashes explains them; guards against sound requests rejected for the whole quarantine', () => {
				const world = createWorld();
				quarantineByChance(world);
				assert.ok(world.isQuarantined('rare'));
				world.crash('i-4', keys('dead'));
				world.crash('i-5', keys('dead'));
				assert.not(world.isQuarantined('rare'));
				assert.ok(world.isQuarantined('dead'));
			});

			it('is not adopted from another entry that lacks the explanation; guards against entries that bring it back again and again', () => {
				const [here, other] = [createWorld(), createWorld()];
				quarantineByChance(other);
				quarantineByChance(here);
				here.crash('i-4', keys('dead'));
				here.crash('i-5', keys('dead'));
				for (const quarantine of other.segments.quarantines) {
					here.segments.adoptQuarantine(quarantine);
				}

				assert.not(here.isQuarantined('rare'));
			});

			it('hides the segment that crashes engines for one crash more at most; guards against engines lost while the wrong segment is quarantined', () => {
				const {crash, isQuarantined} = createWorld();
				crash('i-1', keys('rare'));
				for (const endpoint of ['i-2', 'i-3', 'i-4']) {
					crash(endpoint, keys('dead'), keys('rare'));
				}

				crash('i-5', keys('dead'));
				assert.ok(isQuarantined('dead'));
			});
		});

		it('is adopted from another entry, unless a run has completed since; guards against entries that keep each other from ending it', () => {
			const {segments, clock, complete, isQuarantined} = createWorld();
			clock.advance(10_000);
			const quarantine = {
				segment: keys('dead')[0]!, companions: [], refutedAfterMs: 5000, untilMs: 100_000,
			};
			assert.ok(segments.adoptQuarantine(quarantine));
			assert.ok(isQuarantined('dead'));
			complete('dead');
			assert.not(isQuarantined('dead'));
			assert.not(segments.adoptQuarantine(quarantine));
			assert.not(isQuarantined('dead'));
		});
	});
});
