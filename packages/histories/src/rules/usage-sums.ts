/**
 * I8, the bill: what the windows report for an account is what its callers were answered. Holds for runs in which no entry
 * was killed and every request got an answer; a killed entry may lose what it had not flushed.
 */
import type {UsageFigure} from '@hawthorncleat/schema';
import type {HistoryRecord} from '../history.js';

type Sums = {promptTokens: number; outputTokens: number; serviceCalls: number};

const createSums = (): Sums => ({promptTokens: 0, outputTokens: 0, serviceCalls: 0});

const sumsOf = (byAccount: Map<string, Sums>, account: string): Sums => {
	const sums = byAccount.get(account) ?? createSums();
	byAccount.set(account, sums);
	return sums;
};

const addFigure = (byAccount: Map<string, Sums>, figure: UsageFigure): void => {
	const sums = sumsOf(byAccount, figure.clientAccount);
	sums.promptTokens += figure.promptTokens;
	sums.outputTokens += figure.outputTokens;
	sums.serviceCalls += figure.serviceCalls;
};

/** What the reports say, each window and shard counted once. */
const sumReports = (history: readonly HistoryRecord[]): Map<string, Sums> => {
	const byAccount = new Map<string, Sums>();
	const seen = new Set<string>();
	for (const {source, event} of history) {
		if (source === 'platform' && event.kind === 'usage-report') {
			const {window, shard, figures} = event.report;
			const id = `${window}/${shard}`;
			for (const figure of seen.has(id) ? [] : figures) {
				addFigure(byAccount, figure);
			}

			seen.add(id);
		}
	}

	return byAccount;
};

/* eslint-disable @typescript-eslint/naming-convention -- the callers' format */
type CompletionUsage = {readonly usage: {readonly prompt_tokens: number; readonly completion_tokens: number}};
/* eslint-enable @typescript-eslint/naming-convention */

const addAnswer = (sums: Sums, kind: string, body: string): void => {
	if (kind === 'lookup') {
		sums.serviceCalls += 1;
		return;
	}

	const {usage} = JSON.parse(body) as CompletionUsage;
	sums.promptTokens += usage.prompt_tokens;
	sums.outputTokens += usage.completion_tokens;
};

/** What the callers were answered. */
const sumAnswers = (history: readonly HistoryRecord[]): Map<string, Sums> => {
	const byAccount = new Map<string, Sums>();
	const sent = new Map<string, {readonly account: string; readonly request: string}>();
	for (const {source, event} of history) {
		if (source !== 'run') {
			continue;
		}

		if (event.kind === 'sent') {
			sent.set(event.requestId, event);
		} else if (event.kind === 'answered' && event.status === 200) {
			const {account, request} = sent.get(event.requestId)!;
			addAnswer(sumsOf(byAccount, account), request, event.body);
		}
	}

	return byAccount;
};

/** Differences between the reports and the answers, by account and figure. */
export const findUsageDifferences = (history: readonly HistoryRecord[]): string[] => {
	const reported = sumReports(history);
	const answered = sumAnswers(history);
	const accounts = new Set([...reported.keys(), ...answered.keys()]);
	return [...accounts].toSorted().flatMap(account => {
		const bill = reported.get(account) ?? createSums();
		const own = answered.get(account) ?? createSums();
		const names = Object.keys(own) as Array<keyof Sums>;
		return names
			.filter(name => bill[name] !== own[name])
			.map(name => `${account}: ${bill[name]} ${name} reported, ${own[name]} answered`);
	});
};
