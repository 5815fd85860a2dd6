/**
 * What the engines of a model service can do, from the configuration, the host list and the load reports.
 */
import {
	countRoles, defaultLatencyTarget, scaleRoles, sumRoles, type CapacityModel, type EngineOrderRole, type RoleCounts,
} from '@hawthorncleat/core';
import type {HostRecord} from '@hawthorncleat/schema';
import type {ConfigSource} from './deps.js';
import {subsetLimit} from './endpoint-pool.js';
import type {Endpoint} from './endpoint.js';

/** The capacity of a service's engines, where the configuration gives their speeds. */
export const capacityModelOf = (config: ConfigSource, service: string): CapacityModel | undefined => {
	const route = config.current().listModelRoutes().find(candidate => candidate.service.name === service);
	const rates = route?.modelVersion?.engineRates;
	return rates && {rates, maxMsPerToken: defaultLatencyTarget.maxMsPerToken};
};

/**
 * The role of a connected engine that stays, or the one that its order under way leads to: an order waits for running
 * streams, which can take minutes, and planners that do not see each other's orders all answer the same swing. An engine
 * that takes no work without an order is down and counts for nothing.
 */
export const roleOf = ({report, peer, isLeaving}: Endpoint): EngineOrderRole | undefined => {
	if (report === undefined || report.role === 'service' || peer === undefined || isLeaving) {
		return undefined;
	}

	return report.nextRole ?? (report.unavailable ? undefined : report.role);
};

export type FleetView = {
	readonly service: string;
	/** The data centre of the entry. */
	readonly dataCentre: string;
	readonly endpoints: readonly Endpoint[];
	readonly hosts: readonly HostRecord[];
};

/** Engines of a data centre that the host list names, for each one that the entry connects to. */
const listedPerConnected = ({service, dataCentre, hosts}: FleetView, place: string): number => {
	const listed = hosts.filter(host => host.kind === 'endpoint' && host.state === 'live'
		&& host.serves === service && host.dataCentre === place).length;
	return Math.max(1, listed / subsetLimit(place === dataCentre));
};

/**
 * Roles of all engines of the service by data centre. An entry connects to a part of the engines of a large data centre,
 * and the others are taken to have the same roles.
 */
export const rolesByDataCentre = (view: FleetView): Map<string, RoleCounts> => {
	const roles = new Map<string, EngineOrderRole[]>();
	for (const endpoint of view.endpoints) {
		const role = endpoint.host.serves === view.service ? roleOf(endpoint) : undefined;
		if (role) {
			roles.set(endpoint.host.dataCentre, [...roles.get(endpoint.host.dataCentre) ?? [], role]);
		}
	}

	return new Map([...roles].map(([place, known]) => [place, scaleRoles(countRoles(known), listedPerConnected(view, place))]));
};

/**
 * Engines that the plan of the entry's data centre does not change: those of other data centres and, of its own, those that
 * the entry is not connected to.
 */
export const rolesBeyondPlan = (view: FleetView): RoleCounts => {
	const all = rolesByDataCentre(view);
	const local = all.get(view.dataCentre);
	const unconnected = 1 - (1 / listedPerConnected(view, view.dataCentre));
	if (local) {
		all.set(view.dataCentre, scaleRoles(local, unconnected));
	}

	return sumRoles(all.values());
};
