/**
 * The duty of reporting usage. For each usage window, it adds up the counts of all entries, records the sums in the store, and
 * reports them to the platform. A later lease holder repeats exactly the recorded sums, so a window never has two figures. After the
 * store has returned from a copy, the recorded report may be older than the last one; docs/decisions/usage-reports.md has the rules.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	brandAs, firstGeneration, generationOfEpoch, type LeaseEpoch, type MakeId, type StoreGeneration,
} from '@hawthorncleat/core';
import {transactWithReadBack, type Lease, type Table} from '@hawthorncleat/store';
import type {
	DutyCalls, RowStore, StoreRow, UsageCounts,
} from '../ports.js';
import {usageRange, usageRowKey} from './usage-counter.js';
import {sumWindow} from './usage-sums.js';

export const usageDutyName = 'usage';
const reportRowKey = 'usage-report';

export type UsageDutyOptions = {
	readonly rows: RowStore;
	readonly table: Table;
	readonly calls: DutyCalls;
	readonly holder: string;
	readonly makeId: MakeId;
	readonly windowMs: number;
	readonly nowMs: () => number | undefined;
	/** Counts of a window by process, received by gossip. */
	readonly countsByProcess: (window: number) => ReadonlyMap<string, UsageCounts>;
	readonly onReport: (report: {readonly window: number; readonly counts: UsageCounts; readonly accepted: boolean; readonly epoch: number}) => void;
	/** Called when windows are left out, because nobody knows whether the last holder has reported them. */
	readonly onSkip: (skipped: {readonly windows: readonly number[]; readonly epoch: number}) => void;
	readonly onError: (error: unknown) => void;
	/** Kept by the process from one tenure to the next. */
	readonly progress: UsageProgress;
};

/** The report that the store has for the newest recorded window. */
type RecordedReport = {
	readonly window: number;
	readonly counts: UsageCounts;
	readonly writeId: string;
	/** Epoch under which the report was recorded. Absent in rows of earlier versions. */
	readonly epoch?: LeaseEpoch;
	/** Set if the window is not to be reported any more: it is reported or skipped. The row then has no figures. */
	readonly isSettled?: boolean;
};

/** What this process knows of the reports. It outlives a tenure, because the store may lose the recorded report. */
export type UsageProgress = {
	/** Epoch of the last tenure of this process that knew the newest recorded report. */
	epoch?: LeaseEpoch;
	/** Windows up to this one are reported or skipped. */
	lastReportedWindow?: number;
	/** Recorded in the store, but perhaps not accepted by the platform yet. */
	pendingReport?: RecordedReport;
};

/** Entries have written their counts of a window by this time after its end. */
const countsWrittenMs = 2000;
const checkIntervalMs = 300;
/** How many windows before the newest due one are still reported. */
const maxOverdueWindows = 3;

/** The times of day of two entries differ by less than this. */
const maxClockDifferenceMs = 1000;

class UsageDuty {
	readonly #options: UsageDutyOptions;
	readonly #lease: Lease;
	readonly #generation: StoreGeneration;
	readonly #progress: UsageProgress;
	/** Whether the recorded report was read, and `progress` follows from it. */
	#isResumed = false;
	#recordedVersion: number | null = null;

	constructor(options: UsageDutyOptions, lease: Lease) {
		this.#options = options;
		this.#lease = lease;
		this.#generation = generationOfEpoch(lease.epoch);
		this.#progress = options.progress;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				await this.#reportDueWindows(signal);
			} catch (error) {
				if (!signal.aborted) {
					this.#options.onError(error);
				}
			}

