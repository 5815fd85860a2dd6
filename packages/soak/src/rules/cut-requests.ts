/**
 * Rule about requests that end without a complete answer: only the end of an endpoint's work or of its connection, the time limit of the
 * request, its caller or a fault of its entry excuses that. The silence of a sound endpoint doesn't.
 */
import {groupBy} from '@hawthorncleat/core';
import {routeTimeoutMs, type Call, type Run} from '@hawthorncleat/platform/stand-ins';
import {
	isProcessUndisturbed, silenceFault, silentConnectionsFault, type EndpointFault, type Rule, type SoakRecord, type Violation,
} from '../record.js';

/** The times of runs and faults are those of the stand-ins. Bytes take this long at most through a relay of a busy test process. */
const maxRelayDelayMs = 100;
/** Timers may expire a little early. */
const timerToleranceMs = 5;
const badGatewayStatus = 502;

type Period = {readonly fromMs: number; readonly untilMs: number};

const isCutOff = ({status, isWhole}: Call): boolean => status === 0 || status === badGatewayStatus || !isWhole;

const hasReachedLimit = ({sentMs, endedMs}: Call): boolean => endedMs - sentMs >= routeTimeoutMs - timerToleranceMs;

const overlaps = ({fromMs, untilMs}: EndpointFault, period: Period): boolean =>
	fromMs <= period.untilMs + maxRelayDelayMs && untilMs >= period.fromMs - maxRelayDelayMs;

/** Whether the answer of a run may have been lost on a connection that had gone silent. A request on one ends within its time limit, and the connection with it. */
const isAnswerLost = (faults: readonly EndpointFault[], {endpoint, atMs}: Run, endedMs: number): boolean =>
	faults.some(fault => fault.fault === silentConnectionsFault && fault.endpoint === endpoint && fault.fromMs <= endedMs && fault.fromMs >= atMs - routeTimeoutMs);

/**
 * Whether a fault other than a silence may have ended a request at one of the endpoints that ran it. After the end of a run, only the end of its
 * connection may have, and only if the answer was lost on it.
 */
const hasFailedRun = (faults: readonly EndpointFault[], runs: readonly Run[], {endedMs: callEndedMs}: Call): boolean =>
	runs.some(run => {
		const {endpoint, atMs, endedMs = callEndedMs} = run;
		const untilMs = Math.min(endedMs, callEndedMs);
		const ofEndpoint = faults.filter(fault => fault.endpoint === endpoint);
		return ofEndpoint.some(fault => overlaps(fault, {fromMs: atMs, untilMs}))
			|| (isAnswerLost(ofEndpoint, run, untilMs) && ofEndpoint.some(fault => fault.fault !== silentConnectionsFault && overlaps(fault, {fromMs: untilMs, untilMs: callEndedMs})));
	});

/** Whether such a fault may have ended a request on its way to an endpoint of its route. */
const hasFailedBeforeRun = ({configs}: SoakRecord, faults: readonly EndpointFault[], {route, sentMs, endedMs}: Call): boolean => {
	const services = new Set(configs.map(config => config.services[route]));
	return faults.some(fault => services.has(fault.service) && overlaps(fault, {fromMs: sentMs, untilMs: endedMs}));
};

const describeCut = ({route, id, entry, status, sentMs, endedMs}: Call, runs: readonly Run[]): string => {
	const endpoints = runs.map(({endpoint}) => endpoint).join(', ') || 'no endpoint';
	return `${route} ${id} at ${entry}, status ${status}, ended after ${Math.round(endedMs - sentMs)} ms, ran at ${endpoints}`;
};

/** A request that an undisturbed entry has taken is not cut off, unless its caller left, its time was up or an endpoint ended it. */
export const requestsAreNotCut: Rule = record => {
	// A prompt that was only prefilled has not run, so what happened at its prefill engine doesn't decide about the request.
	const runsById = groupBy(record.runs.filter(({isPrefill}) => !isPrefill), ({requestId}) => requestId);
	const faults = record.endpointFaults.filter(({fault}) => fault !== silenceFault);
	return record.calls
		.filter(call => isCutOff(call) && call.leftMs === undefined && !hasReachedLimit(call))
		.filter(({entry, sentMs, endedMs}) => isProcessUndisturbed(record, entry, sentMs, endedMs))
		.flatMap((call): Violation[] => {
			const runs = runsById.get(call.id) ?? [];
			const isExcused = runs.length > 0 ? hasFailedRun(faults, runs, call) : hasFailedBeforeRun(record, faults, call);
			return isExcused ? [] : [{rule: 'requests are not cut', what: describeCut(call, runs)}];
		});
};
