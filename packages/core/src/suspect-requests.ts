/**
 * Tracks which requests were running on an engine when it crashed. A request that was running at several crashes is
 * quarantined, so that a request that crashes every engine costs no more than two of them by default.
 */
import type {Clock} from './clock.js';
import type {Fingerprint} from './ids.js';

const defaultRetentionMs = 600_000;
/** Reports of the same crash arrive over several paths within this time and count once. */
const sameCrashWindowMs = 5000;
/** An endpoint that has crashed is not back within this time, so a run that began later was in a process that has started since then. */
const minRestartMs = 500;
const defaultQuarantineCrashes = 2;

/** Whether a request is suspected of crashing engines. A quarantined request must not run. */
export type SuspectStatus = 'none' | 'suspect' | 'quarantined';

type CrashReport = {readonly source: string; readonly atMs: number};

/** When an endpoint crashed, and when the request had begun to run there. */
export type CrashTimes = {
	/** Now by default. */
	readonly atMs?: number;
	/** Unknown by default, as for a crash that another entry reports. */
	readonly runStartedMs?: number;
};

export type SuspectRequestsOptions = {
	/** Number of crashes after which a request is quarantined. */
	readonly quarantineCrashes?: number;
	/** How long a crash report counts. */
	readonly retentionMs?: number;
	/** Crashes of different sources within this time are taken to have a common cause and count once. */
	readonly sameCauseWindowMs?: number;
};

/** Crash reports by request fingerprint. A report counts for ten minutes by default. */
export class SuspectRequests {
	readonly #clock: Clock;
	readonly #quarantineCrashes: number;
	readonly #retentionMs: number;
	readonly #sameCauseWindowMs: number;
	readonly #crashReports = new Map<Fingerprint, CrashReport[]>();

	constructor(clock: Clock, {
		quarantineCrashes = defaultQuarantineCrashes, retentionMs = defaultRetentionMs, sameCauseWindowMs = 0,
	}: SuspectRequestsOptions = {}) {
		this.#clock = clock;
		this.#quarantineCrashes = quarantineCrashes;
		this.#retentionMs = retentionMs;
		this.#sameCauseWindowMs = sameCauseWindowMs;
	}

	/** Number of fingerprints with a crash report. */
	get size(): number {
		return this.#crashReports.size;
	}

	/**
	 * Records a crash at `source` while the request was running. Returns false if this crash is already recorded or has the cause of an earlier one. A
	 * run that began after an earlier crash shows a cause of its own.
	 */
	recordCrash(fingerprint: Fingerprint, source: string, {atMs = this.#clock.nowMs(), runStartedMs = Number.NEGATIVE_INFINITY}: CrashTimes = {}): boolean {
		this.#dropExpired();
		const reports = this.#crashReports.get(fingerprint) ?? [];
		const isSameCrash = (earlier: CrashReport): boolean => {
			const distanceMs = Math.abs(atMs - earlier.atMs);
			return earlier.source === source
				? distanceMs < sameCrashWindowMs && runStartedMs < earlier.atMs + minRestartMs
				: distanceMs < this.#sameCauseWindowMs && runStartedMs < earlier.atMs;
		};

		if (reports.some(report => isSameCrash(report))) {
			return false;
		}

		this.#crashReports.set(fingerprint, [...reports, {source, atMs}]);
		return true;
	}

	/** Raises the count to that of another entry. The counts are not added, because both may include the same crash. */
	adoptCount(fingerprint: Fingerprint, count: number): void {
		this.#dropExpired();
		const reports = [...this.#crashReports.get(fingerprint) ?? []];
		while (reports.length < Math.min(count, this.#quarantineCrashes)) {
			reports.push({source: '', atMs: this.#clock.nowMs()});
		}

		this.#crashReports.set(fingerprint, reports);
	}

	/** Removes the crash reports of a request, after it has run without a crash. */
	clear(fingerprint: Fingerprint): void {
		this.#crashReports.delete(fingerprint);
	}

	countCrashes(fingerprint: Fingerprint): number {
		const oldestMs = this.#clock.nowMs() - this.#retentionMs;
		return (this.#crashReports.get(fingerprint) ?? []).filter(report => report.atMs > oldestMs).length;
	}

	classify(fingerprint: Fingerprint): SuspectStatus {
		const count = this.countCrashes(fingerprint);
		if (count === 0) {
			return 'none';
		}

		return count < this.#quarantineCrashes ? 'suspect' : 'quarantined';
	}

	/** Returns the time until the request is no longer quarantined. */
	retryAfterMs(fingerprint: Fingerprint): number {
		const [oldest] = (this.#crashReports.get(fingerprint) ?? []).slice(-this.#quarantineCrashes);
		return oldest ? Math.max(0, oldest.atMs + this.#retentionMs - this.#clock.nowMs()) : 0;
	}

	#dropExpired(): void {
		for (const [fingerprint] of this.#crashReports) {
			if (this.countCrashes(fingerprint) === 0) {
				this.#crashReports.delete(fingerprint);
			}
		}
	}
}
