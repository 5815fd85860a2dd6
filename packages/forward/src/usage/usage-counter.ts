/**
 * Counts the requests that started to run, by usage window and client account. The counts are written to the store and
 * broadcast to the other entries, so that they survive a crash of this process.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {EntryPosition} from '@hawthorncleat/core';
import {isStoreError} from '@hawthorncleat/store';
import type {RowStore, UsageCounts} from '../ports.js';
import {
	isWindowNeeded, isWriterIn, ownWriteDelayMs, relayedRows, roundMs, roundOf,
} from './usage-rounds.js';

export type UsageCounterOptions = {
	readonly rows: RowStore;
	/** Identifies this process among those that count. */
	readonly owner: string;
	readonly windowMs: number;
	readonly nowMs: () => number | undefined;
	/** Number of entries that write counts, including this one. */
	readonly liveEntries: () => number;
	/** Whether the entries hear each other, so that a few write the counts of all. */
	readonly isShared: () => boolean;
	/** Position of this entry among the live ones. */
	readonly position: () => EntryPosition;
	readonly onError: (error: unknown) => void;
};

/** Counts that a killed process has not written are recovered from its last broadcast to the other entries. */
const minFlushIntervalMs = 1400;
/**
 * Interval of the writes of all entries together. The counts are broadcast as well, so those of one interval are lost only if all
 * entries are lost.
 */
const flushIntervalPerEntryMs = 150;
/** A round is noticed soon after its begin, so that writes of different rounds do not come together. */
const checksPerRound = 5;

/** A write without an answer may take effect this much later, and would then replace newer counts. */
const lateWriteMs = 5000;

/** The store returns from a copy that is some seconds old. Counts of windows that ended longer ago than this were written before it. */
const lostWritesMs = 20_000;

/** Key of the row in which one process counts a window. Windows sort by number. */
export const usageRowKey = (window: number, owner: string): string => `${String(window).padStart(12, '0')}/${owner}`;

/** The process that wrote a row. */
export const ownerOfUsageRow = (key: string): string => key.slice(key.indexOf('/') + 1);

/** Key range of the rows of one window. */
export const usageRange = (window: number): {readonly from: string; readonly to: string} =>
	({from: usageRowKey(window, ''), to: usageRowKey(window + 1, '')});

/** Counts that a process broadcasts to the other entries. */
export type UsageNotice = {readonly owner: string; readonly windows: ReadonlyArray<readonly [window: number, counts: UsageCounts]>};

/** Older windows are too late to be reported. */
const maxWindowsPerNotice = 3;
/** A window is reported long before this many later windows have passed, so older counts are dropped. */
const retainedWindows = 20;

const dropOldWindows = (windows: Map<number, unknown>): void => {
	const newest = Math.max(...windows.keys());
	for (const window of windows.keys()) {
		if (window < newest - retainedWindows) {
			windows.delete(window);
		}
	}
};

export class UsageCounter {
	readonly #options: UsageCounterOptions;
	readonly #windows = new Map<number, Map<string, number>>();
	/** Windows with counts that are not in the store yet. */
	readonly #unwrittenWindows = new Set<number>();
	/** Until this time an earlier write may still take effect. */
	#lateWriteUntilMs = Number.NEGATIVE_INFINITY;
	#running: Promise<void> = Promise.resolve();
	/** The last round in which this process wrote the counts of all. */
	#lastRound = Number.NEGATIVE_INFINITY;
	/** When this entry last wrote because a window had ended. */
	#endedWindowMs = Number.NEGATIVE_INFINITY;
	/** Counts received from other processes, by window and process. */
	readonly #peerCounts = new Map<number, Map<string, UsageCounts>>();

	constructor(options: UsageCounterOptions) {
		this.#options = options;
	}

