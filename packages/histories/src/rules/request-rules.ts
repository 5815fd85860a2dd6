/**
 * Rules about requests and endpoints: whole answers (I9), no request cut by a planned change (I2, I13), no new work at a
 * leaving endpoint (I12), and a bounded number of crashes for one request.
 */
import type {
	CallObservation, CrashObservation, EndpointRequest, LeaveObservation, Violation,
} from './observations.js';

/** Invariant I12: time after which a leaving endpoint gets no new work. */
export const leaveLimitMs = 5000;
/** Three if two entries send the request at the same moment, else two. */
export const poisonCrashLimit = 3;

/** An answer that claims to be whole is the one expected; a part of an answer is its beginning. */
export const findWrongAnswers = (calls: readonly CallObservation[]): Violation[] => calls.flatMap(call => {
	const {id, text, expected, isWhole} = call;
	if (expected === undefined || text === undefined) {
		return [];
	}

	if (isWhole && text !== expected) {
		return [`${id}: the whole answer has ${text.length} characters and differs from the expected ${expected.length}`];
	}

	return expected.startsWith(text) ? [] : [`${id}: the delivered part is not the beginning of the expected answer`];
});

/** An answer that is not whole says so: the entry, which stays alive, ends it with an error and not with a lost connection. */
export const findSilentEnds = (calls: readonly CallObservation[]): Violation[] => calls
	.filter(({isWhole, ran}) => !isWhole && ran === undefined)
	.map(({id, entry, status, code}) => `${id}: ${entry} ended the answer with status ${status} and no error (${code ?? 'no code'})`);

/** Refusals that a caller may get at any time, because nothing ran. */
const isRefusal = ({status, ran}: CallObservation): boolean => status >= 400 && ran === 'not-run';

/** The caller could not connect, so it sent nothing. */
export const isRefusedConnection = ({status, code}: CallObservation): boolean => status === 0 && code === 'ECONNREFUSED';

/** A call during planned changes is answered whole or refused as not run; `mayRefuse` false also forbids refusals. */
export const findCutCalls = (calls: readonly CallObservation[], mayRefuse = true): Violation[] => calls
	.filter(call => !(call.status === 200 && call.isWhole) && !(mayRefuse && isRefusal(call)))
	.map(call => `${call.id}: ${call.entry} ended with ${call.status} ${call.code ?? ''} ${call.ran ?? ''} after ${Math.round(call.endedMs - call.sentMs)} ms`);

/** A call whose stream crosses a failure ends within the bound. */
export const findSlowCalls = (calls: readonly CallObservation[], limitMs: number): Violation[] => calls
	.filter(call => call.endedMs - call.sentMs > limitMs)
	.map(call => `${call.id}: took ${Math.round(call.endedMs - call.sentMs)} ms of ${limitMs} ms`);

/** An endpoint receives no request later than the limit after it began to leave. */
export const findWorkAtLeaving = (
	requests: readonly EndpointRequest[],
	leaves: readonly LeaveObservation[],
): Violation[] => leaves.flatMap(({endpoint, atMs}) => requests
	.filter(request => request.endpoint === endpoint && request.atMs > atMs + leaveLimitMs)
	.map(request => `${endpoint}: got ${request.callId ?? 'a request'} ${Math.round(request.atMs - atMs)} ms after it began to leave`));

/** One poison request crashes at most three endpoints, however often and wherever it is sent. */
export const findPoisonCost = (crashes: readonly CrashObservation[]): Violation[] =>
	crashes.length <= poisonCrashLimit
		? []
		: [`the request crashed ${crashes.length} endpoints: ${crashes.map(({endpoint}) => endpoint).join(', ')}`];
