import type {ConfigView} from '@hawthorncleat/core';
import type {EntrySettings, HostRecord} from '@hawthorncleat/schema';
import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import * as assert from 'uvu/assert';
import {EndpointPlanner, type EndpointDutyOptions} from '../endpoint-duty.js';
import type {OrderIntent} from '../order-intents.js';
import {withWorld, type World} from './usage-world.js';

const engineRates = {
	prefillTokensPerSecond: 10_000, stepMs: 20, stepMsPerRequest: 0.4, chunkTokens: 256, maxRunning: 64,
};

const createHosts = (count: number, dataCentre: string) => Array.from({length: count}, (_, index): HostRecord => ({
	hostId: `${dataCentre}-${index}`, dataCentre, kind: 'endpoint', address: '127.0.0.1', port: 1, serves: 'planner', state: 'live',
}));

/** Two data centres of one region, the own one cheaper; `load` in engines. */
const createPlanner = (world: World, load: number, price: number | undefined) => new EndpointPlanner({
	settings: {dataCentre: 'near', region: 'r'} as unknown as EntrySettings,
	context: {table: world.table, clock: createManualClock()},
	sources: {demand: {measure: () => ({promptTokensPerSecond: load * 10_000, outputTokensPerSecond: 0})}},
	config: {
		current: () => ({
			listModelRoutes: () => [{
				service: {name: 'planner'},
				modelVersion: {engineRates},
				places: [{name: 'near', region: 'r', endpointPricePerHour: price}, {name: 'far', region: 'r', endpointPricePerHour: 3}],
			}],
		}) as unknown as ConfigView,
	},
	hosts: {current: () => [...createHosts(2, 'near'), ...createHosts(1, 'far')]},
} as unknown as EndpointDutyOptions);

const add = {kind: 'add', serves: 'planner'} as const;

describe('endpoint planner', () => {
	it('orders the shortage where it is cheapest, less what is open; guards against orders repeated until endpoints arrive', async () => withWorld(async world => {
		const planner = createPlanner(world, 4, 2);
		assert.equal(await planner.plan([]), [add, add]);
		const open: OrderIntent[] = [1, 2].map(number => ({
			order: {orderId: String(number), dataCentre: 'near', ...add}, epoch: 1, state: 'confirmed', known: [],
		}));
		assert.equal(await planner.plan(open), []);
	}));

	it('leaves orders to the cheaper data centre and orders nothing without a price; guards against an order by each data centre', async () => withWorld(async world => {
		assert.equal(await createPlanner(world, 4, 5).plan([]), []);
		assert.equal(await createPlanner(world, 4, undefined).plan([]), []);
	}));
});
