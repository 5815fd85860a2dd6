/**
 * What a rule of the checker is: a pure function over a whole history that lists every violation it finds.
 */
import type {HistoryRecord} from '../history.js';

/** One violation and the records that show it. */
export type Violation = {
	readonly rule: string;
	readonly problem: string;
	/** Sequence numbers of the records. */
	readonly sequences: readonly number[];
};

/** A rule. */
export type Rule = (history: readonly HistoryRecord[]) => Violation[];

/** Lists the violations of all rules. */
export const checkHistory = (history: readonly HistoryRecord[], rules: readonly Rule[]): Violation[] =>
	rules.flatMap(rule => rule(history));

const contextRecords = 3;

const describeRecord = ({sequence, atMs, source, name, event}: HistoryRecord): string =>
	`  #${sequence} ${atMs.toFixed(1)} ms ${source} ${name}: ${JSON.stringify(event)}`;

/** Describes the first violations with their records and the faults before them, for the message of a failed test. */
export const describeViolations = (history: readonly HistoryRecord[], violations: readonly Violation[]): string =>
	violations.slice(0, contextRecords).flatMap(({rule, problem, sequences}) => [
		`${rule}: ${problem}`,
		...history.filter(({sequence}) => sequences.includes(sequence)).map(record => describeRecord(record)),
	]).join('\n');
