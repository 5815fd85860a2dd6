/**
 * The duty of reporting usage. For each usage window, it adds up the counts of all entries, records the sums in the store, and
 * reports them to the platform. A later lease holder repeats exactly the recorded sums, so a window never has two figures.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {MakeId} from '@hawthorncleat/core';
import {transactOnce, type Lease, type Table} from '@hawthorncleat/store';
import type {
	DutyCalls, RowStore, StoreAnswer, UsageCounts,
} from './ports.js';
import {ownerOfUsageRow, usageRange} from './usage-counter.js';

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
	readonly onError: (error: unknown) => void;
};

/** The report that the store has for the newest recorded window. */
type RecordedReport = {readonly window: number; readonly counts: UsageCounts; readonly writeId: string};

/** Entries have written their counts of a window by this time after its end. */
const countsWrittenMs = 2000;
const checkIntervalMs = 300;
/** How many windows before the newest due one are still reported. */
const maxOverdueWindows = 3;

/** The larger count of each account, which is the newer one because counts of a process only grow. */
const mergeCounts = (a: UsageCounts, b: UsageCounts): UsageCounts => Object.fromEntries([...new Set([...Object.keys(a), ...Object.keys(b)])]
	.map(account => [account, Math.max(a[account] ?? 0, b[account] ?? 0)]));

const sumCounts = (allCounts: Iterable<UsageCounts>): UsageCounts => {
	const sums = new Map<string, number>();
	for (const counts of allCounts) {
		for (const [account, count] of Object.entries(counts)) {
			sums.set(account, (sums.get(account) ?? 0) + count);
		}
	}

	return Object.fromEntries([...sums].toSorted(([a], [b]) => a < b ? -1 : 1));
};

class UsageDuty {
	readonly #options: UsageDutyOptions;
	readonly #lease: Lease;
	#lastReportedWindow: number | undefined;
	/** Recorded in the store, but perhaps not accepted by the platform yet. */
	#pendingReport: RecordedReport | undefined;
	#recordedVersion: number | null = null;

	constructor(options: UsageDutyOptions, lease: Lease) {
		this.#options = options;
		this.#lease = lease;
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

		const newestDue = Math.floor((nowMs - countsWrittenMs) / this.#options.windowMs) - 1;
		if (this.#pendingReport) {
			await this.#send(this.#pendingReport, signal);
		} else if (this.#lastReportedWindow === undefined) {
			await this.#resumeRecorded(newestDue, signal);
		}

		while (!signal.aborted && this.#pendingReport === undefined && this.#lastReportedWindow !== undefined && this.#lastReportedWindow < newestDue) {
			const window = Math.max(this.#lastReportedWindow + 1, newestDue - maxOverdueWindows);
			const report = await this.#recordReport(window, signal);
			if (!report || !await this.#send(report, signal)) {
				return;
			}
		}
	}

	/** Sends the recorded report again, because the last holder may not have sent it. */
	async #resumeRecorded(newestDue: number, signal: AbortSignal): Promise<void> {
		const row = await this.#options.table.read(reportRowKey);
		this.#recordedVersion = row?.version ?? null;
		if (row) {
			this.#pendingReport = row.value as RecordedReport;
			await this.#send(this.#pendingReport, signal);
		} else {
			// Nothing has been reported yet: starts with the oldest window that may still be reported.
			this.#lastReportedWindow = newestDue - maxOverdueWindows;
		}
	}

	/** Records the sums of a window in the store while this entry holds the lease, and then deletes the counts. */
	async #recordReport(window: number, signal: AbortSignal): Promise<RecordedReport | undefined> {
		const {rows, table, makeId} = this.#options;
		const answer = await rows.read('usage', usageRange(window), signal);
		const counts = sumCounts(this.#collect(window, answer).values());
		const report: RecordedReport = {window, counts, writeId: makeId()};
		const result = await transactOnce(table, {
			writeId: report.writeId,
			checks: [
				{key: reportRowKey, version: this.#recordedVersion},
				this.#lease.check(),
			],
			puts: [{key: reportRowKey, value: report}],
			deletes: [],
		}, {key: reportRowKey, isOurs: value => (value as RecordedReport | undefined)?.writeId === report.writeId});
		if (result.kind !== 'written') {
			// Another holder may have recorded a report: reads it in the next round and repeats it.
			this.#lastReportedWindow = undefined;
			return undefined;
		}

		this.#recordedVersion = result.version;
		this.#pendingReport = report;
		void rows.write('usage', answer.rows.map(({key}) => ({key, value: undefined}))).catch(this.#options.onError);
		return report;
	}

	/** Counts of a window by process, from the store and from gossip, whichever is newer. */
	#collect(window: number, {rows}: StoreAnswer): Map<string, UsageCounts> {
		const counts = new Map(this.#options.countsByProcess(window));
		for (const {key, value} of rows) {
			const owner = ownerOfUsageRow(key);
			const stored = JSON.parse(value ?? '{}') as UsageCounts;
			counts.set(owner, mergeCounts(stored, counts.get(owner) ?? {}));
		}

		return counts;
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
			this.#lastReportedWindow = window;
			this.#pendingReport = undefined;
		}

		return accepted;
	}
}

/** Reports usage windows until `signal` aborts; the caller aborts it when the lease is lost. */
export const runUsageDuty = async (options: UsageDutyOptions, lease: Lease, signal: AbortSignal): Promise<void> => {
	await new UsageDuty(options, lease).run(signal);
};
