/**
 * Rules about the answers that callers get: their content, whether a rejected action really did not run, time limits, and
 * whether each entry serves again after the faults.
 */
import {groupBy} from '@hawthorncleat/core';
import {
	answerText, eventText, routeTimeoutMs, eventsPerStream, type Call,
} from '@hawthorncleat/platform/stand-ins';
import {isUndisturbed, type Rule, type Violation} from '../record.js';

const isStream = ({route}: Call): boolean => route === 'stream' || route === 'plan';

const expectedText = (call: Call): string => isStream(call)
	? Array.from({length: eventsPerStream}, (_, index) => eventText(call.id, index + 1)).join('')
	: answerText(call.id);

const describeCall = ({id, entry, route, status}: Call): string => `${route} ${id} at ${entry}, status ${status}`;

/**
 * A success has an endpoint's seal and is the complete answer to the caller's own request. An answer that was cut off doesn't
 * appear complete. Endpoints send no failure but 500, so a seal on any other failure is wrong.
 */
export const answersAreOwn: Rule = ({calls}) => calls.flatMap((call): Violation[] => {
	const {id, status, isWhole, isSealed, answeredId, text} = call;
	if (status === 0) {
		return [];
	}

	const report = (what: string): Violation[] => [{rule: 'answers are own', what: `${describeCall(call)}: ${what}`}];
	if (status !== 200) {
		return isSealed && status !== 500 ? report('a sealed failure that no endpoint sent') : [];
	}

	if (!isSealed || answeredId !== id) {
		return report(isSealed ? `the answer to ${answeredId ?? 'no request'}` : 'a success without a seal');
	}

	const expected = expectedText(call);
	if (isWhole) {
		return text === expected ? [] : report(`appears complete, but its text is ${JSON.stringify(text.slice(0, 200))}`);
	}

	return expected.startsWith(text) ? [] : report(`the incomplete answer begins with ${JSON.stringify(text.slice(0, 200))}`);
});

/** An action that was rejected runs neither before nor after its rejection. */
export const refusalsAreTrue: Rule = ({calls, runs}) => {
	const ran = new Set(runs.map(({requestId}) => requestId));
	return calls
		.filter(({route, status, id}) => route === 'order' && [408, 421, 429, 503].includes(status) && ran.has(id))
		.map(call => ({rule: 'refusals are true', what: `${describeCall(call)} has run`}));
};

/** An answer may come this long after the time limit of its route. */
const maxOverrunMs = 500;
/** The rule is about many requests: a few overdue ones don't break it. */
const minOverdueCalls = 4;

/** Of the requests that exceed the time limit of their route, at least half are answered within `maxOverrunMs` of it. */
export const limitsHold: Rule = record => {
	const timedOutCalls = record.calls.filter(({entry, sentMs, endedMs, leftMs}) =>
		leftMs === undefined && endedMs - sentMs > routeTimeoutMs && isUndisturbed(record, entry, sentMs, endedMs));
	const overdueCalls = timedOutCalls.filter(({sentMs, endedMs}) => endedMs - sentMs > routeTimeoutMs + maxOverrunMs);
	return overdueCalls.length >= minOverdueCalls && overdueCalls.length > timedOutCalls.length / 2
		? [{rule: 'limits hold', what: `${overdueCalls.length} of ${timedOutCalls.length} requests at their limit had no answer half a second later, ${describeCall(overdueCalls[0]!)}`}]
		: [];
};

/** Minimum fraction of the calls after the recovery that succeed. */
const minServedFraction = 0.9;
/** Fewer calls to an entry after the recovery break the rule too. */
const minCallsPerEntry = 20;

/** Each entry serves again once the last fault is over and it has had time to recover. */
export const servesAgain: Rule = ({calls, recoveredMs}) => [...groupBy(calls.filter(({sentMs, leftMs}) => sentMs > recoveredMs && leftMs === undefined), ({entry}) => entry)]
	.flatMap(([entry, laterCalls]): Violation[] => {
		const served = laterCalls.filter(({status, isWhole}) => status === 200 && isWhole).length;
		return laterCalls.length < minCallsPerEntry || served < laterCalls.length * minServedFraction
			? [{rule: 'serves again', what: `${entry} served ${served} of ${laterCalls.length} calls after the last fault`}]
			: [];
	});
