/**
 * The latest crashes of engines, with the prompt segments that are suspected for each. Reports of one crash by several entries count as one, and so do
 * crashes of several engines that may have a common cause.
 */
import type {SegmentKey} from '../ids.js';

/** Entries report one crash with times that differ by less than this. */
const sameCrashMs = 1500;
/** Crashes of several engines within this time may have a common cause, so they count once unless the later run began after the earlier crash. */
const commonCauseMs = 500;
const maxCrashes = 64;

/** An engine that crashed, with the segments of each run that had just begun there. */
export type SegmentCrash = {
	readonly endpoint: string;
	readonly atMs: number;
	/** When the first of the runs was sent. */
	readonly startedMs: number;
	readonly runs: ReadonlyArray<readonly SegmentKey[]>;
};

/** Crashes with a common cause. */
export type CrashGroup = {
	readonly endpoints: Set<string>;
	readonly atMs: number;
	/** The suspected segments of each run. */
	readonly runs: Map<string, readonly SegmentKey[]>;
};

const isSameCause = (group: CrashGroup, {endpoint, atMs, startedMs}: SegmentCrash): boolean => {
	const distanceMs = Math.abs(atMs - group.atMs);
	return group.endpoints.has(endpoint) ? distanceMs < sameCrashMs : distanceMs < commonCauseMs && startedMs < group.atMs;
};

/** Whether one of these segments was suspected at a crash. */
export const wasAnyPresent = ({runs}: CrashGroup, segments: ReadonlySet<SegmentKey>): boolean =>
	[...runs.values()].some(run => run.some(segment => segments.has(segment)));

export class SegmentCrashes {
	#groups: CrashGroup[] = [];

	/** Adds a crash, whose runs hold the suspected segments only, to those with the same cause. */
	add(crash: SegmentCrash): void {
		const group = this.#groupOf(crash);
		group.endpoints.add(crash.endpoint);
		for (const run of crash.runs) {
			group.runs.set(run.join(' '), run);
		}
	}

	/** Crashes for which a segment is suspected, the earliest first. */
	of(segment: SegmentKey): CrashGroup[] {
		const segments = new Set([segment]);
		return this.#groups
			.filter(group => wasAnyPresent(group, segments))
			.toSorted((a, b) => a.atMs - b.atMs);
	}

	dropBefore(atMs: number): void {
		this.#groups = this.#groups.filter(group => group.atMs > atMs);
	}

	#groupOf(crash: SegmentCrash): CrashGroup {
		const known = this.#groups.find(group => isSameCause(group, crash));
		if (known) {
			return known;
		}

		const group: CrashGroup = {endpoints: new Set(), atMs: crash.atMs, runs: new Map()};
		this.#groups = [...this.#groups, group].slice(-maxCrashes);
		return group;
	}
}
