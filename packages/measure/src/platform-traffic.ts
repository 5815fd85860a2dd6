/**
 * Counts what a daemon sends to the platform: requests by kind, from the request lines of HTTP/1.1.
 */

/** Requests by kind. */
export type PlatformCounts = {
	readonly tableReads: number;
	readonly tableWrites: number;
	readonly hostReads: number;
	readonly objectReads: number;
	readonly objectWrites: number;
	readonly others: number;
};

export const noPlatformCounts: PlatformCounts = {
	tableReads: 0, tableWrites: 0, hostReads: 0, objectReads: 0, objectWrites: 0, others: 0,
};

const requestLinePattern = /(?:^|\n)(GET|PUT|POST|DELETE) (\/\S*) HTTP\/1\.1\r?\n/g;

const kindOf = (method: string, path: string): keyof PlatformCounts => {
	if (path.startsWith('/table/')) {
		return path.startsWith('/table/transact') ? 'tableWrites' : 'tableReads';
	}

	if (path.startsWith('/hosts')) {
		return 'hostReads';
	}

	if (path.startsWith('/objects')) {
		return method === 'GET' ? 'objectReads' : 'objectWrites';
	}

	return 'others';
};

/** Adds the requests that begin in a chunk; request heads are small and arrive whole. */
export const countRequests = (counts: PlatformCounts, chunk: string): PlatformCounts => {
	const next = {...counts};
	for (const [, method = '', path = ''] of chunk.matchAll(requestLinePattern)) {
		next[kindOf(method, path)] += 1;
	}

	return next;
};

/** What came between two readings of counters. */
export const subtractCounts = (later: PlatformCounts, earlier: PlatformCounts): PlatformCounts => ({
	tableReads: later.tableReads - earlier.tableReads,
	tableWrites: later.tableWrites - earlier.tableWrites,
	hostReads: later.hostReads - earlier.hostReads,
	objectReads: later.objectReads - earlier.objectReads,
	objectWrites: later.objectWrites - earlier.objectWrites,
	others: later.others - earlier.others,
});
