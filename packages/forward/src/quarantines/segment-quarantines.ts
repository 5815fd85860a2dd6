/**
 * Quarantines prompt segments that crash engines, together with the other entries: each entry sees only its own runs, so entries exchange by gossip which
 * runs had just begun at engines that crashed, which suspected segments have completed a run since, and which segments are quarantined.
 */
import {
	CrashingSegments, type Clock, type EntryPosition, type SegmentCrash, type SegmentKey, type SegmentQuarantine,
} from '@hawthorncleat/core';

/** News is sent again for this time, because datagrams get lost. */
const resendMs = 2000;
/** How often quarantines are repeated for entries that have just started. */
const quarantineIntervalMs = 900;
/** With these limits news fills at most half of a datagram. */
const maxCrashesPerMessage = 2;
const maxRunsPerCrash = 2;
const maxSegmentsPerRun = 4;
const maxCompletedPerMessage = 4;
const maxQuarantinesPerMessage = 4;
const maxCompanionsPerQuarantine = 3;

/** A crash, with the suspected segments of each run that had just begun at the endpoint. */
export type SegmentCrashReport = {
	readonly endpoint: string;
	readonly ageMs: number;
	/** Time from the start of the first run to the crash. */
	readonly startedBeforeMs: number;
	readonly runs: ReadonlyArray<readonly SegmentKey[]>;
};

/** A suspected segment that a completed run has cleared; the age is that of the run's first token. */
export type CompletedSegment = {readonly segment: SegmentKey; readonly ageMs: number};

export type SentQuarantine = {
	readonly segment: SegmentKey;
	readonly companions: readonly SegmentKey[];
	/** Age of the moment after which a completed run ends the quarantine. */
	readonly refutedAgeMs: number;
	readonly remainingMs: number;
};

/** What entries tell each other about segments. */
export type SegmentNews = {
	readonly crashes: readonly SegmentCrashReport[];
	readonly completed: readonly CompletedSegment[];
	readonly quarantines: readonly SentQuarantine[];
};

/** A run that had just begun when its connection broke. */
export type CrashedRun = {readonly segments: readonly SegmentKey[]; readonly startedMs: number};

type SentCrash = SegmentCrash & {readonly untilMs: number};

export type SegmentQuarantinesOptions = {
	readonly clock: Clock;
	/** Position of this entry among the live ones. */
	readonly position: () => EntryPosition;
	readonly onQuarantine: (quarantine: SegmentQuarantine) => void;
	/** Called when the quarantine of another entry or of the store is adopted. */
	readonly onAdoption: (quarantine: SegmentQuarantine) => void;
	/** Called when a run of this entry tries a segment whose quarantine has ended. */
	readonly onTrial: (quarantine: SegmentQuarantine) => void;
	/** Called when a quarantine has ended early: a run with its segment has completed, or its crashes are put down to another segment. */
	readonly onQuarantineEnd: (segment: SegmentKey) => void;
};

export class SegmentQuarantines {
	readonly #options: SegmentQuarantinesOptions;
	readonly #segments: CrashingSegments;
	#sentCrashes: SentCrash[] = [];
	/** Cleared segments to send, with the time until which each is repeated. */
	readonly #sentCompleted = new Map<SegmentKey, number>();
	/** When the quarantines were sent last, by their receivers. */
	readonly #quarantinesSentMs = new Map<string, number>();

	constructor(options: SegmentQuarantinesOptions) {
		this.#options = options;
		this.#segments = new CrashingSegments(options.clock, options.position);
	}

	/** Number of segments in quarantine. */
	get count(): number {
		return this.#segments.quarantines.length;
	}

	/** The quarantines in effect. */
	get quarantines(): readonly SegmentQuarantine[] {
		return this.#segments.quarantines;
	}

	/** Records a request that has arrived, whether it may run or not. */
	recordArrival(segments: readonly SegmentKey[]): void {
		this.#segments.recordArrival(segments);
	}

	/** Records a request that is allowed to run. */
	recordRequest(segments: readonly SegmentKey[]): void {
		this.#segments.recordRequest(segments);
	}

	/** Records that a run with these segments starts. If it tries a segment after its quarantine, returns true and tells the other entries with the next message. */
	recordStart(segments: readonly SegmentKey[]): boolean {
		const quarantines = this.#segments.recordStart(segments);
		for (const quarantine of quarantines) {
			this.#quarantinesSentMs.clear();
			this.#options.onTrial(quarantine);
		}

		return quarantines.length > 0;
	}

