/**
 * Which of the callers' requests the endpoints executed, read from the records of services and engines.
 */
import {requestIdHeader} from '../fleet-config.js';
import type {HistoryRecord} from '../history.js';

/** A request that took effect at an endpoint. */
export type Execution = {readonly requestId: string; readonly record: HistoryRecord};

/** The caller's id of the request that a record of a service belongs to. */
export const readServiceRequestId = (record: HistoryRecord): string | undefined => {
	if (record.source !== 'service') {
		return undefined;
	}

	const value = record.event.call.headers[requestIdHeader];
	return Array.isArray(value) ? value[0] : value;
};

const serviceExecution = (record: HistoryRecord): Execution | undefined => {
	const requestId = readServiceRequestId(record);
	const isEffect = record.event.kind === 'order' || record.event.kind === 'lookup';
	return requestId !== undefined && isEffect ? {requestId, record} : undefined;
};

const promptTagPattern = /\[request (?<requestId>[^\]]+)]/;

/** The caller's id of the request that a prompt belongs to. */
export const readPromptTag = (prompt: string): string | undefined => promptTagPattern.exec(prompt)?.groups?.requestId;

/** Maps the entry's request ids, which engines know, to the callers' ids, which stand in the prompt. */
const mapEngineRequests = (history: readonly HistoryRecord[]): Map<string, string> => {
	const callers = new Map<string, string>();
	for (const {source, event} of history) {
		if (source !== 'engine' || event.kind !== 'request' || event.path !== '/generate') {
			continue;
		}

		const {requestId, prompt} = JSON.parse(event.body) as {requestId: string; prompt: string};
		const tag = readPromptTag(prompt);
		if (tag !== undefined) {
			callers.set(requestId, tag);
		}
	}

	return callers;
};

/** Lists all executions. At an engine a request counts as executed from its first token. */
export const listExecutions = (history: readonly HistoryRecord[]): Execution[] => {
	const callers = mapEngineRequests(history);
	return history.flatMap(record => {
		const {source, event} = record;
		if (source === 'engine' && event.kind === 'generate-end' && event.outputTokens > 0) {
			return [{requestId: callers.get(event.requestId) ?? event.requestId, record}];
		}

		return serviceExecution(record) ?? [];
	});
};
