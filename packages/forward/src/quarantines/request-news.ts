/**
 * What entries tell each other of requests that crash endpoints, and its encoding in their messages. Entries of earlier versions neither send nor read it.
 */
import {brandAs, type Fingerprint} from '@hawthorncleat/core';
import {isAmount, isText} from '../utils/value-checks.js';

/** A request that is or has been in quarantine. Ages and remaining times are counted from now; those that are over are negative. */
export type ToldRequest = {
	readonly fingerprint: Fingerprint;
	readonly count: number;
	readonly trials: number;
	readonly ageMs: number;
	readonly remainingMs: number;
	/** Time for which no entry may run the request. */
	readonly heldMs: number;
};

/** A request of which a run has completed, which ends its quarantine. */
export type CompletedRequest = {readonly fingerprint: Fingerprint; readonly ageMs: number};

export type RequestNews = {
	readonly quarantines: readonly ToldRequest[];
	readonly completed: readonly CompletedRequest[];
};

type Tuple = readonly unknown[];

const isTuple = (value: unknown): value is Tuple => Array.isArray(value);
const isTime = (value: unknown): value is number => Number.isFinite(value);

const decodeQuarantine = (value: unknown): ToldRequest | undefined => {
	const [fingerprint, count, trials, ageMs, remainingMs, heldMs] = isTuple(value) ? value : [];
	return isText(fingerprint) && isAmount(count) && isAmount(trials) && isAmount(ageMs) && isTime(remainingMs) && isTime(heldMs)
		? {
			fingerprint: brandAs<Fingerprint>(fingerprint), count, trials, ageMs, remainingMs, heldMs,
		}
		: undefined;
};

const decodeCompleted = (value: unknown): CompletedRequest | undefined => {
	const [fingerprint, ageMs] = isTuple(value) ? value : [];
	return isText(fingerprint) && isAmount(ageMs) ? {fingerprint: brandAs<Fingerprint>(fingerprint), ageMs} : undefined;
};

/** Number of items. */
export const countRequestNews = ({quarantines, completed}: RequestNews): number => quarantines.length + completed.length;

export const encodeRequestNews = ({quarantines, completed}: RequestNews): Tuple => [
	quarantines.map(({fingerprint, count, trials, ageMs, remainingMs, heldMs}) => [fingerprint, count, trials, Math.round(ageMs), Math.round(remainingMs), Math.round(heldMs)]),
	completed.map(({fingerprint, ageMs}) => [fingerprint, Math.round(ageMs)]),
];

/** Decodes the news of a message; undefined if there is none or it is damaged. Damaged items are left out. */
export const decodeRequestNews = (value: unknown): RequestNews | undefined => {
	const [quarantines, completed] = isTuple(value) ? value : [];
	if (!isTuple(quarantines) || !isTuple(completed)) {
		return undefined;
	}

	return {
		quarantines: quarantines.map(item => decodeQuarantine(item)).filter(item => item !== undefined),
		completed: completed.map(item => decodeCompleted(item)).filter(item => item !== undefined),
	};
};
