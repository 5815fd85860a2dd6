/**
 * Rules about duties, which one entry at a time does under a lease (usage reports and engine orders), and about planned stops.
 * A fence is the fencing token that a duty's holder sends with each report or order.
 */
import {groupBy} from '@hawthorncleat/core';
import {stopGraceMs} from '@hawthorncleat/platform/stand-ins';
import type {Rule, Violation} from '../record.js';

/** All accepted reports of one usage window have the same figures. */
export const reportsAgree: Rule = ({reports}) => {
	const accepted = reports.filter(({isAccepted}) => isAccepted);
	return [...groupBy(accepted, ({window}) => String(window))].flatMap(([window, windowReports]): Violation[] => {
		const figures = new Set(windowReports.map(({counts}) => JSON.stringify(Object.entries(counts).toSorted(([a], [b]) => a.localeCompare(b)))));
		return figures.size > 1 ? [{rule: 'reports agree', what: `window ${window}: ${[...figures].join(' and ')}`}] : [];
	});
};

type FencedCall = {readonly holder: string; readonly fence: number};

const findSharedFences = (subject: string, calls: readonly FencedCall[]): Violation[] => [...groupBy(calls, ({fence}) => String(fence))]
	.filter(([, fenceCalls]) => new Set(fenceCalls.map(({holder}) => holder)).size > 1)
	.map(([fence, fenceCalls]) => ({rule: 'fences are own', what: `${subject}: fence ${fence} of ${[...new Set(fenceCalls.map(({holder}) => holder))].join(' and ')}`}));

/** No two holders use the same fence, and no engine gets an order with a lower fence than its previous order. */
export const fencesAreOwn: Rule = ({reports, orders}) => [
	...findSharedFences('usage', reports),
	...[...groupBy(orders, ({endpoint}) => endpoint)].flatMap(([endpoint, engineOrders]) => [
		...findSharedFences(endpoint, engineOrders),
		...engineOrders.some(({fence}, index) => index > 0 && fence < engineOrders[index - 1]!.fence) ? [{rule: 'fences are own', what: `${endpoint} got an order with a lower fence`}] : [],
	]),
];

/** A process that is stopped in the planned way exits by itself, with code 0 and within the grace time of its settings. */
export const stopsEnd: Rule = ({stops}) => stops
	.filter(({code, lastedMs}) => code !== 0 || lastedMs > stopGraceMs)
	.map(({entry, code, lastedMs}) => ({rule: 'stops end', what: `${entry} exited with code ${String(code)} after ${Math.round(lastedMs)} ms`}));
