/**
 * Promises about duties of one entry at a time, and about planned stops.
 */
import {groupBy} from '@hawthorncleat/core';
import {stopGraceMs} from '@hawthorncleat/platform/stand-ins';
import type {Rule, Violation} from '../record.js';

/** One figure for each window. */
export const reportsAgree: Rule = ({reports}) => {
	const accepted = reports.filter(({isAccepted}) => isAccepted);
	return [...groupBy(accepted, ({window}) => String(window))].flatMap(([window, same]): Violation[] => {
		const figures = new Set(same.map(({counts}) => JSON.stringify(Object.entries(counts).toSorted(([a], [b]) => a.localeCompare(b)))));
		return figures.size > 1 ? [{rule: 'reports agree', what: `window ${window}: ${[...figures].join(' and ')}`}] : [];
	});
};

type Fenced = {readonly holder: string; readonly fence: number};

const findShared = (subject: string, calls: readonly Fenced[]): Violation[] => [...groupBy(calls, ({fence}) => String(fence))]
	.filter(([, same]) => new Set(same.map(({holder}) => holder)).size > 1)
	.map(([fence, same]) => ({rule: 'fences are own', what: `${subject}: fence ${fence} of ${[...new Set(same.map(({holder}) => holder))].join(' and ')}`}));

/** No two holders have one fence, and an engine gets no order with a lower fence than before. */
export const fencesAreOwn: Rule = ({reports, orders}) => [
	...findShared('usage', reports),
	...[...groupBy(orders, ({endpoint}) => endpoint)].flatMap(([endpoint, same]) => [
		...findShared(endpoint, same),
		...same.some(({fence}, index) => index > 0 && fence < same[index - 1]!.fence) ? [{rule: 'fences are own', what: `${endpoint} got an order with a lower fence`}] : [],
	]),
];

/** A process that is asked to stop ends by itself, without an error and within its grace time. */
export const stopsEnd: Rule = ({stops}) => stops
	.filter(({code, lastedMs}) => code !== 0 || lastedMs > stopGraceMs)
	.map(({entry, code, lastedMs}) => ({rule: 'stops end', what: `${entry} ended with ${String(code)} after ${Math.round(lastedMs)} ms`}));
