/**
 * Counts the requests that began to run, by window and client account, and writes them to the store until each window is
 * closed, so that they outlive this process.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {RowStore, UsageCounts} from './ports.js';

export type UsageCounterOptions = {
	readonly rows: RowStore;
	readonly owner: string;
	readonly windowMs: number;
	readonly nowMs: () => number | undefined;
	/** Entries that write counts. */
	readonly liveEntries: () => number;
	readonly onError: (error: unknown) => void;
};

/** Counts of a killed process that the store does not have are known from what it told the other entries. */
const minFlushPauseMs = 1400;
/** All entries together write so often; each other entry hears the counts anyway, and only the loss of all of them costs a pause. */
const flushPausePerEntryMs = 150;

/** Key of the row in which one process counts a window. Windows sort by number. */
export const usageRowKey = (window: number, owner: string): string => `${String(window).padStart(12, '0')}/${owner}`;

/** The process that a row belongs to. */
export const ownerOfUsageRow = (key: string): string => key.slice(key.indexOf('/') + 1);

/** Range of the rows of one window. */
export const usageRange = (window: number): {readonly from: string; readonly to: string} =>
	({from: usageRowKey(window, ''), to: usageRowKey(window + 1, '')});

/** Counts that a process tells the others. */
export type UsageNotice = {readonly owner: string; readonly windows: ReadonlyArray<readonly [window: number, counts: UsageCounts]>};

/** Windows in one notice; older ones are too late to be reported. */
const maxToldWindows = 3;
/** A window is reported long before this many later ones have passed. */
const keptWindows = 20;

const dropOldWindows = (windows: Map<number, unknown>): void => {
	const newest = Math.max(...windows.keys());
	for (const window of windows.keys()) {
		if (window < newest - keptWindows) {
			windows.delete(window);
		}
	}
};

export class UsageCounter {
	readonly #options: UsageCounterOptions;
	readonly #windows = new Map<number, Map<string, number>>();
	/** Windows with counts that the store does not have. */
	readonly #changed = new Set<number>();
	/** Counts that other processes have told, by window and process. */
	readonly #heard = new Map<number, Map<string, UsageCounts>>();

	constructor(options: UsageCounterOptions) {
		this.#options = options;
	}

	count(account: string): void {
		const nowMs = this.#options.nowMs();
		if (nowMs === undefined) {
			return;
		}

		const window = Math.floor(nowMs / this.#options.windowMs);
		const counts = this.#windows.get(window) ?? new Map<string, number>();
		counts.set(account, (counts.get(account) ?? 0) + 1);
		this.#windows.set(window, counts);
		this.#changed.add(window);
	}

	/** Counts of a window in this process. */
	countsOf(window: number): UsageCounts {
		return Object.fromEntries(this.#windows.get(window) ?? []);
	}

	/** Counts that the store does not have yet, for the other entries: the store may be away from this one only. */
	unwrittenCounts(): UsageNotice {
		return {owner: this.#options.owner, windows: [...this.#changed].slice(-maxToldWindows).map(window => [window, this.countsOf(window)] as const)};
	}

	applyNotice({owner, windows}: UsageNotice): void {
		for (const [window, counts] of windows) {
			const heard = this.#heard.get(window) ?? new Map<string, UsageCounts>();
			heard.set(owner, counts);
			this.#heard.set(window, heard);
		}

		dropOldWindows(this.#heard);
	}

	/** What is known of a window without the store. */
	countsByProcess(window: number): ReadonlyMap<string, UsageCounts> {
		return new Map([...this.#heard.get(window) ?? [], [this.#options.owner, this.countsOf(window)]]);
	}

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await sleep(Math.max(minFlushPauseMs, this.#options.liveEntries() * flushPausePerEntryMs), undefined, {signal}).catch(() => undefined);
			await this.flush();
		}
	}

	async flush(): Promise<void> {
		const changed = [...this.#changed];
		if (changed.length === 0) {
			return;
		}

		this.#changed.clear();
		const rows = changed.map(window => ({
			key: usageRowKey(window, this.#options.owner), value: JSON.stringify(this.countsOf(window)),
		}));
		try {
			await this.#options.rows.write('usage', rows);
			dropOldWindows(this.#windows);
		} catch (error) {
			this.#options.onError(error);
			for (const window of changed) {
				this.#changed.add(window);
			}
		}
	}
}