	/** Counts a request in the current window. Nothing is counted before the corrected clock is set. */
	count(account: string): void {
		const nowMs = this.#options.nowMs();
		if (nowMs === undefined) {
			return;
		}

		const window = Math.floor(nowMs / this.#options.windowMs);
		const counts = this.#windows.get(window) ?? new Map<string, number>();
		counts.set(account, (counts.get(account) ?? 0) + 1);
		this.#windows.set(window, counts);
		this.#unwrittenWindows.add(window);
	}

	/** Writes and broadcasts the counts of the last windows again, because the store has lost acknowledged writes. */
	recordStoreReturn(): void {
		const sinceMs = (this.#options.nowMs() ?? 0) - lostWritesMs;
		for (const window of this.#windows.keys()) {
			if ((window + 1) * this.#options.windowMs > sinceMs) {
				this.#unwrittenWindows.add(window);
			}
		}
	}

	/** This process's counts of a window. */
	countsOf(window: number): UsageCounts {
		return Object.fromEntries(this.#windows.get(window) ?? []);
	}

	/** Counts that are not in the store yet, to broadcast to entries that may still reach the store when this one does not. */
	unwrittenCounts(): UsageNotice {
		const {owner, isShared} = this.#options;
		// Among entries that write for each other, each writes its own counts so late that older windows would only fill the messages.
		const windows = [...this.#unwrittenWindows].filter(window => !isShared() || this.#isNeeded(window));
		return {owner, windows: windows.toSorted((a, b) => a - b).slice(-maxWindowsPerNotice).map(window => [window, this.countsOf(window)] as const)};
	}

	/** Takes over counts that another process has broadcast. */
	applyNotice({owner, windows}: UsageNotice): void {
		for (const [window, counts] of windows) {
			const byProcess = this.#peerCounts.get(window) ?? new Map<string, UsageCounts>();
			byProcess.set(owner, counts);
			this.#peerCounts.set(window, byProcess);
		}

		dropOldWindows(this.#peerCounts);
	}

	/** Counts of a window by process, from broadcasts and this process, without the store. */
	countsByProcess(window: number): ReadonlyMap<string, UsageCounts> {
		return new Map([...this.#peerCounts.get(window) ?? [], [this.#options.owner, this.countsOf(window)]]);
	}

	/** Writes the counts from time to time until `signal` aborts; a write that is running then goes on. */
	async run(signal: AbortSignal): Promise<void> {
		const aborted = new Promise<void>(resolve => {
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
		while (!signal.aborted) {
			const {liveEntries, isShared} = this.#options;
			const wasShared = isShared();
			const pauseMs = wasShared ? roundMs / checksPerRound : Math.max(minFlushIntervalMs, liveEntries() * flushIntervalPerEntryMs);
			await sleep(pauseMs, undefined, {signal}).catch(() => undefined);
			// An entry that has just lost its peers writes its own counts at once.
			if (!signal.aborted && (!wasShared || !isShared() || this.#takeTurn() || this.#takeEndedWindow())) {
				await Promise.race([this.flush(), aborted]);
			}
		}
	}

	/**
	 * Writes the remaining counts before the process ends. A running write comes first, because it could otherwise take effect last with
	 * older counts. Both are given up after the limit, so that a store without answers does not hold up the end of the process.
	 */
	async finish(limitMs: number): Promise<void> {
		const giveUp = new AbortController();
		const finished = (async () => {
			await this.#running;
			await this.flush();
			return true;
		})();
		const isFinished = await Promise.race([finished, sleep(limitMs, false, {signal: giveUp.signal}).catch(() => false)]);
		giveUp.abort();
		if (!isFinished) {
			this.#options.onError(new Error(`the last usage counts were not written within ${Math.round(limitMs)} ms`));
		}
	}

	/** Writes the counts that are not in the store yet. They stay unwritten until the store has confirmed them. */
	async flush(): Promise<void> {
		this.#running = this.#write();
		await this.#running;
	}

	/** Whether it is this entry's turn to write the counts of all, once in each of its rounds. */
	#takeTurn(): boolean {
		const {nowMs, position} = this.#options;
		const round = roundOf(nowMs() ?? 0);
		if (round === this.#lastRound || !isWriterIn(round, position())) {
			return false;
		}

		this.#lastRound = round;
		return true;
	}

	/** Whether a window that has ended has own counts that are not in the store, at most once a round. Its report must not depend on what peers have heard. */
	#takeEndedWindow(): boolean {
		const {nowMs, windowMs, position} = this.#options;
		const now = nowMs() ?? 0;
		const isDue = now - this.#endedWindowMs >= roundMs && [...this.#unwrittenWindows].some(window => now >= ((window + 1) * windowMs) + ownWriteDelayMs(position()));
		this.#endedWindowMs = isDue ? now : this.#endedWindowMs;
		return isDue;
	}

	#isNeeded(window: number): boolean {
		return isWindowNeeded(window, this.#options.windowMs, this.#options.nowMs() ?? 0);
	}

	/** Rows with the counts of the other processes, for windows that may still be reported. */
	#relayedRows(): Array<{readonly key: string; readonly value: string}> {
		return [...this.#peerCounts]
			.filter(([window]) => this.#isNeeded(window))
			.flatMap(([window, counts]) => relayedRows(this.#options.owner, counts, owner => usageRowKey(window, owner)));
	}

	async #write(): Promise<void> {
		const written = [...this.#unwrittenWindows].map(window => ({window, value: this.#rowValueOf(window)}));
		const relayed = this.#options.isShared() ? this.#relayedRows() : [];
		if (written.length + relayed.length === 0) {
			return;
		}

		const sentMs = this.#options.nowMs() ?? 0;
		const rows = written.map(({window, value}) => ({key: usageRowKey(window, this.#options.owner), value}));
		try {
			await this.#options.rows.write('usage', [...rows, ...relayed]);
		} catch (error) {
			this.#handleWriteError(error);
			return;
		}

		if (sentMs >= this.#lateWriteUntilMs) {
			this.#recordWritten(written);
			dropOldWindows(this.#windows);
		}
	}

	#handleWriteError(error: unknown): void {
		this.#options.onError(error);
		if (!isStoreError(error) || error.outcome === 'unknown') {
			this.#lateWriteUntilMs = (this.#options.nowMs() ?? 0) + lateWriteMs;
		}
	}

	#recordWritten(written: ReadonlyArray<{readonly window: number; readonly value: string}>): void {
		for (const {window, value} of written) {
			// A request may have been counted during the write.
			if (this.#rowValueOf(window) === value) {
				this.#unwrittenWindows.delete(window);
			}
		}
	}

	#rowValueOf(window: number): string {
		return JSON.stringify(this.countsOf(window));
	}
}
