/**
 * Promises about what endpoints run.
 */
import {groupBy} from '@hawthorncleat/core';
import {retryLimits, routeAttempts} from '@hawthorncleat/platform/stand-ins';
import {isUndisturbed, type Rule, type Violation} from '../record.js';

/** An endpoint runs only what a caller asked for, unchanged, in the name of its account and without its key. */
export const runsAreAsked: Rule = ({calls, runs}) => {
	const byId = new Map(calls.map(call => [call.id, call]));
	return runs.flatMap((run): Violation[] => {
		const call = byId.get(run.requestId);
		const problems = [
			...call === undefined ? ['no caller sent it'] : [],
			...call && (call.method !== run.method || call.target !== run.target || call.body !== run.body) ? ['it was changed'] : [],
			...call && call.account !== run.account ? [`it ran for ${run.account ?? 'no account'}, not ${call.account}`] : [],
			...run.hasKey ? ['the key was passed on'] : [],
			...run.cacheOf !== undefined && run.cacheOf !== run.requestId ? [`it went on from the KV cache of ${run.cacheOf}`] : [],
		];
		return problems.map(what => ({rule: 'runs are asked', what: `${run.requestId} at ${run.endpoint}: ${what}`}));
	});
};

export const actionsRunOnce: Rule = ({calls, runs}) => {
	const actions = new Set(calls.filter(({route}) => route === 'order').map(({id}) => id));
	return [...groupBy(runs.filter(({requestId}) => actions.has(requestId)), ({requestId}) => requestId)]
		.filter(([, ran]) => ran.length > 1)
		.map(([id, ran]) => ({rule: 'actions run once', what: `${id} ran at ${ran.map(({endpoint}) => endpoint).join(', ')}`}));
};

/** So many requests may go beyond the attempts of their route. */
const maxOverAttempts = 3;

export const attemptsAreLimited: Rule = ({runs}) => {
	const over = [...groupBy(runs.filter(({isPrefill}) => !isPrefill), ({requestId}) => requestId)].filter(([, ran]) => ran.length > routeAttempts);
	return over.length > maxOverAttempts
		? [{rule: 'attempts are limited', what: `${over.length} requests ran more than ${routeAttempts} times, among them ${over[0]![0]}`}]
		: [];
};

/** In any window, runs beyond the first of each request stay within the part and the allowance of the settings. */
export const retriesAreFew: Rule = ({calls, runs}) => {
	const {windowMs, ratio, allowance} = retryLimits;
	const seen = new Set<string>();
	const repeats = runs.filter(({isPrefill}) => !isPrefill).toSorted((a, b) => a.atMs - b.atMs).filter(({requestId}) => {
		const isRepeat = seen.has(requestId);
		seen.add(requestId);
		return isRepeat;
	});
	return repeats.flatMap(({atMs, service}): Violation[] => {
		const inWindow = repeats.filter(repeat => repeat.service === service && repeat.atMs >= atMs && repeat.atMs < atMs + windowMs).length;
		const asked = calls.filter(({sentMs}) => sentMs >= atMs - windowMs && sentMs < atMs + windowMs).length;
		return inWindow > (ratio * asked) + allowance
			? [{rule: 'retries are few', what: `${inWindow} repeats at ${service} within 10 s from ${Math.round(atMs)} ms, ${asked} requests`}]
			: [];
	}).slice(0, 1);
};

const goneMs = 500;
/** Single requests may cross the close of their caller. */
const maxAfterLeave = 3;

/** A request whose caller has left reaches no endpoint half a second later. */
export const leftRequestsEnd: Rule = record => {
	const left = new Map(record.calls.filter(({leftMs}) => leftMs !== undefined).map(call => [call.id, call]));
	const late = record.runs.filter(({requestId, atMs}) => {
		const call = left.get(requestId);
		return call !== undefined && atMs > call.leftMs! + goneMs && isUndisturbed(record, call.entry, call.sentMs, atMs);
	});
	return late.length > maxAfterLeave
		? [{rule: 'left requests end', what: `${late.length} requests reached an endpoint after their callers had left, among them ${late[0]!.requestId}`}]
		: [];
};

const configApplyMs = 3000;

/** A run goes to a service of its route, and an entry in touch no longer serves a key or route that was taken away. */
export const configsAreFollowed: Rule = record => {
	const byId = new Map(record.calls.map(call => [call.id, call]));
	return record.runs.flatMap((run): Violation[] => {
		const call = byId.get(run.requestId);
		if (!call) {
			return [];
		}

		const isAllowedBy = ({services, keys}: (typeof record.configs)[number]): boolean =>
			services[call.route] === run.service && (keys[call.account] ?? []).includes(call.key);
		if (!record.configs.some(config => isAllowedBy(config))) {
			return [{rule: 'configs are followed', what: `${call.id} ran at ${run.endpoint}, which no configuration allows`}];
		}

		const sinceMs = call.sentMs - configApplyMs;
		const newest = record.configs.findLast(({atMs}) => atMs <= sinceMs);
		const possible = record.configs.filter(({version, atMs}) => newest === undefined || version === newest.version || atMs > sinceMs);
		return possible.some(config => isAllowedBy(config)) || !isUndisturbed(record, call.entry, sinceMs, run.atMs)
			? []
			: [{rule: 'configs are followed', what: `${call.id} ran at ${run.endpoint} as only an old configuration allows`}];
	});
};
