/**
 * Append-only record of what a stand-in received or accepted, in order, for tests that check whole histories.
 */
import {performance} from 'node:perf_hooks';

/** Fields that every record has. */
export type RecordFields = {
	/** Position in the history, from 1. */
	readonly sequence: number;
	/** Time on the stand-in's own monotonic clock. */
	readonly atMs: number;
};

/** A history of events. */
export type History<Event extends object> = {
	readonly records: ReadonlyArray<Event & RecordFields>;
	append(event: Event): Event & RecordFields;
};

/** Creates an empty history. */
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
