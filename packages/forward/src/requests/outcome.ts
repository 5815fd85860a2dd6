/**
 * How a request ended.
 */

/**
 * Why no further attempt may start: the kind of failure, the route's limit of attempts, the retry window, no endpoint left, the quarantine of a
 * request that crashes endpoints, or the end of this entry.
 */
export type RetryDenial = 'attempts-used' | 'budget-used' | 'crashes-endpoints' | 'no-endpoint' | 'not-allowed' | 'stopping';

/** How a request ended. */
export type Outcome = {
	readonly status: number;
	readonly code: string;
	readonly ran: 'not-run' | 'ran' | 'unknown';
	readonly attempts: number;
	readonly retryAfterMs?: number;
	/** Runs of the request beyond the first one, certain or possible. */
	readonly furtherRuns?: number;
	/** Why a failed attempt was not followed by another one. */
	readonly retryDenied?: RetryDenial;
	/** Figures that decided a rejection, or the state of the retry window that denied another attempt. */
	readonly inputs?: Readonly<Record<string, number>>;
};
