/**
 * Adds up the usage counts of a window over all entries. The counts of a process are known from the store and from gossip, and either may be older.
 */
import type {StoreRow, UsageCounts} from '../ports.js';
import {isAmount, isFields, parseJson} from '../utils/value-checks.js';
import {ownerOfUsageRow} from './usage-counter.js';
import {readRelayedCounts} from './usage-rounds.js';

export const isUsageCounts = (value: unknown): value is UsageCounts => isFields(value) && Object.values(value).every(count => isAmount(count));

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

/** Counts of a row by process. They may be damaged. */
const readCounts = (key: string, value: string): ReadonlyArray<readonly [owner: string, counts: unknown]> => {
	const relayed = readRelayedCounts(value);
	return relayed ? Object.entries(relayed) : [[ownerOfUsageRow(key), parseJson(value)]];
};

/**
 * Sums of a window by account, from the counts by process received by gossip and from the rows of the store, whichever are newer. A damaged row counts as
 * missing, since the window would never be reported otherwise; `onDamagedRow` is called with its key.
 */
export const sumWindow = (gossiped: ReadonlyMap<string, UsageCounts>, rows: readonly StoreRow[], onDamagedRow: (key: string) => void): UsageCounts => {
	const counts = new Map(gossiped);
	for (const {key, value} of rows) {
		for (const [owner, stored] of readCounts(key, value ?? '')) {
			if (isUsageCounts(stored)) {
				counts.set(owner, mergeCounts(stored, counts.get(owner) ?? {}));
			} else {
				onDamagedRow(key);
			}
		}
	}

	return sumCounts(counts.values());
};
