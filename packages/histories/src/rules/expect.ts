/**
 * Ends a history test with the verdict of the checker.
 */
import type {HistoryRecord} from '../history.js';
import {checkHistory, describeViolations, type Rule} from './rule.js';

/** Throws with the first violations and the number of all. */
export const expectNoViolations = (history: readonly HistoryRecord[], rules: readonly Rule[]): void => {
	const violations = checkHistory(history, rules);
	if (violations.length > 0) {
		throw new Error(`${violations.length} violations in ${history.length} records\n${describeViolations(history, violations)}`);
	}
};

/** Counts of a history, so that a test can show that it was not idle. */
export type Summary = {
	readonly sent: number;
	readonly unanswered: number;
	readonly faults: number;
	/** Orders that took effect at services. */
	readonly orders: number;
	/** Error answers by what they say about the run. */
	readonly refusals: Readonly<Record<'not-run' | 'ran' | 'unknown', number>>;
};

/** Counts what happened in a history. */
export const summarize = (history: readonly HistoryRecord[]): Summary => {
	const events = history.flatMap(({source, event}) => source === 'run' ? [event] : []);
	const count = (kind: string): number => events.filter(event => event.kind === kind).length;
	const refusals = {'not-run': 0, ran: 0, unknown: 0};
	for (const event of events) {
		if (event.kind === 'answered' && event.ran !== undefined) {
			refusals[event.ran] += 1;
		}
	}

	return {
		sent: count('sent'),
		unanswered: count('unanswered'),
		faults: count('fault'),
		orders: history.filter(({source, event}) => source === 'service' && event.kind === 'order').length,
		refusals,
	};
};
