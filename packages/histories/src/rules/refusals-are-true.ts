/**
 * I10: a refusal that says "not run" is true, also for whatever happens later, and the other statements of error answers
 * hold as far as the history can tell. An answer that says "unknown" needs a fault that explains it.
 */
import type {HistoryEvent, HistoryRecord, SentRequest} from '../history.js';
import {listExecutions, type Execution} from './executions.js';
import type {Rule, Violation} from './rule.js';
import {readCauses, type Causes} from './unknown-causes.js';

const rule = 'refusals-are-true';

type Answer = Extract<HistoryEvent & {source: 'run'}, {source: 'run'}>['event'] & {kind: 'answered'};

/** Codes of the caller interface that may say `unknown`. */
const unknownCodes = new Set(['action-in-doubt', 'endpoint-failed', 'endpoint-timeout']);

/** What is known of the run when an answer is judged. */
type Context = {
	readonly causes: Causes;
	readonly sent: ReadonlyMap<string, SentRequest & {readonly sequence: number}>;
	readonly executions: ReadonlyMap<string, Execution>;
};

const indexSent = (history: readonly HistoryRecord[]): Context['sent'] => new Map(history.flatMap(({source, event, sequence}) =>
	source === 'run' && event.kind === 'sent' ? [[event.requestId, {...event, sequence}] as const] : []));

const isSameAction = (a: SentRequest, b: SentRequest): boolean =>
	a.request === 'action' && a.actionKey === b.actionKey && a.account === b.account;

const findActionExecution = ({sent, executions}: Context, request: SentRequest): Execution | undefined => {
	const calls = [...sent.values()].filter(other => isSameAction(other, request));
	return calls.map(({requestId}) => executions.get(requestId)).find(execution => execution !== undefined);
};

const judgeUnknown = (context: Context, request: SentRequest, answer: Answer): string | undefined => {
	if (!unknownCodes.has(answer.code ?? '')) {
		return `the code ${answer.code} never means "unknown"`;
	}

	if (answer.code === 'action-in-doubt') {
		return context.causes.explainsDoubt(request.requestId) ? undefined : 'the action is in doubt without another call';
	}

	return context.causes.explainsUnknown(request.requestId) ? undefined : 'the outcome is unknown although nothing failed';
};

const judgeRan = (context: Context, request: SentRequest): string | undefined =>
	request.request === 'action' && !findActionExecution(context, request)
		? 'the action is said to have run and did not'
		: undefined;

const judge = (context: Context, request: SentRequest, answer: Answer): string | undefined => {
	switch (answer.ran) {
		case 'not-run': {
			return context.executions.has(request.requestId) ? 'a request that is said not to have run was executed' : undefined;
		}

		case 'unknown': {
			return judgeUnknown(context, request, answer);
		}

		case 'ran': {
			return judgeRan(context, request);
		}

		case undefined: {
			return undefined;
		}
	}
};

/** Finds error answers whose `ran` is refuted by the rest of the history. */
export const refusalsAreTrue: Rule = history => {
	const executions = new Map(listExecutions(history).map(execution => [execution.requestId, execution]));
	const context = {causes: readCauses(history), sent: indexSent(history), executions};
	const violations: Violation[] = [];
	for (const {source, event, sequence} of history) {
		const request = source === 'run' && event.kind === 'answered' ? context.sent.get(event.requestId) : undefined;
		const problem = request && judge(context, request, event as Answer);
		if (request && problem !== undefined) {
			const execution = executions.get(request.requestId);
			violations.push({
				rule,
				problem: `${request.requestId}: ${problem}`,
				sequences: [sequence, ...execution ? [execution.record.sequence] : []],
			});
		}
	}

	return violations;
};
