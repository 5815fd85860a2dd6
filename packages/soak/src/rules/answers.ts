/**
 * Promises about what callers are answered.
 */
import {groupBy} from '@hawthorncleat/core';
import {
	answerOf, eventOf, routeTimeoutMs, streamEvents, type Call,
} from '@hawthorncleat/platform/stand-ins';
import {isUndisturbed, type Rule, type Violation} from '../record.js';

const isStream = ({route}: Call): boolean => route === 'stream' || route === 'plan';

const expectedText = (call: Call): string => isStream(call)
	? Array.from({length: streamEvents}, (_, index) => eventOf(call.id, index + 1)).join('')
	: answerOf(call.id);

const describeCall = ({id, entry, route, status}: Call): string => `${route} ${id} at ${entry}, status ${status}`;

/** A success bears a seal and is the whole answer to the caller's own request; an answer that breaks off does not look whole. */
export const answersAreOwn: Rule = ({calls}) => calls.flatMap((call): Violation[] => {
	const {id, status, isWhole, isSealed, answeredId, text} = call;
	if (status === 0) {
		return [];
	}

	const report = (what: string): Violation[] => [{rule: 'answers are own', what: `${describeCall(call)}: ${what}`}];
	if (status !== 200) {
		return isSealed && status !== 500 ? report('a sealed failure that no endpoint gave') : [];
	}

	if (!isSealed || answeredId !== id) {
		return report(isSealed ? `the answer of ${answeredId ?? 'no request'}` : 'a success without a seal');
	}

	const expected = expectedText(call);
	if (isWhole) {
		return text === expected ? [] : report(`looks whole, but reads ${JSON.stringify(text.slice(0, 200))}`);
	}

	return expected.startsWith(text) ? [] : report(`the broken answer begins ${JSON.stringify(text.slice(0, 200))}`);
});

/** An action that was refused did not run and will not. */
export const refusalsAreTrue: Rule = ({calls, runs}) => {
	const ran = new Set(runs.map(({requestId}) => requestId));
	return calls
		.filter(({route, status, id}) => route === 'order' && [408, 421, 429, 503].includes(status) && ran.has(id))
		.map(call => ({rule: 'refusals are true', what: `${describeCall(call)} has run`}));
};

/** Time after the limit of a route by which the answer is due. */
const lateMs = 500;
/** The rule speaks of many requests; a single one proves nothing. */
const minLate = 4;

/** Of the requests that reach the limit of their route, at least half are answered soon after it. */
export const limitsHold: Rule = record => {
	const atLimit = record.calls.filter(({entry, sentMs, endedMs, leftMs}) =>
		leftMs === undefined && endedMs - sentMs > routeTimeoutMs && isUndisturbed(record, entry, sentMs, endedMs));
	const late = atLimit.filter(({sentMs, endedMs}) => endedMs - sentMs > routeTimeoutMs + lateMs);
	return late.length >= minLate && late.length > atLimit.length / 2
		? [{rule: 'limits hold', what: `${late.length} of ${atLimit.length} requests at their limit had no answer half a second later, ${describeCall(late[0]!)}`}]
		: [];
};

/** Least part of the calls after the last fault that is answered. */
const minServedPart = 0.9;
const minCalls = 20;

/** Each entry serves again once the last fault is over. */
export const servesAgain: Rule = ({calls, recoveredMs}) => [...groupBy(calls.filter(({sentMs, leftMs}) => sentMs > recoveredMs && leftMs === undefined), ({entry}) => entry)]
	.flatMap(([entry, later]): Violation[] => {
		const served = later.filter(({status, isWhole}) => status === 200 && isWhole).length;
		return later.length < minCalls || served < later.length * minServedPart
			? [{rule: 'serves again', what: `${entry} served ${served} of ${later.length} calls after the last fault`}]
			: [];
	});
