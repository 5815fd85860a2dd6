/**
 * When the injected faults were in force, read from the notes of the fault injector.
 */
import type {HistoryRecord} from '../history.js';

/** A time during which a process, or the table, was disturbed. */
export type Outage = {readonly target: string; readonly fault: string; readonly fromMs: number; readonly untilMs: number};

type FaultNote = {readonly fault: string; readonly target: string; readonly atMs: number};

const listFaultNotes = (history: readonly HistoryRecord[]): FaultNote[] => history.flatMap(({source, event, atMs}) =>
	source === 'run' && event.kind === 'fault' ? [{fault: event.fault, target: event.target, atMs}] : []);

/** What ends a fault of a process. */
const endings: Readonly<Record<string, readonly string[]>> = {
	kill: ['restart', 'replace'], stop: ['restart', 'replace'], pause: ['resume'],
};

/** Kills, stops and pauses of processes, each until the process ran again. */
export const listProcessOutages = (history: readonly HistoryRecord[]): Outage[] => {
	const notes = listFaultNotes(history);
	return notes.flatMap(({fault, target, atMs}, index) => {
		const ending = notes.slice(index + 1).find(other => other.target === target && endings[fault]?.includes(other.fault));
		return endings[fault]
			? [{
				target, fault, fromMs: atMs, untilMs: ending?.atMs ?? Infinity,
			}]
			: [];
	});
};

/** Times during which the table was down, slow or lost answers. The target holds the faults. */
export const listTableOutages = (history: readonly HistoryRecord[]): Outage[] => {
	const notes = listFaultNotes(history).filter(({fault}) => fault === 'platform-faults');
	return notes.flatMap(({fault, target, atMs}, index) => {
		const {tableDown, tableSlowMs, loseTableAnswers} = JSON.parse(target) as Record<string, unknown>;
		return [tableDown, tableSlowMs, loseTableAnswers].some(Boolean)
			? [{
				target, fault, fromMs: atMs, untilMs: notes[index + 1]?.atMs ?? Infinity,
			}]
			: [];
	});
};
