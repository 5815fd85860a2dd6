/**
 * Plans the endpoints of the model services of the entry's data centre. Every holder plans for all data centres of its
 * region, from the same host lists and open orders, and orders only what falls to its own.
 */
import {
	defaultEndpointPlanOptions,
	defaultLatencyTarget,
	enginesNeeded,
	planEndpoints,
	type DataCentreSupply,
	type EndpointPlanMemory,
	type ResolvedRoute,
} from '@hawthorncleat/core';
import type {EndpointOrdersClient, Lease} from '@hawthorncleat/store';
import type {RoleDutiesOptions} from './role-duties.js';
import {EndpointOrderer, type NewOrder} from './endpoint-orderer.js';
import {readOpenOrders, type OrderIntent} from './order-intents.js';
import {runDuty} from './run-duty.js';

export type EndpointDutyOptions = RoleDutiesOptions & {readonly endpointOrders: EndpointOrdersClient};

type OpenByPlace = ReadonlyMap<string, readonly OrderIntent[]>;

const liveEndpoints = ({hosts}: RoleDutiesOptions, dataCentre: string, service: string): string[] => hosts.current()
	.filter(host => host.kind === 'endpoint' && host.state === 'live' && host.dataCentre === dataCentre && host.serves === service)
	.map(host => host.endpoint ?? host.hostId)
	.toSorted((a, b) => a < b ? -1 : 1);

const supplyOf = (options: RoleDutiesOptions, {service, places}: ResolvedRoute, open: OpenByPlace): DataCentreSupply[] =>
	places.filter(({region}) => region === options.settings.region).map(({name, endpointPricePerHour}) => {
		const intents = (open.get(name) ?? []).filter(({order}) => order.serves === service.name);
		return {
			name,
			pricePerHour: endpointPricePerHour ?? 0,
			live: liveEndpoints(options, name, service.name),
			outstandingAdds: intents.filter(({order}) => order.kind === 'add').length,
			outstandingReleases: intents.flatMap(({order}) => order.kind === 'release' && order.endpoint !== undefined ? [order.endpoint] : []),
			canOrder: endpointPricePerHour !== undefined,
		};
	});

/** Plans for one tenure of the lease; what it remembers is counted on the clock of this process. */
export class EndpointPlanner {
	readonly #options: EndpointDutyOptions;
	readonly #memories = new Map<string, EndpointPlanMemory>();

	constructor(options: EndpointDutyOptions) {
		this.#options = options;
	}

	/** New orders for the own data centre. */
	readonly plan = async (ownOpen: readonly OrderIntent[]): Promise<NewOrder[]> => {
		const routes = this.#plannedRoutes();
		const open = await this.#readOpen(routes, ownOpen);
		return routes.flatMap(route => this.#planService(route, open));
	};

	/** One route for each service whose speeds and, here, price are known. */
	#plannedRoutes(): ResolvedRoute[] {
		const {config, settings} = this.#options;
		const routes = config.current().listModelRoutes().filter(({modelVersion, places}) => modelVersion?.engineRates !== undefined
			&& places.some(({name, endpointPricePerHour}) => name === settings.dataCentre && endpointPricePerHour !== undefined));
		return [...new Map(routes.map(route => [route.service.name, route])).values()];
	}

	async #readOpen(routes: readonly ResolvedRoute[], ownOpen: readonly OrderIntent[]): Promise<OpenByPlace> {
		const {context, settings: {dataCentre}} = this.#options;
		const names = new Set(routes.flatMap(({places}) => places.map(({name}) => name)));
		const open = new Map<string, readonly OrderIntent[]>([[dataCentre, ownOpen]]);
		for (const name of names) {
			if (name !== dataCentre) {
				const {intents} = await readOpenOrders(context.table, name);
				open.set(name, intents);
			}
		}

		return open;
	}

	#planService(route: ResolvedRoute, open: OpenByPlace): NewOrder[] {
		const {context, sources, settings} = this.#options;
		const service = route.service.name;
		const needed = enginesNeeded({rates: route.modelVersion!.engineRates!, maxMsPerToken: defaultLatencyTarget.maxMsPerToken}, sources.demand.measure(service));
		const {orders, memory} = planEndpoints({
			nowMs: context.clock.nowMs(),
			dataCentres: supplyOf(this.#options, route, open),
			loadEngines: needed.prefill + needed.decode,
			loadEnginesPerMinute: 0,
			memory: this.#memories.get(service) ?? {},
			options: defaultEndpointPlanOptions,
		});
		this.#memories.set(service, memory);
		return orders
			.filter(order => order.dataCentre === settings.dataCentre)
			.map(order => order.kind === 'release' ? {kind: order.kind, serves: service, endpoint: order.endpoint} : {kind: order.kind, serves: service});
	}
}

/** Runs the duty for the entry's data centre until `signal` aborts. */
export const runEndpointDuty = async (options: EndpointDutyOptions, signal: AbortSignal): Promise<void> => {
	const {context, settings: {dataCentre}, endpointOrders} = options;
	const run = async (lease: Lease, held: AbortSignal): Promise<void> => new EndpointOrderer({
		...context,
		dataCentre,
		orders: endpointOrders,
		live: service => liveEndpoints(options, dataCentre, service),
		plan: new EndpointPlanner(options).plan,
	}).run(lease, held);
	// Entries of other data centres do not see the load of this one.
	const local = {...context, entries: () => context.entries().filter(host => host.dataCentre === dataCentre)};
	await runDuty({name: `endpoint-orders/${dataCentre}`, kind: 'endpoint-orders', run}, local, signal);
};
