/**
 * Append-only history of what a stand-in received, accepted and did. Tests check rules on whole histories.
 */
import {performance} from 'node:perf_hooks';

/** Fields that every record has. */
export type RecordFields = {
	/** Position in the history, counted from 1. */
	readonly sequence: number;
	/** Time on the monotonic clock of the stand-in's process. */
	readonly atMs: number;
};

export type History<Event extends object> = {
	readonly records: ReadonlyArray<Event & RecordFields>;
	append(event: Event): Event & RecordFields;
};

export const createHistory = <Event extends object>(): History<Event> => {
	const records: Array<Event & RecordFields> = [];
	return {
		records,
		append(event) {
			const recorded = {sequence: records.length + 1, atMs: performance.now(), ...event};
			records.push(recorded);
			return recorded;
		},
	};
};
