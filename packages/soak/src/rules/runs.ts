/**
 * Rules about the runs of endpoints: which requests they run, for whom, how often, until when, and under which configuration.
 */
import {groupBy} from '@hawthorncleat/core';
import {maxRouteAttempts} from '@hawthorncleat/platform/stand-ins';
import {
	isProcessUndisturbed, isUndisturbed, type PublishedConfig, type Rule, type SoakRecord, type Violation,
} from '../record.js';

/** An endpoint runs only requests that a caller sent, unchanged, for the caller's account and without its key. */
export const runsAreAsked: Rule = ({calls, runs}) => {
	const byId = new Map(calls.map(call => [call.id, call]));
	return runs.flatMap((run): Violation[] => {
		const call = byId.get(run.requestId);
		const problems = [
			...call === undefined ? ['no caller sent it'] : [],
			...call && (call.method !== run.method || call.target !== run.target || call.body !== run.body) ? ['it was changed'] : [],
			...call && call.account !== run.account ? [`it ran for ${run.account ?? 'no account'}, not ${call.account}`] : [],
			...run.hasKey ? ['the caller\'s key was forwarded'] : [],
			...run.cacheOf !== undefined && run.cacheOf !== run.requestId ? [`it continued from the KV cache of ${run.cacheOf}`] : [],
		];
		return problems.map(what => ({rule: 'runs are asked', what: `${run.requestId} at ${run.endpoint}: ${what}`}));
	});
};

export const actionsRunOnce: Rule = ({calls, runs}) => {
	const actions = new Set(calls.filter(({route}) => route === 'order').map(({id}) => id));
	return [...groupBy(runs.filter(({requestId}) => actions.has(requestId)), ({requestId}) => requestId)]
		.filter(([, requestRuns]) => requestRuns.length > 1)
		.map(([id, requestRuns]) => ({rule: 'actions run once', what: `${id} ran at ${requestRuns.map(({endpoint}) => endpoint).join(', ')}`}));
};

/** At most this many requests may run more often than their route allows. */
const maxRequestsOverLimit = 3;

export const attemptsAreLimited: Rule = ({runs}) => {
	const overLimit = [...groupBy(runs.filter(({isPrefill}) => !isPrefill), ({requestId}) => requestId)].filter(([, requestRuns]) => requestRuns.length > maxRouteAttempts);
	return overLimit.length > maxRequestsOverLimit
		? [{rule: 'attempts are limited', what: `${overLimit.length} requests ran more than ${maxRouteAttempts} times, among them ${overLimit[0]![0]}`}]
		: [];
};

/** In any window, the runs beyond the first of each request stay within the retry ratio and the allowance of the settings. */
export const retriesAreFew: Rule = ({calls, runs, retryLimits}) => {
	const {windowMs, ratio, allowance} = retryLimits;
	const seen = new Set<string>();
	const repeats = runs.filter(({isPrefill}) => !isPrefill).toSorted((a, b) => a.atMs - b.atMs).filter(({requestId}) => {
		const isRepeat = seen.has(requestId);
		seen.add(requestId);
		return isRepeat;
	});
	return repeats.flatMap(({atMs, service}): Violation[] => {
		const repeatCount = repeats.filter(repeat => repeat.service === service && repeat.atMs >= atMs && repeat.atMs < atMs + windowMs).length;
		const requestCount = calls.filter(({sentMs}) => sentMs >= atMs - windowMs && sentMs < atMs + windowMs).length;
		return repeatCount > (ratio * requestCount) + allowance
			? [{rule: 'retries are few', what: `${repeatCount} repeats at ${service} within 10 s from ${Math.round(atMs)} ms, ${requestCount} requests`}]
			: [];
	}).slice(0, 1);
};

/** A request may still reach an endpoint for this long after its caller has closed the connection. */
const abandonGraceMs = 500;
/** A few requests may already be on their way to an endpoint when their caller leaves. */
const maxRunsAfterLeave = 3;

