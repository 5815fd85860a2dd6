import {createManualClock, describe, it} from '@hawthorncleat/test-kit';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {
	defaultEndpointPlanOptions, planEndpoints, type DataCentreSupply, type EndpointPlanInput, type EndpointPlanMemory,
} from '../index.js';

const dataCentre = (name: string, live: number, changes: Partial<DataCentreSupply> = {}): DataCentreSupply => ({
	name,
	pricePerHour: 4,
	live: Array.from({length: live}, (_, index) => `${name}${index}`),
	outstandingAdds: 0,
	outstandingReleases: [],
	canOrder: true,
	...changes,
});
const input: EndpointPlanInput = {
	nowMs: 0,
	dataCentres: [dataCentre('a', 2), dataCentre('b', 2), dataCentre('c', 2)],
	loadEngines: 5,
	loadEnginesPerMinute: 0,
	memory: {},
	options: defaultEndpointPlanOptions,
};

describe('planEndpoints', () => {
	it('guards against ordering an endpoint again while its order is outstanding', () => {
		const busy = {...input, loadEngines: 6.5};
		const {orders} = planEndpoints(busy);
		assert.equal(orders.map(({kind}) => kind), ['add', 'add']);
		const ordered = busy.dataCentres.map(supply =>
			({...supply, outstandingAdds: orders.filter(({dataCentre}) => dataCentre === supply.name).length}));
		assert.equal(planEndpoints({...busy, dataCentres: ordered}).orders, []);
	});

	it('guards against ordering only when the load has risen, instead of one lead time earlier', () => {
		assert.is(planEndpoints({...input, loadEnginesPerMinute: 0.5}).orders.length, 2);
	});

	it('guards against an order that costs more than the late answers that it avoids', () => {
		const dear = input.dataCentres.map(supply => ({...supply, pricePerHour: 11}));
		assert.equal(planEndpoints({...input, loadEngines: 6, dataCentres: dear}).orders, []);
	});

	it('guards against an order to an unreachable data centre', () => {
		const dataCentres = [dataCentre('a', 1, {canOrder: false, pricePerHour: 1}), ...input.dataCentres.slice(1)];
		assert.ok(planEndpoints({...input, loadEngines: 5, dataCentres}).orders.every(({dataCentre}) => dataCentre !== 'a'));
	});

	it('guards against a release before the surplus has lasted long enough, and against more than one release at a time', () => {
		const clock = createManualClock();
		let memory: EndpointPlanMemory = {};
		while (clock.nowMs() < defaultEndpointPlanOptions.releaseAfterMs) {
			const plan = planEndpoints({
				...input, loadEngines: 2, nowMs: clock.nowMs(), memory,
			});
			assert.equal(plan.orders, []);
			memory = plan.memory;
			clock.advance(60_000);
		}

		const {orders} = planEndpoints({
			...input, loadEngines: 2, nowMs: clock.nowMs(), memory,
		});
		assert.equal(orders.map(({kind}) => kind), ['release']);
	});

	it('guards against releasing the last endpoint of a data centre or an endpoint that the load needs', () => {
		const sizes = fc.array(fc.integer({min: 0, max: 4}), {minLength: 1, maxLength: 4});
		fc.assert(fc.property(sizes, fc.double({min: 0, max: 12, noNaN: true}), (counts, load) => {
			const dataCentres = counts.map((live, index) => dataCentre(`d${index}`, live));
			const nowMs = defaultEndpointPlanOptions.releaseAfterMs;
			const {orders} = planEndpoints({
				...input, dataCentres, loadEngines: load, nowMs, memory: {surplusSinceMs: 0},
			});
			const total = counts.reduce((sum, count) => sum + count, 0);
			for (const order of orders.filter(({kind}) => kind === 'release')) {
				assert.ok(total - 1 >= load / defaultEndpointPlanOptions.usableLoadFraction);
				assert.ok(dataCentres.find(({name}) => name === order.dataCentre)!.live.length > 1);
			}
		}), {seed: 15});
	});
});
