/**
 * I7 and I8: no two processes are in charge of a duty at the same time. A holder notes `in-charge` with the duty, its
 * name and its epoch while it believes that it holds the lease; its interval reaches from the first note to the last.
 */
import type {HistoryRecord} from '../history.js';
import type {Rule, Violation} from './rule.js';

const rule = 'leases-exclude';

/** Name of the notes that this rule reads. */
export const inChargeNote = 'in-charge';

/** Value of such a note; `atMs` is the holder's reading of a clock that all processes of the machine share. */
export type InCharge = {readonly duty: string; readonly holder: string; readonly epoch: number; readonly atMs: number};

/** The time during which one holder acted under one epoch. */
export type Tenure = InCharge & {readonly fromMs: number; readonly toMs: number; readonly sequences: readonly number[]};

const readNote = ({source, event}: HistoryRecord): InCharge | undefined =>
	source === 'run' && event.kind === 'note' && event.name === inChargeNote ? event.value as InCharge : undefined;

/** Lists all tenures in order of their begin. */
export const listTenures = (history: readonly HistoryRecord[]): Tenure[] => {
	const tenures = new Map<string, Tenure>();
	for (const record of history) {
		const note = readNote(record);
		if (!note) {
			continue;
		}

		const id = JSON.stringify([note.duty, note.holder, note.epoch]);
		const known = tenures.get(id);
		tenures.set(id, {
			...note,
			fromMs: Math.min(known?.fromMs ?? note.atMs, note.atMs),
			toMs: Math.max(known?.toMs ?? note.atMs, note.atMs),
			sequences: [known?.sequences[0] ?? record.sequence, record.sequence],
		});
	}

	return [...tenures.values()].toSorted((a, b) => a.fromMs - b.fromMs);
};

const judgePair = (earlier: Tenure, later: Tenure): string | undefined => {
	if (later.epoch <= earlier.epoch) {
		return `${later.holder} took over with epoch ${later.epoch} after ${earlier.holder} with epoch ${earlier.epoch}`;
	}

	const overlapMs = earlier.toMs - later.fromMs;
	return overlapMs >= 0
		? `${earlier.holder} and ${later.holder} were in charge together for ${overlapMs.toFixed(1)} ms`
		: undefined;
};

/** Finds overlapping tenures and epochs that do not rise. */
export const leasesExclude: Rule = history => {
	const violations: Violation[] = [];
	const latest = new Map<string, Tenure>();
	for (const tenure of listTenures(history)) {
		const earlier = latest.get(tenure.duty);
		const problem = earlier && judgePair(earlier, tenure);
		if (earlier && problem !== undefined) {
			violations.push({rule, problem: `${tenure.duty}: ${problem}`, sequences: [...earlier.sequences, ...tenure.sequences]});
		}

		latest.set(tenure.duty, earlier && earlier.toMs > tenure.toMs ? earlier : tenure);
	}

	return violations;
};
