/**
 * Finds prompt segments that crash the engines that decode with them. Requests with such a segment differ in everything else, and sound requests share
 * their other segments, so segments are suspected one by one: each counts the crashes of engines that had just begun a run with it. A run that completes
 * clears its segments of the crashes before it began. A segment with which runs have completed before is suspected only if the crashed run had no
 * other segments. Segments that were present at the same crashes are quarantined together, until a run that has only some of them completes.
 *
 * After its quarantine a segment is tried by one run at a time in the whole fleet, as each may cost an engine: the entries take turns, and the entry that
 * starts the run quarantines the segment again for everything else until the run has shown whether it crashes its engine.
 */
import type {Clock} from '../clock.js';
import type {SegmentKey} from '../ids.js';
import {LatestTimes, putLatest} from './latest-times.js';
import {
	SegmentCrashes, wasAnyPresent, type CrashGroup, type SegmentCrash,
} from './segment-crashes.js';
import {TrialArrivals, trialWaitMs, type EntryPosition} from './trial-turns.js';

/** A request that merely starts beside the one that crashes the engine is present at one or two crashes by chance. */
const quarantineCrashes = 3;
/** The same for a segment with completed runs. Many requests have it, so a wrong quarantine would stop a route. */
const provenQuarantineCrashes = 5;
/**
 * Almost every run with a deadly segment crashes an engine, so a segment with more requests than this for each crash is present by chance. A few requests may
 * start before the first crash is known.
 */
const maxRequestsPerCrash = 3;
/** Requests of this time count, at least. */
const requestWindowMs = 10_000;
/** More requests than this are certainly too many for the crashes that matter. */
const maxRequestTimes = 64;
/** Crashes that are further apart than this are not put down to one segment. */
const suspicionMs = 60_000;
/** A quarantine ends by itself, because the segment may have been present by chance or the engines repaired. It doubles each time, because a trial may cost an engine. */
const firstQuarantineMs = 20_000;
const maxQuarantineMs = 300_000;
/** A run shows within this time whether it crashes its engine: by then most have waited for the engine, had their prompts read and begun to decode. */
const trialMs = 10_000;
/** For this time after its quarantine a segment is tried by one run at a time, and returns to quarantine at the next crash. */
const probationMs = 600_000;
/** Few runs begin at one engine at the same moment. */
const maxRunsPerCrash = 12;

/** A segment whose requests must not run. */
export type SegmentQuarantine = {
	readonly segment: SegmentKey;
	/** Segments that were suspected at the same crashes. Only requests that have all of them are quarantined. */
	readonly companions: readonly SegmentKey[];
	/** A completed run that began after this time ends the quarantine. */
	readonly refutedAfterMs: number;
	readonly untilMs: number;
};

const hasAll = (segments: readonly SegmentKey[], wanted: readonly SegmentKey[]): boolean => wanted.every(segment => segments.includes(segment));

export class CrashingSegments {
	readonly #clock: Clock;
	readonly #position: () => EntryPosition;
	readonly #crashes = new SegmentCrashes();
	/** When the latest completed run of each segment began, the latest one last. */
	readonly #completedMs = new Map<SegmentKey, number>();
	/** Requests of this entry that were allowed to run. */
	readonly #requests = new LatestTimes<SegmentKey>(maxRequestTimes);
	readonly #quarantines = new Map<SegmentKey, SegmentQuarantine>();
	/** Requests with segments that have been in quarantine, with those that were rejected. */
	readonly #arrivals = new TrialArrivals<SegmentKey>();
	readonly #quarantineCounts = new Map<SegmentKey, number>();

	/** `position`: that of this entry among those of the fleet. */
	constructor(clock: Clock, position: () => EntryPosition) {
		this.#clock = clock;
		this.#position = position;
	}

