/**
 * The rules for a second try of a request: the retry table, the limit of attempts and the budget of the daemon.
 */
import type {Ran} from './errors.js';

/** More attempts would multiply the load of a fault that affects every endpoint. */
export const maxAttempts = 3;
const budgetPerFirstAttempt = 0.1;
const maxSavedRetries = 10;
/** Sums of 0.1 fall short of whole numbers by rounding. */
const roundingError = 1e-9;

/** What went wrong with one attempt. */
export type FailureKind
	= | 'refused'
		| 'not-connected'
		| 'connection-lost'
		| 'no-progress'
		| 'engine-crashed'
		| 'service-error'
		| 'invalid-response';

export type RetryState = {
	/** Attempts made so far, the failed one included. */
	readonly attempts: number;
	/** Limit of attempts; that of the daemon if left out. */
	readonly maxAttempts?: number;
	readonly idempotent: boolean;
	/** Failures of earlier attempts of the same request. */
	readonly earlier: readonly FailureKind[];
};

export type RetryDecision
	= | {readonly retry: true; readonly shouldResumeFirst: boolean}
		| {readonly retry: false; readonly reason: 'not-allowed' | 'attempts-used' | 'budget-used'; readonly ran: Ran};

const ranAfter: Readonly<Record<FailureKind, Ran>> = {
	refused: 'not-run',
	'not-connected': 'not-run',
	'connection-lost': 'unknown',
	'no-progress': 'ran',
	'engine-crashed': 'ran',
	'service-error': 'ran',
	'invalid-response': 'ran',
};

const retriedOnce = new Set<FailureKind>(['service-error', 'invalid-response']);

const isAllowed = (failure: FailureKind, state: RetryState): boolean => {
	if (ranAfter[failure] === 'not-run') {
		return true;
	}

	const isRepeated = retriedOnce.has(failure) && state.earlier.includes(failure);
	return state.idempotent && !isRepeated;
};

/** Limits retries to a tenth of the first attempts, so that retries cannot keep an overload going. */
export class RetryBudget {
	#saved = maxSavedRetries;

	get availableRetries(): number {
		return this.#saved;
	}

	countFirstAttempt(): void {
		this.#saved = Math.min(maxSavedRetries, this.#saved + budgetPerFirstAttempt);
	}

	/** Takes one retry out of the budget, if there is one. */
	take(): boolean {
		if (this.#saved + roundingError < 1) {
			return false;
		}

		this.#saved -= 1;
		return true;
	}
}

/** Decides about another attempt and takes it out of the budget. */
export const decideRetry = (
	failure: FailureKind,
	state: RetryState,
	budget: {take(): boolean},
): RetryDecision => {
	const ran = ranAfter[failure];
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
