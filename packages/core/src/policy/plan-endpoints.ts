/**
 * Plans which endpoints of a model to order and to give back, by data centre. An endpoint is ordered when the expected
 * cost of late answers without it exceeds its price. It is given back only after it has been unneeded for much longer
 * than an order takes, one in each data centre at a time. Outstanding orders count as done, so nothing is ordered twice.
 */

export type DataCentreSupply = {
	readonly name: string;
	/** Price of one endpoint for an hour. */
	readonly pricePerHour: number;
	/** Endpoints that run and are not leaving. */
	readonly live: readonly string[];
	readonly outstandingAdds: number;
	/** Endpoints whose release has been ordered. */
	readonly outstandingReleases: readonly string[];
	/** False while the data centre cannot be reached or has no free endpoints. */
	readonly canOrder: boolean;
};

/** What the planner remembers between two calls. */
export type EndpointPlanMemory = {
	/** Since when the fleet has had at least one endpoint too many. */
	readonly surplusSinceMs?: number;
};

export type EndpointPlanOptions = {
	/** Time from the order until the endpoint serves. */
	readonly leadTimeMs: number;
	/** Cost of answers that are late for the lack of one endpoint, for an hour. */
	readonly lateCostPerHour: number;
	/** Shortest time that an ordered endpoint is paid for. */
	readonly minBillingMs: number;
	/** Part of an endpoint's rate that keeps answers on time. */
	readonly usableLoadFraction: number;
	/** A surplus must have lasted this long before an endpoint is given back; several lead times. */
	readonly releaseAfterMs: number;
	/** Endpoints that must remain unneeded after a release. */
	readonly releaseHeadroomEndpoints: number;
	/** Endpoints that stay in each data centre. */
	readonly minPerDataCentre: number;
};

export const defaultEndpointPlanOptions: EndpointPlanOptions = {
	leadTimeMs: 240_000,
	lateCostPerHour: 10,
	minBillingMs: 3_600_000,
	usableLoadFraction: 0.85,
	releaseAfterMs: 1_800_000,
	releaseHeadroomEndpoints: 0.5,
	minPerDataCentre: 1,
};

export type EndpointPlanInput = {
	readonly nowMs: number;
	readonly dataCentres: readonly DataCentreSupply[];
	/** Engines' worth of work asked for now. */
	readonly loadEngines: number;
	/** Change of the load in engines a minute, from a longer average; 0 when unknown. */
	readonly loadEnginesPerMinute: number;
	readonly memory: EndpointPlanMemory;
	readonly options: EndpointPlanOptions;
};

export type PlannedEndpointOrder
	= | {readonly kind: 'add'; readonly dataCentre: string}
		| {readonly kind: 'release'; readonly dataCentre: string; readonly endpoint: string};

export type EndpointPlan = {readonly orders: readonly PlannedEndpointOrder[]; readonly memory: EndpointPlanMemory};

const supplyOf = ({live, outstandingAdds, outstandingReleases}: DataCentreSupply): number =>
	live.length + outstandingAdds - outstandingReleases.length;

const leavesOthers = (dataCentre: DataCentreSupply, options: EndpointPlanOptions): boolean =>
	dataCentre.live.length - dataCentre.outstandingReleases.length > options.minPerDataCentre;

const byPrice = (a: DataCentreSupply, b: DataCentreSupply): number => a.pricePerHour - b.pricePerHour;

/** An endpoint pays when the late answers that it avoids while it is needed cost more than its shortest hire. */
const pays = (input: EndpointPlanInput, shortage: number, pricePerHour: number): boolean => {
	const {lateCostPerHour, minBillingMs: minPaidMs} = input.options;
	const paidHours = minPaidMs / 3_600_000;
	return Math.min(1, shortage) * lateCostPerHour * paidHours > pricePerHour * paidHours;
};

/** Orders one endpoint after the other where it is cheapest, and among equal prices where the fewest are. */
const planAdds = (input: EndpointPlanInput, needed: number, supply: number): PlannedEndpointOrder[] => {
	const added = new Map<string, number>();
	const size = (dataCentre: DataCentreSupply): number => supplyOf(dataCentre) + (added.get(dataCentre.name) ?? 0);
	const orders: PlannedEndpointOrder[] = [];
	for (let shortage = needed - supply; shortage > 0; shortage--) {
		const open = input.dataCentres.filter(({canOrder}) => canOrder);
		const target = open.toSorted((a, b) => byPrice(a, b) || size(a) - size(b))[0];
		if (!target || !pays(input, shortage, target.pricePerHour)) {
			break;
		}

		added.set(target.name, (added.get(target.name) ?? 0) + 1);
		orders.push({kind: 'add', dataCentre: target.name});
	}

	return orders;
};

const planRelease = (input: EndpointPlanInput): PlannedEndpointOrder[] => {
	const dearest = input.dataCentres
		.filter(dataCentre => leavesOthers(dataCentre, input.options))
		.toSorted((a, b) => byPrice(b, a) || supplyOf(b) - supplyOf(a))[0];
	const endpoint = dearest?.live.findLast(id => !dearest.outstandingReleases.includes(id));
	return dearest && endpoint !== undefined ? [{kind: 'release', dataCentre: dearest.name, endpoint}] : [];
};

/** Proposes the endpoint orders of all data centres. */
export const planEndpoints = (input: EndpointPlanInput): EndpointPlan => {
	const {loadEngines: load, loadEnginesPerMinute: loadPerMinute, memory, nowMs, options} = input;
	const supply = input.dataCentres.reduce((sum, dataCentre) => sum + supplyOf(dataCentre), 0);
	const arriving = input.dataCentres.some(({outstandingAdds, outstandingReleases}) =>
		outstandingAdds + outstandingReleases.length > 0);
	const forecast = Math.max(load, load + (loadPerMinute * options.leadTimeMs / 60_000));
	const needed = forecast / options.usableLoadFraction;
	if (needed > supply) {
		return {orders: planAdds(input, needed, supply), memory: {}};
	}

	if (arriving || supply - 1 < needed + options.releaseHeadroomEndpoints) {
		return {orders: [], memory: {}};
	}

	const surplusSinceMs = memory.surplusSinceMs ?? nowMs;
	if (nowMs - surplusSinceMs < options.releaseAfterMs) {
		return {orders: [], memory: {surplusSinceMs}};
	}

	return {orders: planRelease(input), memory: {}};
};
