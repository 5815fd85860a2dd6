/**
 * Prints how much of an endpoint's limit simulated fleets use, and the most requests that the endpoint gets in any 4 s beside those that the users allow.
 * The figures in docs/CAPACITY.md are its output.
 */
import {createRandom, LimitedFleet, maxInWindow} from '../packages/core/src/forwarding/__tests__/limited-fleet.js';

const warmUpMs = 3000;
/** Until all entries have told each other their demand. */
const settleMs = 2000;
const measuredMs = 30_000;
const msPerSecond = 1000;
/** Requests of all callers a second, more than any of the limits. */
const demandPerSecond = 200;
const fleetSizes = [1, 4, 30, 68, 300];
const limits = [0.8, 4.3, 20];

type Demand = {readonly name: string; readonly of: (entries: number) => number[]};

const demands: readonly Demand[] = [
	{name: 'all entries', of: entries => Array.from({length: entries}, () => demandPerSecond / entries)},
	{name: 'one entry', of: entries => Array.from({length: entries}, (_, index) => index === 0 ? demandPerSecond : 0)},
];

const describeRow = (demand: Demand, entries: number, perSecond: number): string => {
	const fleet = new LimitedFleet(demand.of(entries), createRandom(entries));
	fleet.run(warmUpMs);
	fleet.state(perSecond);
	fleet.run(settleMs);
	const sinceMs = fleet.clock.nowMs();
	fleet.run(measuredMs);
	const arrivals = fleet.arrivalsMs.filter(atMs => atMs >= sinceMs).length;
	const used = arrivals / (perSecond * measuredMs / msPerSecond);
	return `| ${entries} | ${perSecond} | ${demand.name} | ${used.toFixed(2)} | ${fleet.mostInWindow(sinceMs)} | ${Math.floor(maxInWindow(perSecond))} |`;
};

console.log('| entries | limit, requests a second | callers at | part of the limit used | most in 4 s | allowed in 4 s |');
console.log('| --- | --- | --- | --- | --- | --- |');
for (const demand of demands) {
	for (const entries of fleetSizes) {
		for (const perSecond of limits) {
			console.log(describeRow(demand, entries, perSecond));
		}
	}
}
