/**
 * Role planning with real processes while the table is down: the planner goes on under the attestation of the witnesses,
 * roles change, and the rows follow when the table is back.
 */
import {engineOrderKey, orderNumbersPerEpoch, parseOrderRow} from '@hawthorncleat/core';
import {createHttpClient, createTableClient} from '@hawthorncleat/store';
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {waitFor} from '../fleet-links.js';
import {
	engineOrdersRise, expectNoViolations, withFleet, type Fleet,
} from '../index.js';
import {
	findBrokenCalls, listRoleOrders, startMixedLoad, type MixedLoad, type RoleOrder,
} from '../role-load.js';
import {findWrongAnswers} from '../rules/request-rules.js';

const seed = 341;
const killSeed = 342;
const engines = ['engine-1', 'engine-2', 'engine-3', 'engine-4'];
const callersPerEntry = 3;
const changeMs = 1000;
// Shorter than in operation, where witnesses settle for longer than a test may last.
const witnessSettleMs = 2000;
/** A takeover takes up to 19 s, two orders are at least 10 s apart, and demand is measured over 10 s. */
const shiftLimitMs = 50_000;

/** Calls that show what callers got lately. */
const lastCalls = 60;

const describeOrder = ({engine, number, role}: RoleOrder): string =>
	`${engine} ${Math.floor(number / orderNumbersPerEpoch)}+${number % orderNumbersPerEpoch} ${role ?? ''}`;

/** What the engines and the callers saw, to explain an order that did not come. */
const describeRun = (fleet: Fleet, load: MixedLoad): string => {
	const counts = new Map<string, number>();
	for (const {status, code} of load.calls.slice(-lastCalls)) {
		const outcome = `${status} ${code ?? ''}`.trim();
		counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
	}

	const orders = listRoleOrders(fleet).map(order => describeOrder(order)).join(', ');
	const outcomes = [...counts].map(([outcome, count]) => `${outcome}: ${count}`).join(', ');
	return `orders: ${orders}; ${load.calls.length} calls, the last ones: ${outcomes}`;
};

/** Waits for an order that begins after the call. */
const waitForOrder = async (fleet: Fleet, load: MixedLoad, what: string, isWanted: (order: RoleOrder) => boolean): Promise<RoleOrder> => {
	const before = listRoleOrders(fleet).length;
	const find = (): RoleOrder | undefined => listRoleOrders(fleet).slice(before).find(order => isWanted(order));
	await waitFor(what, () => find() !== undefined, shiftLimitMs).catch((error: unknown) => {
		throw new Error(`${(error as Error).message}; ${describeRun(fleet, load)}`, {cause: error});
	});
	return find()!;
};

/** Waits until the row of each engine shows the last order that the engine got. */
const waitForRows = async (fleet: Fleet, signal: AbortSignal): Promise<void> => {
	const table = createTableClient(createHttpClient({url: fleet.standIns.platform.url}, signal));
	await waitFor('rows that show the last orders', async () => {
		const shown = await Promise.all(engines.map(async engine => {
			const last = listRoleOrders(fleet).findLast(order => order.engine === engine);
			const found = await table.read(engineOrderKey(engine));
			const row = parseOrderRow(found?.value);
			return last === undefined || (row?.state === 'settled' && row.number === last.number && row.role === last.role);
		}));
		return shown.every(Boolean);
	});
};

/** `killsAgent` true: the agent is killed while its engine carries out the order of the outage. */
const run = async (seed: number, killsAgent: boolean): Promise<void> => {
	await withFleet({
		seed,
		entries: 3,
		engines: engines.map((name, index) => ({name, dataCentre: 'dc-1', options: {changeMs, checksOrderNumbers: index % 2 === 0}})),
		settings: {entry: {witnessSettleMs}},
	}, async (fleet, signal) => {
		const load = await startMixedLoad(fleet, {callersPerEntry, seed}, signal);
		const withTable = await waitForOrder(fleet, load, 'an engine for prompts', ({role}) => role === 'prefill');

		fleet.setFaults({tableDown: true});
		load.mix = 'outputs';
		const inOutage = await waitForOrder(fleet, load, 'an order while the table is down', ({role}) => role !== 'prefill');
		assert.is(Math.floor(inOutage.number / orderNumbersPerEpoch), Math.floor(withTable.number / orderNumbersPerEpoch), 'the holder has changed');

		if (killsAgent) {
			await fleet.restart(`agent-${inOutage.engine}`);
		}

		fleet.setFaults({});
		load.mix = 'prompts';
		const afterwards = await waitForOrder(fleet, load, 'an order after the outage', ({number}) => number >= withTable.number + orderNumbersPerEpoch);
		await load.stop();
		await waitForRows(fleet, signal);
		const {calls} = load;
		console.log(`seed ${seed}: ${listRoleOrders(fleet).map(order => describeOrder(order)).join(', ')}; ${calls.length} calls`);
		assert.ok(afterwards.number > inOutage.number);
		expectNoViolations(fleet.joinedHistory(), [engineOrdersRise]);
		assert.equal(findWrongAnswers(calls), []);
		// A killed agent takes its streams with it.
		assert.equal(killsAgent ? [] : findBrokenCalls(calls), []);
	});
};

describe('role changes while the table is down', () => {
	it(`go on and are recorded afterwards, seed ${seed}; guards against frozen roles and against orders of two planners`, async () => run(seed, false));
	it(`go on after an agent was killed in the middle of one, seed ${killSeed}; guards against an order that only the engine knows`, async () => run(killSeed, true));
});
