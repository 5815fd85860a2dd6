/**
 * Which injected fault explains that the outcome of a request is unknown. A fault explains it only if it was in force while
 * the request ran and hit a process that can have had the request.
 */
import {heartbeatIntervalMs} from '@hawthorncleat/wire';
import type {HistoryRecord, RunEvent, SentRequest} from '../history.js';
import {readServiceRequestId} from './executions.js';
import {listProcessOutages, listTableOutages, type Outage} from './outages.js';

/**
 * For this long after a process runs again a connection that the fault has broken may still be used: a process that was
 * paused notices by its next heartbeat that the other end has given the connection up.
 */
const afterEffectMs = heartbeatIntervalMs;
/** A completion waits 200 ms for others, and its write may take as long as the client of the platform waits, 1500 ms. */
const completionMs = 1700;

type Answer = RunEvent & {readonly kind: 'answered'};

type Call = {
	readonly request: SentRequest;
	readonly sentMs: number;
	readonly endMs: number;
	/** Absent while the call runs, and if the caller got no answer. */
	readonly answer?: Answer;
	readonly isUnanswered: boolean;
};

/** What the causes are looked up in. */
export type Causes = {
	/** Whether a fault explains that it is unknown whether this request ran. */
	explainsUnknown(requestId: string): boolean;
	/** Whether another call explains that this one is told that its action is in doubt. */
	explainsDoubt(requestId: string): boolean;
};

const listCalls = (history: readonly HistoryRecord[]): Map<string, Call> => {
	const calls = new Map<string, Call>();
	for (const {source, event, atMs} of history) {
		if (source !== 'run') {
			continue;
		}

		if (event.kind === 'sent') {
			calls.set(event.requestId, {
				request: event, sentMs: atMs, endMs: Infinity, isUnanswered: false,
			});
		} else if (event.kind === 'answered' || event.kind === 'unanswered') {
			const call = calls.get(event.requestId);
			if (call?.endMs === Infinity) {
				calls.set(event.requestId, {
					...call, endMs: atMs, isUnanswered: event.kind === 'unanswered', ...event.kind === 'answered' && {answer: event},
				});
			}
		}
	}

	return calls;
};

const meets = ({fromMs, untilMs}: Outage, sinceMs: number, endMs: number): boolean =>
	fromMs <= endMs && untilMs + afterEffectMs >= sinceMs;

const isSameAction = (a: SentRequest, b: SentRequest): boolean =>
	a.request === 'action' && b.request === 'action' && a.actionKey === b.actionKey && a.account === b.account;

/** Services with what they received and answered, by caller's request. */
const listServiceRecords = (history: readonly HistoryRecord[]): Map<string, HistoryRecord[]> => {
	const records = new Map<string, HistoryRecord[]>();
	for (const record of history) {
		const requestId = readServiceRequestId(record);
		if (requestId !== undefined) {
			records.set(requestId, [...records.get(requestId) ?? [], record]);
		}
	}

	return records;
};

/** Reads the causes of a whole history. */
export const readCauses = (history: readonly HistoryRecord[]): Causes => {
	const calls = listCalls(history);
	const outages = listProcessOutages(history);
	const tableOutages = listTableOutages(history);
	const serviceRecords = listServiceRecords(history);
	const namesOf = (kind: string): Set<string> => new Set(history.filter(({source}) => source === kind).map(({name}) => `agent-${name}`));
	const agents = {engine: namesOf('engine'), service: namesOf('service')};

	/** An action that a service received was sent to that agent only; other requests may have been tried at any agent. */
	const mayHaveHad = ({request}: Call, target: string): boolean => {
		if (target === request.entry) {
			return true;
		}

		const received = serviceRecords.get(request.requestId) ?? [];
		if (request.request === 'action' && received.length > 0) {
			return received.some(({name}) => target === `agent-${name}`);
		}

		const others = request.request === 'completion' ? agents.service : agents.engine;
		return target.startsWith('agent-') && !others.has(target);
	};

	const isDroppedByService = ({request, endMs}: Call): boolean => {
		const events = (serviceRecords.get(request.requestId) ?? []).filter(({atMs}) => atMs <= endMs).map(({event}) => event.kind);
		return events.filter(kind => kind === 'received').length > events.filter(kind => kind === 'answered').length;
	};

	const isUnknownExplained = (call: Call): boolean => isDroppedByService(call)
		|| outages.some(outage => mayHaveHad(call, outage.target) && meets(outage, call.sentMs, call.endMs));

	/** Whether the claim of a call may be neither completed nor released when another call of its action is judged. */
	const leavesInDoubt = (call: Call, later: Call): boolean => {
		if (call.answer?.code === 'action-in-doubt' || call.sentMs > later.endMs) {
			return false;
		}

		const isUnderWay = call.endMs + completionMs >= later.sentMs;
		const isWriteDisturbed = [...tableOutages, ...outages.filter(({target}) => target === call.request.entry)]
			.some(outage => meets(outage, call.sentMs, Math.min(later.endMs, call.endMs + completionMs)));
		return isUnderWay || call.isUnanswered || call.answer?.ran === 'unknown' || isWriteDisturbed;
	};

	return {
		explainsUnknown(requestId) {
			const call = calls.get(requestId);
			return call !== undefined && isUnknownExplained(call);
		},
		explainsDoubt(requestId) {
			const call = calls.get(requestId);
			return call !== undefined && [...calls.values()].some(other =>
				other.request.requestId !== requestId && isSameAction(other.request, call.request) && leavesInDoubt(other, call));
		},
	};
};
