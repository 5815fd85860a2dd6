/**
 * Plans which endpoints of a model to order and to release, by data centre. An endpoint is ordered when the expected cost of
 * late answers without it exceeds its price. Endpoints are released one at a time, and only after there has been a surplus
 * for much longer than an order takes. Outstanding orders count as completed, so that no endpoint is ordered twice.
 */

export type DataCentreSupply = {
	readonly name: string;
	/** Price of one endpoint for an hour. */
	readonly pricePerHour: number;
	/** Ids of the endpoints that run and are not leaving. */
	readonly live: readonly string[];
	readonly outstandingAdds: number;
	/** Ids of the endpoints whose release is ordered. */
	readonly outstandingReleases: readonly string[];
	/** False while the data centre is unreachable or has no free endpoints. */
	readonly canOrder: boolean;
};

/** State of the planner, which the caller passes from one call to the next. */
export type EndpointPlanMemory = {
	/** Time since which the fleet has had at least one endpoint too many. */
	readonly surplusSinceMs?: number;
};

export type EndpointPlanOptions = {
	/** Time from the order until the endpoint serves. */
	readonly leadTimeMs: number;
	/** Cost of the answers that are late in one hour because one endpoint is missing. */
	readonly lateCostPerHour: number;
	/** Shortest time for which an ordered endpoint is billed. */
	readonly minBillingMs: number;
	/** Fraction of an endpoint's capacity up to which answers meet their latency target. */
	readonly usableLoadFraction: number;
	/** Time that a surplus must have lasted before an endpoint is released. It should be several lead times. */
	readonly releaseAfterMs: number;
	/** Surplus that must remain after a release, in endpoints. */
	readonly releaseHeadroomEndpoints: number;
	/** Number of endpoints that are never released from a data centre. */
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
	/** Current demand, as the number of fully loaded engines that it needs. */
	readonly loadEngines: number;
	/** Change of the demand in engines per minute, averaged over a longer time. 0 if it is not measured. */
	readonly loadEnginesPerMinute: number;
	readonly memory: EndpointPlanMemory;
	readonly options: EndpointPlanOptions;
};

export type PlannedEndpointOrder
	= | {readonly kind: 'add'; readonly dataCentre: string}
		| {readonly kind: 'release'; readonly dataCentre: string; readonly endpoint: string};

export type EndpointPlan = {readonly orders: readonly PlannedEndpointOrder[]; readonly memory: EndpointPlanMemory};

const plannedSize = ({live, outstandingAdds, outstandingReleases}: DataCentreSupply): number =>
	live.length + outstandingAdds - outstandingReleases.length;

const canRelease = (dataCentre: DataCentreSupply, options: EndpointPlanOptions): boolean =>
	dataCentre.live.length - dataCentre.outstandingReleases.length > options.minPerDataCentre;

const comparePrices = (a: DataCentreSupply, b: DataCentreSupply): number => a.pricePerHour - b.pricePerHour;

/** Whether the late answers that the endpoint avoids cost more than the endpoint over the shortest billed time. */
const isWorthItsPrice = (input: EndpointPlanInput, shortage: number, pricePerHour: number): boolean => {
	const {lateCostPerHour, minBillingMs} = input.options;
	const billedHours = minBillingMs / 3_600_000;
	return Math.min(1, shortage) * lateCostPerHour * billedHours > pricePerHour * billedHours;
};

/** Orders endpoints one by one in the cheapest data centre, and among equal prices in the one with the fewest endpoints. */
const planAdds = (input: EndpointPlanInput, neededEndpoints: number, supply: number): PlannedEndpointOrder[] => {
	const added = new Map<string, number>();
	const size = (dataCentre: DataCentreSupply): number => plannedSize(dataCentre) + (added.get(dataCentre.name) ?? 0);
	const orders: PlannedEndpointOrder[] = [];
	for (let shortage = neededEndpoints - supply; shortage > 0; shortage--) {
		const orderable = input.dataCentres.filter(({canOrder}) => canOrder);
		const target = orderable.toSorted((a, b) => comparePrices(a, b) || size(a) - size(b))[0];
		if (!target || !isWorthItsPrice(input, shortage, target.pricePerHour)) {
			break;
		}

		added.set(target.name, (added.get(target.name) ?? 0) + 1);
		orders.push({kind: 'add', dataCentre: target.name});
	}

	return orders;
};

const planRelease = (input: EndpointPlanInput): PlannedEndpointOrder[] => {
	const mostExpensive = input.dataCentres
		.filter(dataCentre => canRelease(dataCentre, input.options))
		.toSorted((a, b) => comparePrices(b, a) || plannedSize(b) - plannedSize(a))[0];
	const endpoint = mostExpensive?.live.findLast(id => !mostExpensive.outstandingReleases.includes(id));
	return mostExpensive && endpoint !== undefined ? [{kind: 'release', dataCentre: mostExpensive.name, endpoint}] : [];
};

/** Proposes the endpoint orders of all data centres. */
export const planEndpoints = (input: EndpointPlanInput): EndpointPlan => {
	const {loadEngines, loadEnginesPerMinute, memory, nowMs, options} = input;
	const supply = input.dataCentres.reduce((sum, dataCentre) => sum + plannedSize(dataCentre), 0);
	const hasOutstandingOrders = input.dataCentres.some(({outstandingAdds, outstandingReleases}) =>
		outstandingAdds + outstandingReleases.length > 0);
	const forecastEngines = Math.max(loadEngines, loadEngines + (loadEnginesPerMinute * options.leadTimeMs / 60_000));
	const neededEndpoints = forecastEngines / options.usableLoadFraction;
	if (neededEndpoints > supply) {
		return {orders: planAdds(input, neededEndpoints, supply), memory: {}};
	}

	if (hasOutstandingOrders || supply - 1 < neededEndpoints + options.releaseHeadroomEndpoints) {
		return {orders: [], memory: {}};
	}

	const surplusSinceMs = memory.surplusSinceMs ?? nowMs;
	if (nowMs - surplusSinceMs < options.releaseAfterMs) {
		return {orders: [], memory: {surplusSinceMs}};
	}

	return {orders: planRelease(input), memory: {}};
};
