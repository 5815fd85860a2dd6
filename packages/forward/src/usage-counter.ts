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
	readonly onError: (error: unknown) => void;
};

/** A killed process loses the counts of this time at most. */
const flushPauseMs = 700;

/** Key of the row in which one process counts a window. Windows sort by number. */
export const usageRowKey = (window: number, owner: string): string => `${String(window).padStart(12, '0')}/${owner}`;

/** Range of the rows of one window. */
export const usageRange = (window: number): {readonly from: string; readonly to: string} =>
	({from: usageRowKey(window, ''), to: usageRowKey(window + 1, '')});

export class UsageCounter {
	readonly #options: UsageCounterOptions;
	readonly #windows = new Map<number, Map<string, number>>();
	readonly #changed = new Set<number>();

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

	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await sleep(flushPauseMs, undefined, {signal}).catch(() => undefined);
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
			this.#dropOld();
		} catch (error) {
			this.#options.onError(error);
			for (const window of changed) {
				this.#changed.add(window);
			}
		}
	}

	/** A window is reported long before this many later ones have passed. */
	#dropOld(): void {
		const newest = Math.max(...this.#windows.keys());
		for (const window of this.#windows.keys()) {
			if (window < newest - 20) {
				this.#windows.delete(window);
			}
		}
	}
}
