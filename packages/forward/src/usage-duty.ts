/**
 * The duty of reporting usage: sums what all entries have counted in a window, fixes the sums in the store, and reports
 * them. A later holder repeats exactly what is fixed there.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {MakeId} from '@hawthorncleat/core';
import {transactWithReadBack, type Lease, type Table} from '@hawthorncleat/store';
import type {
	DutyCalls, RowStore, StoreAnswer, UsageCounts,
} from './ports.js';
import {ownerOfUsageRow, usageRange} from './usage-counter.js';

export const usageDuty = 'usage';
const reportKey = 'usage-report';

export type UsageDutyOptions = {
	readonly rows: RowStore;
	readonly table: Table;
	readonly calls: DutyCalls;
	readonly holder: string;
	readonly makeId: MakeId;
	readonly windowMs: number;
	readonly nowMs: () => number | undefined;
	/** Counts of a window that processes have told without the store. */
	readonly heard: (window: number) => ReadonlyMap<string, UsageCounts>;
	readonly onReport: (report: {readonly window: number; readonly counts: UsageCounts; readonly accepted: boolean; readonly epoch: number}) => void;
	readonly onError: (error: unknown) => void;
};

/** What is fixed for the newest window. */
type FixedReport = {readonly window: number; readonly counts: UsageCounts; readonly writeId: string};

/** Entries have written their counts of a window within this time after its end. */
const settleMs = 2000;
const checkPauseMs = 300;
/** Older windows that a new holder still reports. */
const maxLateWindows = 3;

/** The larger count of each account; a process counts upwards only. */
const mergeCounts = (a: UsageCounts, b: UsageCounts): UsageCounts => Object.fromEntries([...new Set([...Object.keys(a), ...Object.keys(b)])]
	.map(account => [account, Math.max(a[account] ?? 0, b[account] ?? 0)]));

const sumCounts = (parts: Iterable<UsageCounts>): UsageCounts => {
	const sums = new Map<string, number>();
	for (const counts of parts) {
		for (const [account, count] of Object.entries(counts)) {
			sums.set(account, (sums.get(account) ?? 0) + count);
		}
	}

	return Object.fromEntries([...sums].toSorted(([a], [b]) => a < b ? -1 : 1));
};

class UsageDuty {
	readonly #options: UsageDutyOptions;
	readonly #lease: Lease;
	#reported: number | undefined;
	/** Fixed and perhaps not accepted yet. */
	#pending: FixedReport | undefined;
	#fixedVersion: number | null = null;

	constructor(options: UsageDutyOptions, lease: Lease) {
		this.#options = options;
		this.#lease = lease;
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				await this.#reportDue(signal);
			} catch (error) {
				if (!signal.aborted) {
					this.#options.onError(error);
				}
			}

			await sleep(checkPauseMs, undefined, {signal}).catch(() => undefined);
		}
	}

	async #reportDue(signal: AbortSignal): Promise<void> {
		const nowMs = this.#options.nowMs();
		if (nowMs === undefined) {
			return;
		}

		const newestDue = Math.floor((nowMs - settleMs) / this.#options.windowMs) - 1;
		if (this.#pending) {
			await this.#send(this.#pending, signal);
		} else if (this.#reported === undefined) {
			await this.#repeatFixed(newestDue, signal);
		}

		while (!signal.aborted && this.#pending === undefined && this.#reported !== undefined && this.#reported < newestDue) {
			const window = Math.max(this.#reported + 1, newestDue - maxLateWindows);
			const fixed = await this.#fix(window, signal);
			if (!fixed || !await this.#send(fixed, signal)) {
				return;
			}
		}
	}

	/** Sends again what the last holder may not have sent. */
	async #repeatFixed(newestDue: number, signal: AbortSignal): Promise<void> {
		const row = await this.#options.table.read(reportKey);
		this.#fixedVersion = row?.version ?? null;
		if (row) {
			this.#pending = row.value as FixedReport;
			await this.#send(this.#pending, signal);
		} else {
			// Windows before the first holder are reported from their counts.
			this.#reported = newestDue - maxLateWindows;
		}
	}

	async #fix(window: number, signal: AbortSignal): Promise<FixedReport | undefined> {
		const {rows, table, makeId} = this.#options;
		const answer = await rows.read('usage', usageRange(window), signal);
		const counts = sumCounts(this.#collect(window, answer).values());
		const fixed: FixedReport = {window, counts, writeId: makeId()};
		const result = await transactWithReadBack(table, {
			writeId: fixed.writeId,
			checks: [
				{key: reportKey, version: this.#fixedVersion},
				this.#lease.check(),
			],
			puts: [{key: reportKey, value: fixed}],
			deletes: [],
		}, {key: reportKey, isOwnWrite: value => (value as FixedReport | undefined)?.writeId === fixed.writeId});
		if (result.kind !== 'written') {
			// What is fixed now is read again and repeated.
			this.#reported = undefined;
			return undefined;
		}

		this.#fixedVersion = result.version;
		this.#pending = fixed;
		void rows.write('usage', answer.rows.map(({key}) => ({key, value: undefined}))).catch(this.#options.onError);
		return fixed;
	}

	/** Counts of each process: what it wrote into the store, or told more recently. */
	#collect(window: number, {rows}: StoreAnswer): Map<string, UsageCounts> {
		const counts = new Map(this.#options.heard(window));
		for (const {key, value} of rows) {
			const owner = ownerOfUsageRow(key);
			const written = JSON.parse(value ?? '{}') as UsageCounts;
			counts.set(owner, mergeCounts(written, counts.get(owner) ?? {}));
		}

		return counts;
	}

	async #send({window, counts}: FixedReport, signal: AbortSignal): Promise<boolean> {
		const {calls, holder, onReport} = this.#options;
		const {epoch} = this.#lease;
		const accepted = await calls.reportUsage({
			window, counts, holder, epoch,
		}, signal);
		onReport({
			window, counts, accepted, epoch,
		});
		if (accepted) {
			this.#reported = window;
			this.#pending = undefined;
		}

		return accepted;
	}
}

/** Reports windows while the lease is held. */
export const runUsageDuty = async (options: UsageDutyOptions, lease: Lease, signal: AbortSignal): Promise<void> => {
	await new UsageDuty(options, lease).run(signal);
};
