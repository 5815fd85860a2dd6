/**
 * Invariant I3 during a table outage: a role planner keeps its authority for as long as the table is down for all and gives
 * way when it alone is cut off, and two entries never have the authority at the same time.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {defaultLeaseDurations, takeoverWaitMs} from '@hawthorncleat/core';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {fleetServices} from '../fleet-config.js';
import {waitFor, withLinkedFleet, type FleetLinks} from '../fleet-links.js';
import type {Fleet} from '../fleet.js';

const outageSeed = 901;
const cutOffSeed = 902;
const singleSeed = 903;
const killSeed = 904;
const duty = `roles/${fleetServices.model}/dc-1`;
const witnessSettleMs = 1000;
/** Witnesses of duties settle for six seconds at least. */
const settledMs = 7000;
/** Longer than a lease and an attestation together. */
const outageMs = defaultLeaseDurations.leaseTtlMs + 8000;
/** The holder's lease, the taker's own watch of it, the wait after the announcement, and a poll before each. */
const passingLimitMs = (2 * defaultLeaseDurations.leaseTtlMs) + takeoverWaitMs(defaultLeaseDurations) + (3 * defaultLeaseDurations.leaseRenewMs);

const taken = 'duty taken';
const ended = 'duty ended';
const continued = 'duty goes on during a table outage';

type Event = {readonly entry: string; readonly message: string; readonly atMs: number};

type LogLine = {readonly time?: string; readonly message?: string; readonly details?: ReadonlyArray<{readonly duty?: string}>};

const parseLine = (line: string): LogLine => {
	try {
		return JSON.parse(line) as LogLine;
	} catch {
		return {};
	}
};

/** What the entries have logged of the duty, in the order of time. All processes are on one host with one clock. */
const listEvents = (fleet: Fleet): Event[] => fleet.entryNames.flatMap(entry => fleet.daemon(entry).child.output
	.split('\n')
	.map(line => parseLine(line))
	.filter(line => line.details?.[0]?.duty === duty)
	.map(({message, time}) => ({entry, message: message ?? '', atMs: Date.parse(time ?? '')})))
	.toSorted((a, b) => a.atMs - b.atMs);

const count = (fleet: Fleet, message: string): number => listEvents(fleet).filter(event => event.message === message).length;

/** Each tenure has ended before the next one begins. */
const assertNoOverlap = (fleet: Fleet): void => {
	let holders = 0;
	for (const {message, entry} of listEvents(fleet)) {
		holders += Number(message === taken) - Number(message === ended);
		assert.ok(holders <= 1, `${entry} has taken the duty before the last holder has stopped`);
	}
};

const startPlanning = async (fleet: Fleet): Promise<string> => {
	await fleet.waitForVersion(await fleet.apply({
		put: [{
			kind: 'model-version', name: 'restock-v1', model: 'restock', version: '1', engineRates: {
				prefillTokensPerSecond: 10_000, stepMs: 10, stepMsPerRequest: 0.1, chunkTokens: 512, maxRunning: 32,
			},
		}],
	}));
	await waitFor('a planner', () => count(fleet, taken) === 1);
	await sleep(settledMs);
	return listEvents(fleet).at(-1)!.entry;
};

const withPlanner = async (seed: number, entries: number, body: (fleet: Fleet, links: FleetLinks, holder: string) => Promise<void>): Promise<void> =>
	withLinkedFleet({
		seed, entries, engines: 2, settings: {entry: {witnessSettleMs, logFormat: 'json'}},
	}, async (fleet, links) => {
		const holder = await startPlanning(fleet);
		await body(fleet, links, holder);
	});

describe('authority of a role planner during a table outage', () => {
	it('lasts for longer than a lease when the table is down for all; guards against planning that stops', async () => withPlanner(outageSeed, 3, async (fleet, _links, holder) => {
		fleet.setFaults({tableDown: true});
		await sleep(outageMs);
		assert.equal(listEvents(fleet).map(({entry, message}) => [entry, message]), [[holder, taken], [holder, continued]]);
		fleet.setFaults({});
		await waitFor('the next planner', () => count(fleet, taken) === 2, passingLimitMs);
		assertNoOverlap(fleet);
	}));

	it('passes when only the holder is cut off from the table; guards against two planners', async () => withPlanner(cutOffSeed, 3, async (fleet, links, holder) => {
		links.platform(holder).partition();
		await waitFor('another planner', () => count(fleet, taken) === 2, passingLimitMs);
		assertNoOverlap(fleet);
		const events = listEvents(fleet);
		assert.is.not(events.findLast(({message}) => message === taken)!.entry, holder);
		assert.not.ok(events.some(({message}) => message === continued), 'witnesses that reach the table do not attest');
	}));

	it('lasts in a fleet with a single entry, which is its own majority', async () => withPlanner(singleSeed, 1, async (fleet, _links, holder) => {
		fleet.setFaults({tableDown: true});
		await sleep(outageMs);
		assert.equal(listEvents(fleet).map(({entry, message}) => [entry, message]), [[holder, taken], [holder, continued]]);
	}));

	it('passes to the other of two entries when the holder is killed; guards against waiting for a dead witness', async () => withPlanner(killSeed, 2, async (fleet, _links, holder) => {
		await fleet.kill(holder);
		const other = fleet.entryNames.find(name => name !== holder)!;
		await waitFor('the other planner', () => listEvents(fleet).some(({entry, message}) => entry === other && message === taken), passingLimitMs);
	}));
});