	/** Records a crash of an endpoint at which these runs had just begun. */
	recordCrash(endpoint: string, brokenRuns: readonly CrashedRun[], atMs: number): void {
		// The latest first: a deadly run crashes its engine soon after it begins, and messages have room for the first runs only.
		const runs = brokenRuns.filter(({segments}) => segments.length > 0).toSorted((a, b) => b.startedMs - a.startedMs);
		if (runs.length === 0) {
			return;
		}

		const crash = {
			endpoint, atMs, startedMs: Math.min(...runs.map(({startedMs}) => startedMs)), runs: runs.map(({segments}) => this.#segments.suspectedOf(segments, atMs)),
		};
		this.#sentCrashes.push({...crash, untilMs: this.#options.clock.nowMs() + resendMs});
		this.#record(crash);
	}

	/** Records a run that has completed; `beganMs` is the time of its first token. */
	recordCompletedRun(segments: readonly SegmentKey[], beganMs: number): void {
		for (const segment of this.#clear(segments, beganMs)) {
			this.#sentCompleted.set(segment, this.#options.clock.nowMs() + resendMs);
		}
	}

	/** Time until a request with these segments may run; undefined if it may run now. */
	remainingMs(segments: readonly SegmentKey[]): number | undefined {
		return this.#segments.quarantineRemainingMs(segments);
	}

	/** News for other entries: quarantines from time to time for each group of receivers, and otherwise crashes and cleared segments. */
	newsToSend(receivers: string): SegmentNews {
		const nowMs = this.#options.clock.nowMs();
		this.#sentCrashes = this.#sentCrashes.filter(({untilMs}) => nowMs < untilMs);
		for (const [segment, untilMs] of this.#sentCompleted) {
			if (nowMs >= untilMs) {
				this.#sentCompleted.delete(segment);
			}
		}

		const quarantines = this.#quarantinesToSend(receivers, nowMs);
		if (quarantines.length > 0) {
			return {crashes: [], completed: [], quarantines};
		}

		return {
			crashes: this.#sentCrashes.slice(-maxCrashesPerMessage).map(({endpoint, atMs, startedMs, runs}) => ({
				endpoint, ageMs: nowMs - atMs, startedBeforeMs: atMs - startedMs, runs: runs.slice(0, maxRunsPerCrash).map(run => run.slice(-maxSegmentsPerRun)),
			})),
			completed: this.#completedToSend(nowMs),
			quarantines,
		};
	}

	applyPeerNews({crashes, completed, quarantines}: SegmentNews): void {
		const nowMs = this.#options.clock.nowMs();
		for (const {segment, ageMs} of completed) {
			this.#clear([segment], nowMs - ageMs);
		}

		for (const {endpoint, ageMs, startedBeforeMs, runs} of crashes) {
			const atMs = nowMs - ageMs;
			this.#record({
				endpoint, atMs, startedMs: atMs - startedBeforeMs, runs,
			});
		}

		this.adopt(quarantines);
	}

	/** Adopts quarantines of other entries or of the store. */
	adopt(quarantines: readonly SentQuarantine[]): void {
		const nowMs = this.#options.clock.nowMs();
		const earlier = this.#quarantined();
		for (const {segment, companions, refutedAgeMs, remainingMs} of quarantines) {
			const quarantine = {
				segment, companions, refutedAfterMs: nowMs - refutedAgeMs, untilMs: nowMs + remainingMs,
			};
			if (!this.#segments.adoptQuarantine(quarantine)) {
				this.#sentCompleted.set(segment, nowMs + resendMs);
			} else if (!earlier.has(segment) && this.#quarantined().has(segment)) {
				this.#options.onAdoption(quarantine);
			}
		}
	}

	#quarantined(): ReadonlySet<SegmentKey> {
		return new Set(this.#segments.quarantines.map(({segment}) => segment));
	}

	/** Records a completed run. Returns its segments that were suspected. */
	#clear(segments: readonly SegmentKey[], beganMs: number): SegmentKey[] {
		const earlier = this.#quarantined();
		const suspects = this.#segments.recordCompletedRun(segments, beganMs);
		this.#reportEnded(earlier);
		return suspects;
	}

	#record(crash: SegmentCrash): void {
		const earlier = this.#quarantined();
		const begun = this.#segments.recordCrash(crash);
		this.#reportEnded(earlier);
		for (const quarantine of begun) {
			this.#options.onQuarantine(quarantine);
		}
	}

	/** Reports the quarantines that were in effect before a change and have ended with it. */
	#reportEnded(earlier: ReadonlySet<SegmentKey>): void {
		const quarantined = this.#quarantined();
		for (const segment of earlier) {
			if (!quarantined.has(segment)) {
				this.#options.onQuarantineEnd(segment);
			}
		}
	}

	#completedToSend(nowMs: number): CompletedSegment[] {
		return [...this.#sentCompleted.keys()].slice(-maxCompletedPerMessage).flatMap(segment => {
			const completedMs = this.#segments.completedMs(segment);
			return completedMs === undefined ? [] : [{segment, ageMs: nowMs - completedMs}];
		});
	}

	#quarantinesToSend(receivers: string, nowMs: number): SentQuarantine[] {
		if (nowMs - (this.#quarantinesSentMs.get(receivers) ?? Number.NEGATIVE_INFINITY) < quarantineIntervalMs) {
			return [];
		}

		this.#quarantinesSentMs.set(receivers, nowMs);
		return this.#segments.quarantines.slice(-maxQuarantinesPerMessage).map(({segment, companions, refutedAfterMs, untilMs}) => ({
			segment, companions: companions.slice(0, maxCompanionsPerQuarantine), refutedAgeMs: nowMs - refutedAfterMs, remainingMs: untilMs - nowMs,
		}));
	}
}
