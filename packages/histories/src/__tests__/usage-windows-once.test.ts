import {setTimeout as sleep} from 'node:timers/promises';
import type {UsageReport} from '@hawthorncleat/schema';
import {describe, it, waitUntil} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {
	createCaller, expectNoViolations, fleetAccounts, injectFaults, runLoad, usageWindowsOnce, withFleet, type Fleet, type HistoryRecord,
} from '../index.js';

const seeds = [501];
const lateUsageSeed = 502;
// The reporter waits 15 s after the end of a window, and a takeover takes 9 s.
const durationMs = 42_000;

const run = async (seed: number): Promise<void> => withFleet({
	seed, entries: 3, services: 1, settings: {entry: {usageWindowMs: 1000, usageFlushMs: 200}},
}, async (fleet, signal) => {
	await Promise.all([
		runLoad(fleet, {
			callers: 6, durationMs, mix: {lookup: 1}, repeated: 0,
		}, signal),
		injectFaults(fleet, {
			durationMs, targets: fleet.entryNames, processFaults: ['kill-and-restart', 'short-pause', 'long-pause'], tableFaults: ['lost-answers', 'down', 'slow'],
		}, signal),
	]);
	const history = fleet.joinedHistory();
	const reports = history.filter(({event}) => event.kind === 'usage-report');
	console.log(`seed ${seed}: ${reports.length} reports, ${reports.filter(({event}) => event.kind === 'usage-report' && event.repeated).length} repeated`);
	expectNoViolations(history, [usageWindowsOnce]);
	assert.ok(reports.length > 0, 'no window was reported');
});

const neverMs = 600_000;
const stepLimitMs = 40_000;

const waitFor = async (what: string, isTrue: () => boolean): Promise<void> => waitUntil(isTrue, {what, limitMs: stepLimitMs, pollMs: 20});

/** Starts an entry again that flushes only when it ends. */
const restartWithoutFlushes = async (fleet: Fleet, name: string): Promise<void> => {
	const daemon = fleet.daemon(name);
	daemon.plan = {...daemon.plan, settings: {...daemon.plan.settings, usageFlushMs: neverMs}};
	await fleet.restart(name);
};

/** Lets every entry serve each account within one window. */
const serveInOneWindow = async (fleet: Fleet, windowMs: number, signal: AbortSignal): Promise<void> => {
	await sleep(windowMs - (Date.now() % windowMs));
	await Promise.all(fleetAccounts.flatMap(account => fleet.entryNames.map(async entry => {
		const answer = await createCaller(fleet, {name: `${account}-${entry}`, account}, signal).lookUp(entry);
		assert.is(answer.kind === 'answered' && answer.status, 200);
	})));
};

const findHolder = (fleet: Fleet, duty: string): string | undefined => {
	const values = fleet.joinedHistory().flatMap(({source, event}) =>
		source === 'platform' && event.kind === 'write' ? event.puts.filter(({key}) => key === `lease/${duty}`).map(({value}) => value) : []);
	const {holder} = values.at(-1) as {readonly holder: string};
	return fleet.entryNames.find(name => fleet.daemon(name).plan.hostId === holder);
};

const isReportOf = ({window, shard}: UsageReport) => ({source, event}: HistoryRecord): boolean =>
	source === 'platform' && event.kind === 'usage-report' && event.report.window === window && event.report.shard === shard;

/**
 * A window is reported, the table goes down before the confirmation is noted, late usage of the window is flushed, and the
 * holder of the lease is killed. The next holder reports the window again.
 */
const runWithLateUsage = async (seed: number): Promise<void> => {
	const windowMs = 2000;
	let first: UsageReport | undefined;
	let fleet: Fleet | undefined;
	const onUsageReport = (report: UsageReport): void => {
		if (!first && report.figures.length > 0) {
			first = report;
			fleet?.setFaults({tableDown: true});
		}
	};

	await withFleet({
		seed, entries: 3, services: 1, settings: {entry: {usageWindowMs: windowMs, usageFlushMs: 200}}, platform: {onUsageReport},
	}, async (running, signal) => {
		fleet = running;
		const late = fleet.entryNames[2]!;
		await restartWithoutFlushes(fleet, late);
		await serveInOneWindow(fleet, windowMs, signal);
		await waitFor('a window with usage is reported', () => first !== undefined);
		const {window, shard} = first!;
		const reports = (): HistoryRecord[] => running.joinedHistory().filter(record => isReportOf(first!)(record));
		await fleet.stop(late);
		const lateParts = fleet.joinedHistory().filter(({source, event}) => source === 'platform' && event.kind === 'object'
			&& event.key.startsWith(`usage/${window}/${running.daemon(late).plan.hostId}/`));
		assert.is(lateParts.length, 1, 'no late usage was flushed');
		const holder = findHolder(fleet, `usage/${shard}`);
		if (holder !== undefined && holder !== late) {
			await fleet.kill(holder);
		}

		fleet.setFaults({});
		await waitFor('the next holder has reported the window again', () => reports().length > 1);
		const epochs = new Set(reports().map(({event}) => (event as unknown as {report: UsageReport}).report.epoch));
		assert.ok(epochs.size > 1, 'no later holder reported the window');
		expectNoViolations(fleet.joinedHistory(), [usageWindowsOnce]);
	});
};

describe('usage windows are reported once', () => {
	it(`with late usage between the freeze and a second report, seed ${lateUsageSeed}; guards against a window that is counted anew`, async () => runWithLateUsage(lateUsageSeed));

	for (const seed of seeds) {
		it(`with entries killed and paused and a failing table, seed ${seed}; guards against two figures for one window`, async () => run(seed));
	}
});
