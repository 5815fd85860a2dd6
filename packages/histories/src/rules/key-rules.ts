/**
 * Rules about keys: a withdrawn key stops (I6), requests run for the account of their key (I4), endpoints see no key (I5),
 * and valid keys are served through an outage of the store.
 */
import type {
	CallObservation, EndpointRequest, Violation, WithdrawalObservation,
} from './observations.js';

/** Invariant I6: time from the accepted withdrawal to the last admission. */
export const withdrawalLimitMs = 5000;
/** A part of a key that is long enough not to appear by chance. */
const keyPartLength = 8;

/** Status of a call whose key was admitted: anything but a refusal that says that it was not. */
const isAdmitted = ({status}: CallObservation): boolean => status === 200;

/** No call that is sent later than the limit after the accepted withdrawal of its key is admitted. */
export const findLateAdmissions = (
	calls: readonly CallObservation[],
	withdrawals: readonly WithdrawalObservation[],
): Violation[] => withdrawals.flatMap(({keyName, acceptedMs}) => calls
	.filter(call => call.keyName === keyName && call.sentMs > acceptedMs + withdrawalLimitMs && isAdmitted(call))
	.map(call => `${call.id}: ${call.entry} admitted ${keyName} ${Math.round(call.sentMs - acceptedMs)} ms after its withdrawal`));

/** Every call of these keys that is sent within the span is answered whole. */
export const findUnservedCalls = (
	calls: readonly CallObservation[],
	keyNames: ReadonlySet<string>,
	{fromMs, untilMs}: {readonly fromMs: number; readonly untilMs: number},
): Violation[] => calls
	.filter(call => keyNames.has(call.keyName) && call.sentMs >= fromMs && call.sentMs <= untilMs)
	.filter(call => call.status !== 200 || !call.isWhole)
	.map(call => `${call.id}: ${call.entry} answered ${call.status} ${call.code ?? ''} to the valid ${call.keyName} ${Math.round(call.sentMs - fromMs)} ms into the span`);

/** Each request that an endpoint received names the account to which the key of its call belongs. */
export const findForeignAccounts = (
	requests: readonly EndpointRequest[],
	accountOfCall: ReadonlyMap<string, string>,
): Violation[] => requests.flatMap(({endpoint, callId, account}) => {
	const owner = callId === undefined ? undefined : accountOfCall.get(callId);
	if (owner === undefined) {
		return [`${endpoint}: received a request of no known call (${callId ?? 'no id'})`];
	}

	return account === owner ? [] : [`${endpoint}: ran ${callId} of ${owner} for ${account ?? 'no account'}`];
});

/** No endpoint receives a key or a part of one. Keys must be random, or parts of them appear by chance. */
export const findKeyLeaks = (requests: readonly EndpointRequest[], keys: readonly string[]): Violation[] => {
	const parts = keys.flatMap(key => Array.from(
		{length: Math.max(0, key.length - keyPartLength + 1)},
		(_, start) => key.slice(start, start + keyPartLength),
	));
	return requests.flatMap(({endpoint, text, callId}) => {
		const leaked = parts.find(part => text.includes(part));
		return leaked === undefined ? [] : [`${endpoint}: received ${leaked} of a key with ${callId ?? 'a request'}`];
	});
};