	/** Quarantines that are in effect. */
	get quarantines(): SegmentQuarantine[] {
		const nowMs = this.#clock.nowMs();
		return [...this.#quarantines.values()].filter(({untilMs}) => nowMs < untilMs);
	}

	/** Records a request that is allowed to run. */
	recordRequest(segments: readonly SegmentKey[]): void {
		for (const segment of segments) {
			this.#requests.record(segment, this.#clock.nowMs());
		}
	}

	/** When the latest completed run of a segment began. */
	completedMs(segment: SegmentKey): number | undefined {
		return this.#completedMs.get(segment);
	}

	/** The segments of a run at a crash with which no run has completed lately; all of them if there is none. */
	suspectedOf(run: readonly SegmentKey[], crashMs: number): readonly SegmentKey[] {
		const unproven = run.filter(segment => !this.#hasCompletedSince(segment, crashMs - suspicionMs));
		return unproven.length > 0 ? unproven : run;
	}

	/** Records a crash. Returns the quarantines that it begins. */
	recordCrash(crash: SegmentCrash): SegmentQuarantine[] {
		this.#dropExpired();
		const runs = crash.runs.slice(0, maxRunsPerCrash).map(run => this.suspectedOf(run, crash.atMs));
		this.#crashes.add({...crash, runs});
		const begun = [...new Set(runs.flat())].flatMap(segment => this.#quarantineIfCounted(segment));
		this.#endExplained();
		return begun.filter(({segment}) => this.#quarantines.has(segment));
	}

	/** Records a run that completed. Returns its segments that were suspected or quarantined. */
	recordCompletedRun(segments: readonly SegmentKey[], beganMs: number): SegmentKey[] {
		const suspects = segments.filter(segment => this.#isSuspect(segment));
		for (const segment of segments) {
			this.#recordCompleted(segment, beganMs);
		}

		for (const segment of suspects) {
			this.#endRefuted(segment);
		}

		return suspects;
	}

	/** Records a request that has arrived, whether it may run or not. */
	recordArrival(segments: readonly SegmentKey[]): void {
		for (const {segment} of this.#quarantinesOf(segments)) {
			this.#arrivals.record(segment, this.#clock.nowMs());
		}
	}

	/** Time until a request with these segments may run; undefined if it may run now. */
	quarantineRemainingMs(segments: readonly SegmentKey[]): number | undefined {
		const waitsMs = this.#quarantinesOf(segments).map(quarantine => this.#waitMs(quarantine));
		const waitMs = Math.max(0, ...waitsMs);
		return waitMs > 0 ? waitMs : undefined;
	}

	/** Records that a run with these segments starts. Returns the quarantines that hold back others while this run tries their segments. */
	recordStart(segments: readonly SegmentKey[]): SegmentQuarantine[] {
		return this.#quarantinesOf(segments).map(quarantine => this.#extend(quarantine, this.#clock.nowMs() + trialMs));
	}

	/**
	 * Adopts the quarantine of another entry, unless many requests here have the segment or another segment explains its crashes. Returns false if completed runs speak against it, so that the other
	 * entry is to be informed: it may have started too late to know of them.
	 */
	adoptQuarantine(quarantine: SegmentQuarantine): boolean {
		const {segment} = quarantine;
		const crashes = this.#countedCrashes(segment);
		const isProvenHere = this.#completedMs.has(segment) && crashes.length < provenQuarantineCrashes;
		if (isProvenHere || this.#hasCompletedSince(segment, quarantine.refutedAfterMs)) {
			return false;
		}

		if (this.#isExplained(segment)) {
			return true;
		}

		const own = this.#quarantines.get(segment);
		if (!own && this.#requests.countSince(segment, this.#clock.nowMs() - requestWindowMs) > Math.max(quarantineCrashes, crashes.length) * maxRequestsPerCrash) {
			return true;
		}

		const adopted = {
			segment,
			companions: quarantine.companions.filter(companion => (own?.companions ?? [companion]).includes(companion) && !this.#hasCompletedSince(companion, quarantine.refutedAfterMs)),
			refutedAfterMs: Math.max(quarantine.refutedAfterMs, own?.refutedAfterMs ?? quarantine.refutedAfterMs),
			untilMs: own?.untilMs ?? quarantine.untilMs,
		};
		this.#extend(adopted, quarantine.untilMs);
		return true;
	}

	/** Quarantines that concern a request with these segments, with those that have ended and whose segments have not been tried since. */
	#quarantinesOf(segments: readonly SegmentKey[]): SegmentQuarantine[] {
		const quarantines: SegmentQuarantine[] = [];
		// Most of the time there are none.
		if (this.#quarantines.size === 0) {
			return quarantines;
		}

		for (const segment of segments) {
			const quarantine = this.#quarantines.get(segment);
			if (quarantine && hasAll(segments, quarantine.companions)) {
				quarantines.push(quarantine);
			}
		}

		return quarantines;
	}

	/** Time until this entry may run a request that a quarantine concerns; 0 if it may run now. */
	#waitMs({segment, untilMs}: SegmentQuarantine): number {
		const nowMs = this.#clock.nowMs();
		return nowMs < untilMs ? untilMs - nowMs : trialWaitMs(nowMs - untilMs, this.#position(), this.#arrivals.perSecond(segment, nowMs));
	}

	/** Keeps a quarantine, until at least the time given. One that begins again after its end counts as another one. */
	#extend(quarantine: SegmentQuarantine, untilMs: number): SegmentQuarantine {
		const {segment} = quarantine;
		const nowMs = this.#clock.nowMs();
		if (this.#quarantines.has(segment) && quarantine.untilMs <= nowMs && nowMs < untilMs) {
			this.#quarantineCounts.set(segment, (this.#quarantineCounts.get(segment) ?? 1) + 1);
		}

		const extended = {...quarantine, untilMs: Math.max(quarantine.untilMs, untilMs)};
		this.#quarantines.set(segment, extended);
		return extended;
	}

	#hasCompletedSince(segment: SegmentKey, sinceMs: number): boolean {
		return (this.#completedMs.get(segment) ?? Number.NEGATIVE_INFINITY) >= sinceMs;
	}

	#isSuspect(segment: SegmentKey): boolean {
		return this.#quarantines.has(segment) || this.#countedCrashes(segment).length > 0;
	}

	#recordCompleted(segment: SegmentKey, beganMs: number): void {
		putLatest(this.#completedMs, segment, Math.max(beganMs, this.#completedMs.get(segment) ?? beganMs));
	}

	#endRefuted(segment: SegmentKey): void {
		const quarantine = this.#quarantines.get(segment);
		const hasTooFewCrashes = this.#countedCrashes(segment).length < provenQuarantineCrashes;
		if (quarantine && (hasTooFewCrashes || this.#hasCompletedSince(segment, quarantine.refutedAfterMs))) {
			this.#quarantines.delete(segment);
			this.#quarantineCounts.delete(segment);
		}

		for (const [key, {companions, ...others}] of this.#quarantines) {
			if (companions.includes(segment)) {
				this.#quarantines.set(key, {...others, companions: companions.filter(companion => companion !== segment)});
			}
		}
	}

	/** Crashes for which the segment is suspected and that no completed run has cleared it of, the earliest first. */
	#countedCrashes(segment: SegmentKey): CrashGroup[] {
		return this.#crashes.of(segment).filter(({atMs}) => !this.#hasCompletedSince(segment, atMs));
	}

	/** Crashes that a segment needs for its quarantine. */
	#neededCrashes(segment: SegmentKey): number {
		return this.#completedMs.has(segment) ? provenQuarantineCrashes : quarantineCrashes;
	}

	#quarantineIfCounted(segment: SegmentKey): SegmentQuarantine[] {
		const nowMs = this.#clock.nowMs();
		const crashes = this.#countedCrashes(segment);
		const own = this.#quarantines.get(segment);
		const needed = this.#neededCrashes(segment);
		if (crashes.length < (own ? 1 : needed) || this.#hasTooManyRequests(segment, crashes)) {
			return [];
		}

		const isInEffect = own !== undefined && nowMs < own.untilMs;
		const count = (this.#quarantineCounts.get(segment) ?? 0) + (isInEffect ? 0 : 1);
		this.#quarantineCounts.set(segment, count);
		const durationMs = Math.min(maxQuarantineMs, firstQuarantineMs * (2 ** (count - 1)));
		const quarantine = {
			segment,
			companions: this.#companionsOf(segment, crashes).filter(companion => !own || own.companions.includes(companion)),
			// With this crash and the earlier ones cleared, too few are left.
			refutedAfterMs: (crashes.at(-needed) ?? crashes[0]!).atMs,
			untilMs: Math.max(nowMs + durationMs, own?.untilMs ?? 0),
		};
		this.#quarantines.set(segment, quarantine);
		const isOwnKept = isInEffect && quarantine.untilMs - own.untilMs < trialMs;
		return isOwnKept ? [] : [quarantine];
	}

	/**
	 * Whether the segment is present at crashes by chance: without those that a quarantined segment with more crashes explains, too few are left for a
	 * quarantine. The segment that crashes engines soon has the most crashes, so others cannot hide it for long.
	 */
	#isExplained(segment: SegmentKey): boolean {
		const crashes = this.#countedCrashes(segment);
		const causes = new Set(this.quarantines.map(other => other.segment).filter(other => this.#countedCrashes(other).length > crashes.length));
		const unexplained = crashes.filter(crash => !wasAnyPresent(crash, causes));
		return unexplained.length < crashes.length && unexplained.length < this.#neededCrashes(segment);
	}

	/** Ends the quarantines of segments that were present at crashes by chance, the ones with the fewest crashes last, as they explain no others. */
	#endExplained(): void {
		const quarantined = this.quarantines
			.map(({segment}) => ({segment, crashes: this.#countedCrashes(segment).length}))
			.toSorted((a, b) => b.crashes - a.crashes);
		for (const {segment} of quarantined) {
			if (this.#isExplained(segment)) {
				this.#quarantines.delete(segment);
				this.#quarantineCounts.delete(segment);
			}
		}
	}

	#hasTooManyRequests(segment: SegmentKey, crashes: readonly CrashGroup[]): boolean {
		const sinceMs = Math.min(crashes[0]!.atMs, this.#clock.nowMs() - requestWindowMs);
		return this.#requests.countSince(segment, sinceMs) > crashes.length * maxRequestsPerCrash;
	}

	/** The other segments that were suspected at all of these crashes, in runs with this one. */
	#companionsOf(segment: SegmentKey, crashes: readonly CrashGroup[]): SegmentKey[] {
		const sets = crashes.map(({runs}) => new Set([...runs.values()].filter(run => run.includes(segment)).flat()));
		const isCompanion = (other: SegmentKey): boolean => other !== segment && sets.every(set => set.has(other)) && this.#countedCrashes(other).length >= crashes.length;
		return [...sets[0] ?? []].filter(other => isCompanion(other));
	}

	#dropExpired(): void {
		const nowMs = this.#clock.nowMs();
		this.#crashes.dropBefore(nowMs - suspicionMs);
		for (const [segment, {untilMs}] of this.#quarantines) {
			if (nowMs >= untilMs + probationMs) {
				this.#quarantines.delete(segment);
				this.#quarantineCounts.delete(segment);
				this.#arrivals.forget(segment);
			}
		}
	}
}
