/**
 * Role planning with real processes: a mix of prompts that shifts makes the planner change roles under load.
 */
import {describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {waitFor} from '../fleet-links.js';
import {engineOrdersRise, expectNoViolations, withFleet} from '../index.js';
import {
	findBrokenCalls, listRoleOrders, startMixedLoad, type TokenMix,
} from '../role-load.js';
import {findWrongAnswers} from '../rules/request-rules.js';

const seed = 331;
const engines = ['engine-1', 'engine-2', 'engine-3', 'engine-4'];
const callersPerEntry = 4;
const changeMs = 2000;
type Shift = {readonly mix: TokenMix; readonly orders: number; readonly isWanted: (role: string | undefined) => boolean};

const shifts: readonly Shift[] = [
	{mix: 'prompts', orders: 2, isWanted: role => role === 'prefill'},
	{mix: 'outputs', orders: 1, isWanted: role => role !== 'prefill'},
];
/** The lease is free after 9 s; two orders are at least 10 s apart, and demand is measured over 10 s. */
const shiftLimitMs = 45_000;

const run = async (): Promise<void> => {
	await withFleet({
		seed, entries: 2, engines: engines.map((name, index) => ({name, dataCentre: 'dc-1', options: {changeMs, checksOrderNumbers: index % 2 === 0}})),
	}, async (fleet, signal) => {
		const load = await startMixedLoad(fleet, {callersPerEntry, seed}, signal);
		for (const {mix, orders, isWanted} of shifts) {
			const before = listRoleOrders(fleet).length;
			load.mix = mix;
			await waitFor(`${orders} role changes for ${mix}`, () =>
				listRoleOrders(fleet).slice(before).filter(({role}) => isWanted(role)).length === orders, shiftLimitMs);
		}

		await load.stop();
		const {calls} = load;
		console.log(`seed ${seed}: ${listRoleOrders(fleet).map(({engine, number, role}) => `${engine} ${number} ${role}`).join(', ')}; ${calls.length} calls`);
		expectNoViolations(fleet.joinedHistory(), [engineOrdersRise]);
		assert.equal(findBrokenCalls(calls), []);
		assert.equal(findWrongAnswers(calls), []);
	});
};

describe('role changes of the planner', () => {
	it(`with the table up, seed ${seed}; guards against a role change that cuts, refuses or shortens a request`, run);
});
