/**
 * Decides whether a failed attempt of a request is retried. A retry must be safe for the kind of failure, within the limit
 * of attempts of the request, and within the retry budget of the process.
 */
import type {Ran} from './errors.js';

/** More attempts would multiply the load when a fault affects all endpoints. */
export const maxAttempts = 3;
const retriesPerFirstAttempt = 0.1;
const maxAvailableRetries = 10;
/** Repeated additions of 0.1 stay slightly below whole numbers because of rounding. */
const roundingTolerance = 1e-9;

/** How an attempt failed. */
export type FailureKind
	= | 'refused'
		| 'not-connected'
		| 'connection-lost'
		| 'no-progress'
		| 'engine-crashed'
		| 'service-error'
		| 'invalid-response';

export type RetryState = {
	/** Attempts made so far, including the one that failed. */
	readonly attempts: number;
	/** Limit of attempts of this request; `maxAttempts` of this module by default. */
	readonly maxAttempts?: number;
	readonly idempotent: boolean;
	/** Failures of earlier attempts of the same request. */
	readonly earlier: readonly FailureKind[];
};

export type RetryDecision
	= | {readonly retry: true; readonly shouldResumeFirst: boolean}
		| {readonly retry: false; readonly reason: 'not-allowed' | 'attempts-used' | 'budget-used'; readonly ran: Ran};

const ranByFailure: Readonly<Record<FailureKind, Ran>> = {
	refused: 'not-run',
	'not-connected': 'not-run',
	'connection-lost': 'unknown',
	'no-progress': 'ran',
	'engine-crashed': 'ran',
	'service-error': 'ran',
	'invalid-response': 'ran',
};

const failuresRetriedOnce = new Set<FailureKind>(['service-error', 'invalid-response']);

const isAllowed = (failure: FailureKind, state: RetryState): boolean => {
	if (ranByFailure[failure] === 'not-run') {
		return true;
	}

	const isRepeated = failuresRetriedOnce.has(failure) && state.earlier.includes(failure);
	return state.idempotent && !isRepeated;
};

/** Limits retries to a tenth of the first attempts, so that retries cannot prolong an overload. */
export class RetryBudget {
	#availableRetries = maxAvailableRetries;

	get availableRetries(): number {
		return this.#availableRetries;
	}

	countFirstAttempt(): void {
		this.#availableRetries = Math.min(maxAvailableRetries, this.#availableRetries + retriesPerFirstAttempt);
	}

	/** Takes one retry from the budget. Returns false if none is available. */
	take(): boolean {
		if (this.#availableRetries + roundingTolerance < 1) {
			return false;
		}

		this.#availableRetries -= 1;
		return true;
	}
}

/** Decides whether to retry after a failure, and takes the retry from the budget if so. */
export const decideRetry = (
	failure: FailureKind,
	state: RetryState,
	budget: {take(): boolean},
): RetryDecision => {
	const ran = ranByFailure[failure];
	if (!isAllowed(failure, state)) {
		return {retry: false, reason: 'not-allowed', ran};
	}

	if (state.attempts >= (state.maxAttempts ?? maxAttempts)) {
		return {retry: false, reason: 'attempts-used', ran};
	}

	if (!budget.take()) {
		return {retry: false, reason: 'budget-used', ran};
	}

	return {retry: true, shouldResumeFirst: failure === 'connection-lost'};
};
