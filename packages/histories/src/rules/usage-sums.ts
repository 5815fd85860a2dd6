/**
 * I8, the bill: what the windows report for an account is what its callers were answered. While entries are killed, the
 * report may be lower by what an entry had not flushed, and higher by answers that were on their way when the entry died.
 */
import {parseUsageObjectKey} from '@hawthorncleat/core';
import type {UsageFigure} from '@hawthorncleat/schema';
import {tokenize} from '@hawthorncleat/stand-ins';
import type {HistoryRecord, SentRequest} from '../history.js';
import {readPromptTag} from './executions.js';
import {listProcessOutages} from './outages.js';

type Sums = {promptTokens: number; outputTokens: number; serviceCalls: number};

type SumsByAccount = Map<string, Sums>;

const createSums = (): Sums => ({promptTokens: 0, outputTokens: 0, serviceCalls: 0});

const sumNames = Object.keys(createSums()) as Array<keyof Sums>;

const addTo = (byAccount: SumsByAccount, account: string, more: Sums): void => {
	const sums = byAccount.get(account) ?? createSums();
	byAccount.set(account, sums);
	for (const name of sumNames) {
		sums[name] += more[name];
	}
};

const addFigures = (byAccount: SumsByAccount, figures: readonly UsageFigure[]): void => {
	for (const figure of figures) {
		addTo(byAccount, figure.clientAccount, figure);
	}
};

/** What the reports say, each window and shard counted once. */
const sumReports = (history: readonly HistoryRecord[]): SumsByAccount => {
	const byAccount: SumsByAccount = new Map();
	const seen = new Set<string>();
	for (const {source, event} of history) {
		if (source === 'platform' && event.kind === 'usage-report') {
			const {window, shard, figures} = event.report;
			const id = `${window}/${shard}`;
			addFigures(byAccount, seen.has(id) ? [] : figures);
			seen.add(id);
		}
	}

	return byAccount;
};

/** What the entries have flushed: the highest state of each part. */
const sumFlushed = (history: readonly HistoryRecord[]): SumsByAccount => {
	const highest = new Map<string, {readonly sequence: number; readonly figures: readonly UsageFigure[]}>();
	for (const {source, event} of history) {
		const state = source === 'platform' && event.kind === 'object' ? parseUsageObjectKey(event.key) : undefined;
		if (state && state.sequence > (highest.get(state.partKey)?.sequence ?? 0)) {
			const {value} = event as {readonly value: unknown};
			highest.set(state.partKey, {sequence: state.sequence, ...value as {readonly figures: readonly UsageFigure[]}});
		}
	}

	const byAccount: SumsByAccount = new Map();
	for (const {figures} of highest.values()) {
		addFigures(byAccount, figures);
	}

	return byAccount;
};

/* eslint-disable @typescript-eslint/naming-convention -- the callers' format */
type CompletionUsage = {readonly usage: {readonly prompt_tokens: number; readonly completion_tokens: number}};
/* eslint-enable @typescript-eslint/naming-convention */

const usageOfAnswer = (kind: string, body: string): Sums => {
	if (kind === 'lookup') {
		return {...createSums(), serviceCalls: 1};
	}

	const {usage} = JSON.parse(body) as CompletionUsage;
	return {promptTokens: usage.prompt_tokens, outputTokens: usage.completion_tokens, serviceCalls: 0};
};

type Call = SentRequest & {
	readonly atMs: number;
	/** Of a whole answer. */
	readonly usage?: Sums;
	readonly isUnanswered: boolean;
};

/** The callers' requests, dated by their end. */
const listCalls = (history: readonly HistoryRecord[]): Call[] => {
	const sent = new Map<string, SentRequest>();
	const calls: Call[] = [];
	for (const {source, event, atMs} of history) {
		if (source === 'run' && event.kind === 'sent') {
			sent.set(event.requestId, event);
		} else if (source === 'run' && (event.kind === 'answered' || event.kind === 'unanswered')) {
			const request = sent.get(event.requestId)!;
			const isWhole = event.kind === 'answered' && event.status === 200;
			calls.push({
				...request, atMs, isUnanswered: event.kind === 'unanswered', ...isWhole && {usage: usageOfAnswer(request.request, event.body)},
			});
		}
	}

	return calls;
};

/** The most that a completion can use, by what an engine was asked for. */
const readAskedUsage = (history: readonly HistoryRecord[]): Map<string, Sums> => new Map(history.flatMap(({source, event}) => {
	if (source !== 'engine' || event.kind !== 'request' || event.path !== '/generate') {
		return [];
	}

	const {prompt, maxTokens} = JSON.parse(event.body) as {readonly prompt: string; readonly maxTokens: number};
	return [[readPromptTag(prompt) ?? '', {promptTokens: tokenize(prompt).length, outputTokens: maxTokens, serviceCalls: 0}] as const];
}));

const sumCalls = (calls: readonly Call[], usageOf: (call: Call) => Sums | undefined): SumsByAccount => {
	const byAccount: SumsByAccount = new Map();
	for (const call of calls) {
		addTo(byAccount, call.account, usageOf(call) ?? createSums());
	}

	return byAccount;
};

const compare = (lists: readonly SumsByAccount[], describe: (account: string, name: keyof Sums, figures: number[]) => string | undefined): string[] => {
	const accounts = new Set(lists.flatMap(list => [...list.keys()]));
	return [...accounts].toSorted().flatMap(account => sumNames.flatMap(name =>
		describe(account, name, lists.map(list => list.get(account)?.[name] ?? 0)) ?? []));
};

/** Differences between the reports and the answers. For runs in which no entry was killed and every request got an answer. */
export const findUsageDifferences = (history: readonly HistoryRecord[]): string[] => compare(
	[sumReports(history), sumCalls(listCalls(history), ({usage}) => usage)],
	(account, name, [bill, own]) => bill === own ? undefined : `${account}: ${bill} ${name} reported, ${own} answered`,
);

/** Differences between the reports and what the entries have flushed: usage that is lost, billed twice or invented later. */
export const findUncountedUsage = (history: readonly HistoryRecord[]): string[] => compare(
	[sumReports(history), sumFlushed(history)],
	(account, name, [bill, flushed]) => bill === flushed ? undefined : `${account}: ${bill} ${name} reported, ${flushed} flushed`,
);

/**
 * Reports that are lower than the answers, without those that an entry gave in the last `lossMs` before it was killed, or
 * higher than the answers together with all that the unanswered requests may have used.
 */
export const findWrongBills = (history: readonly HistoryRecord[], lossMs: number): string[] => {
	const calls = listCalls(history);
	// Answers of a killed process arrive until a little after the kill, and before its successor starts.
	const kills = listProcessOutages(history).filter(({fault}) => fault === 'kill');
	const mayBeLost = ({entry, atMs}: Call): boolean =>
		kills.some(outage => outage.target === entry && atMs > outage.fromMs - lossMs && atMs < outage.untilMs);
	const asked = readAskedUsage(history);
	const askedBy = ({request, requestId}: Call): Sums | undefined =>
		request === 'lookup' ? {...createSums(), serviceCalls: 1} : asked.get(requestId);
	return compare([
		sumReports(history),
		sumCalls(calls, call => mayBeLost(call) ? undefined : call.usage),
		sumCalls(calls, call => call.isUnanswered ? askedBy(call) : call.usage),
	], (account, name, [bill, least, most]) => bill! >= least! && bill! <= most!
		? undefined
		: `${account}: ${bill} ${name} reported, at least ${least} and at most ${most} used`);
};
