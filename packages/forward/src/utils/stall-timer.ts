/**
 * A timer that reports missing progress: once after a limit, and then again and again until there is progress. It ends nothing, because an
 * endpoint that is silent for a while may still go on.
 */
export type StallTimer = {
	/** Records progress. */
	restart(): void;
	clear(): void;
};

/** Pause between two reports of one stall. The decision what to do about it may change, for example when a retry becomes possible. */
const repeatIntervalMs = 100;

export const createStallTimer = (limitMs: number, onStall: () => void): StallTimer => {
	let repeatTimer: NodeJS.Timeout | undefined;
	let pendingReport: NodeJS.Immediate | undefined;

	const report = (): void => {
		// After a pause of this process, bytes that have already arrived are read before the report.
		pendingReport = setImmediate(() => {
			repeatTimer = setTimeout(report, repeatIntervalMs);
			onStall();
		});
	};

	const stopReports = (): void => {
		clearTimeout(repeatTimer);
		clearImmediate(pendingReport);
	};

	const limitTimer = setTimeout(report, limitMs);
	return {
		restart() {
			stopReports();
			limitTimer.refresh();
		},
		clear() {
			stopReports();
			clearTimeout(limitTimer);
		},
	};
};