/** A request reaches no endpoint later than `abandonGraceMs` after its caller has left. */
export const leftRequestsEnd: Rule = record => {
	const abandonedCalls = new Map(record.calls.filter(({leftMs}) => leftMs !== undefined).map(call => [call.id, call]));
	const lateRuns = record.runs.filter(({requestId, atMs}) => {
		const call = abandonedCalls.get(requestId);
		return call !== undefined && atMs > call.leftMs! + abandonGraceMs && isUndisturbed(record, call.entry, call.sentMs, atMs);
	});
	return lateRuns.length > maxRunsAfterLeave
		? [{rule: 'left requests end', what: `${lateRuns.length} requests reached an endpoint after their callers had left, among them ${lateRuns[0]!.requestId}`}]
		: [];
};

const allowsRun = ({services, keys}: PublishedConfig, {route, account, key}: SoakRecord['calls'][number], {service}: SoakRecord['runs'][number]): boolean =>
	services[route] === service && (keys[account] ?? []).includes(key);

/** An undisturbed entry must apply a published configuration within this time. */
const configApplyMs = 3000;

/**
 * A request runs only at the service of its route and with a key of its account. An undisturbed entry no longer serves a route
 * or key that was removed.
 */
export const configsAreFollowed: Rule = record => {
	const byId = new Map(record.calls.map(call => [call.id, call]));
	return record.runs.flatMap((run): Violation[] => {
		const call = byId.get(run.requestId);
		if (!call) {
			return [];
		}

		const isAllowedBy = (config: PublishedConfig): boolean => allowsRun(config, call, run);
		if (!record.configs.some(config => isAllowedBy(config))) {
			return [{rule: 'configs are followed', what: `${call.id} ran at ${run.endpoint}, which no configuration allows`}];
		}

		const sinceMs = call.sentMs - configApplyMs;
		const newest = record.configs.findLast(({atMs}) => atMs <= sinceMs);
		const activeConfigs = record.configs.filter(({version, atMs}) => newest === undefined || version === newest.version || atMs > sinceMs);
		return activeConfigs.some(config => isAllowedBy(config)) || !isUndisturbed(record, call.entry, sinceMs, run.atMs)
			? []
			: [{rule: 'configs are followed', what: `${call.id} ran at ${run.endpoint}, which only an outdated configuration allows`}];
	});
};

/** After a run under a version of the configuration, requests that are sent this much later run under no older one. */
const downgradeMs = 250;

type VersionedRun = {readonly id: string; readonly entry: string; readonly sentMs: number; readonly atMs: number; readonly oldest: number; readonly newest: number};

/** Runs with the oldest and the newest version that allow each. */
const findVersions = ({calls, runs, configs}: SoakRecord): VersionedRun[] => {
	const byId = new Map(calls.map(call => [call.id, call]));
	return runs.flatMap(run => {
		const call = byId.get(run.requestId);
		const versions = call ? configs.filter(config => allowsRun(config, call, run)).map(({version}) => version) : [];
		return call && versions.length > 0
			? [{
				id: call.id, entry: call.entry, sentMs: call.sentMs, atMs: run.atMs, oldest: Math.min(...versions), newest: Math.max(...versions),
			}]
			: [];
	});
};

/**
 * An entry whose process lives on never returns to an older configuration, whatever happens to the store: a request runs under no
 * version that is older than that of an earlier run.
 */
export const configsDoNotGoBack: Rule = record => [...groupBy(findVersions(record), ({entry}) => entry)].flatMap(([entry, runs]): Violation[] => runs.flatMap(run => {
	const earlier = runs.find(({oldest, atMs}) => oldest > run.newest && atMs + downgradeMs < run.sentMs && isProcessUndisturbed(record, entry, atMs, run.atMs));
	return earlier ? [{rule: 'configs do not go back', what: `${run.id} ran under version ${run.newest} at most, ${earlier.id} before it under ${earlier.oldest} at least`}] : [];
}));