			await sleep(checkIntervalMs, undefined, {signal}).catch(() => undefined);
		}
	}

	/** Repeats a report that may not have arrived, then reports the windows that are due. */
	async #reportDueWindows(signal: AbortSignal): Promise<void> {
		const nowMs = this.#options.nowMs();
		if (nowMs === undefined) {
			return;
		}

		if (!this.#isResumed && !await this.#resume(nowMs, signal)) {
			return;
		}

		const {pendingReport} = this.#progress;
		if (pendingReport && !await this.#send(pendingReport, signal)) {
			return;
		}

		const newestDue = this.#newestDueAt(nowMs);
		while (!signal.aborted && this.#isResumed && this.#progress.lastReportedWindow! < newestDue) {
			const window = Math.max(this.#progress.lastReportedWindow! + 1, newestDue - maxOverdueWindows);
			const report = await this.#recordReport(window, signal);
			if (!report || !await this.#send(report, signal)) {
				return;
			}
		}
	}

	#newestDueAt(nowMs: number): number {
		return Math.floor((nowMs - countsWrittenMs) / this.#options.windowMs) - 1;
	}

	/** Whether the store has not returned from a copy since this tenure began. */
	#isGenerationCurrent(): boolean {
		return (this.#options.table.generation?.() ?? firstGeneration) === this.#generation;
	}

	/** Finds out up to which window usage is reported. Resolves to false if the tenure has ended. */
	async #resume(nowMs: number, signal: AbortSignal): Promise<boolean> {
		const row = await this.#options.table.read(reportRowKey);
		if (signal.aborted || !this.#isGenerationCurrent()) {
			// The row may be that of a copy, which must not replace what this process knows.
			return false;
		}

		this.#recordedVersion = row?.version ?? null;
		const recorded = row?.value as RecordedReport | undefined;
		this.#adoptRecorded(recorded, nowMs);
		this.#progress.epoch = this.#lease.epoch;
		if (this.#generation !== firstGeneration && !this.#isOfThisGeneration(recorded) && !await this.#recordProgress()) {
			return false;
		}

		this.#isResumed = true;
		if (this.#generation !== firstGeneration) {
			await this.#deleteReportedCounts(signal);
		}

		return true;
	}

	#isOfThisGeneration(recorded: RecordedReport | undefined): recorded is RecordedReport {
		return recorded !== undefined && generationOfEpoch(recorded.epoch ?? brandAs<LeaseEpoch>(1)) === this.#generation;
	}

	/** A report that was recorded in this generation is the newest one; the last holder may not have sent it. */
	#adoptRecorded(recorded: RecordedReport | undefined, nowMs: number): void {
		const progress = this.#progress;
		if (this.#isOfThisGeneration(recorded)) {
			progress.pendingReport = recorded.isSettled ? undefined : recorded;
			progress.lastReportedWindow = recorded.isSettled ? Math.max(recorded.window, progress.lastReportedWindow ?? 0) : progress.lastReportedWindow;
		} else if (this.#generation === firstGeneration) {
			// Nothing has been reported yet: starts with the oldest window that may still be reported.
			progress.lastReportedWindow = this.#newestDueAt(nowMs) - maxOverdueWindows;
			progress.pendingReport = undefined;
		} else if (!this.#knowsNewestReport()) {
			this.#skipDueWindows(recorded, nowMs);
		}
	}

	/** Whether `progress` has the newest report, although the store may have lost it. */
	#knowsNewestReport(): boolean {
		const {epoch} = this.#progress;
		return epoch !== undefined && (epoch === this.#lease.epoch || epoch === this.#lease.continuedEpoch);
	}

	/** Rule `skip` of models/usage-return.pml: another holder may have reported each window that was due before this tenure began, with figures that are lost. */
	#skipDueWindows(recorded: RecordedReport | undefined, nowMs: number): void {
		const newestDue = this.#newestDueAt(nowMs + maxClockDifferenceMs);
		const lastKnown = Math.max(recorded?.window ?? 0, this.#progress.lastReportedWindow ?? 0, newestDue - maxOverdueWindows - 1);
		this.#progress.lastReportedWindow = Math.max(lastKnown, newestDue);
		this.#progress.pendingReport = undefined;
		const windows = Array.from({length: Math.max(0, newestDue - lastKnown)}, (_, index) => lastKnown + 1 + index);
		if (windows.length > 0) {
			this.#options.onSkip({windows, epoch: this.#lease.epoch});
		}
	}

	/**
	 * Records in a new generation up to which window usage is reported or skipped. Without it, the next holder would skip the windows that are due until
	 * this one has recorded a report.
	 */
	async #recordProgress(): Promise<boolean> {
		const {pendingReport, lastReportedWindow} = this.#progress;
		const newest = pendingReport ?? {window: lastReportedWindow!, counts: {}, isSettled: true};
		return this.#write({...newest, writeId: this.#options.makeId(), epoch: this.#lease.epoch});
	}

	/** Deletes counts that a copy has brought back although their windows are reported or skipped. */
	async #deleteReportedCounts(signal: AbortSignal): Promise<void> {
		const {lastReportedWindow, pendingReport} = this.#progress;
		const newest = pendingReport?.window ?? lastReportedWindow!;
		const {rows} = await this.#options.rows.read('usage', {to: usageRowKey(newest + 1, '')}, signal);
		if (rows.length > 0) {
			this.#deleteCounts(rows);
		}
	}

	#deleteCounts(rows: readonly StoreRow[]): void {
		void this.#options.rows.write('usage', rows.map(({key}) => ({key, value: undefined}))).catch(this.#options.onError);
	}

	/** Records the sums of a window in the store while this entry holds the lease, and then deletes the counts. */
	async #recordReport(window: number, signal: AbortSignal): Promise<RecordedReport | undefined> {
		const {rows, makeId, countsByProcess, onError} = this.#options;
		const answer = await rows.read('usage', usageRange(window), signal);
		const counts = sumWindow(countsByProcess(window), answer.rows, key => {
			onError(new Error(`the counts in row ${key} are damaged`));
		});
		const report: RecordedReport = {
			window, counts, writeId: makeId(), epoch: this.#lease.epoch,
		};
		if (!await this.#write(report)) {
			// Another holder may have recorded a report: reads it in the next round and repeats it.
			this.#isResumed = false;
			return undefined;
		}

		this.#progress.pendingReport = report;
		this.#deleteCounts(answer.rows);
		return report;
	}

	/** Writes the recorded report while this entry holds the lease. Resolves to false if it may not be the newest one. */
	async #write(report: RecordedReport): Promise<boolean> {
		const result = await transactWithReadBack(this.#options.table, {
			writeId: report.writeId,
			checks: [
				{key: reportRowKey, version: this.#recordedVersion},
				this.#lease.check(),
			],
			puts: [{key: reportRowKey, value: report}],
			deletes: [],
		}, {key: reportRowKey, isOwnWrite: value => (value as RecordedReport | undefined)?.writeId === report.writeId});
		if (result.kind !== 'written' || !this.#isGenerationCurrent()) {
			return false;
		}

		this.#recordedVersion = result.version;
		return true;
	}

	/** Reports a window; resolves to whether the platform accepted it. */
	async #send({window, counts}: RecordedReport, signal: AbortSignal): Promise<boolean> {
		const {calls, holder, onReport} = this.#options;
		const {epoch} = this.#lease;
		const accepted = await calls.reportUsage({
			window, counts, holder, epoch,
		}, signal);
		onReport({
			window, counts, accepted, epoch,
		});
		if (accepted) {
			this.#progress.lastReportedWindow = window;
			this.#progress.pendingReport = undefined;
		}

		return accepted;
	}
}

/** Reports usage windows until `signal` aborts; the caller aborts it when the lease is lost. */
export const runUsageDuty = async (options: UsageDutyOptions, lease: Lease, signal: AbortSignal): Promise<void> => {
	await new UsageDuty(options, lease).run(signal);
};
