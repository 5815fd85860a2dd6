/**
 * Rule about the limits that endpoints name: some time after the first answer with a limit, the requests of entries without a fault stay within it.
 */
import {
	isProcessUndisturbed, type NamedLimit, type Rule, type SoakRecord, type Violation,
} from '../record.js';

/** From this time on after it was first named, a limit has to be kept. */
const learningMs = 3000;
const windowMs = 4000;
const allowedFactor = 1.5;
const allowedRequests = 5;
const msPerSecond = 1000;

const maxInWindow = ({perSecond}: NamedLimit): number => (perSecond * windowMs / msPerSecond * allowedFactor) + allowedRequests;

/** Whether a fault of the endpoint kept its answers from entries, or began another process of it, shortly before. */
const isDisturbed = ({endpointFaults}: SoakRecord, endpoint: string, atMs: number): boolean =>
	endpointFaults.some(fault => fault.endpoint === endpoint && fault.fromMs <= atMs && fault.untilMs >= atMs - learningMs);

/** When requests of undisturbed entries began to run at the endpoint while its limit had to be kept, in order. Prefills are requests as well. */
const findArrivals = (record: SoakRecord, {endpoint, fromMs, untilMs}: NamedLimit): number[] => {
	const entryOf = new Map(record.calls.map(({id, entry}) => [id, entry]));
	return record.runs
		.filter(run => run.endpoint === endpoint && run.atMs >= fromMs + learningMs && run.atMs <= untilMs)
		.filter(({atMs}) => !isDisturbed(record, endpoint, atMs))
		.filter(({requestId, atMs}) => {
			const entry = entryOf.get(requestId);
			return entry !== undefined && isProcessUndisturbed(record, entry, atMs - learningMs, atMs);
		})
		.map(({atMs}) => atMs)
		.toSorted((a, b) => a - b);
};

const findMostInWindow = (arrivalsMs: readonly number[]): number =>
	Math.max(0, ...arrivalsMs.map(startMs => arrivalsMs.filter(atMs => atMs >= startMs && atMs < startMs + windowMs).length));

const describeExcess = (limit: NamedLimit, most: number): string =>
	`${limit.endpoint} named ${limit.perSecond} a second from ${Math.round(limit.fromMs)} ms on and got ${most} requests in ${windowMs} ms, allowed ${maxInWindow(limit)}`;

/** An endpoint that names a limit gets no more requests in 4 s than one and a half times what it allows, and five. */
export const limitsAreKept: Rule = record => record.limits.flatMap((limit): Violation[] => {
	const most = findMostInWindow(findArrivals(record, limit));
	return most > maxInWindow(limit) ? [{rule: 'limits are kept', what: describeExcess(limit, most)}] : [];
});
